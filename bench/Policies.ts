/** Route policies: ours and the baselines. */
import { planRoute } from '../src/core/routing/RoutePlanner.js';
import type { Candidate, Route, RouteQuery, Stage } from '../src/core/routing/Types.js';
import type { Random } from '../src/ports/Types.js';

export enum Policy {
  Ours = 'ours',
  /** For each next layer, a random server that holds it, used to the end of its range. */
  RandomChain = 'random-chain',
  /** The least loaded server that holds the first layer, and again for each next layer. */
  LeastLoadedHead = 'least-loaded-head',
  /** The route with the least time on idle servers. */
  ShortestUnloaded = 'shortest-unloaded',
}

type Planner = (query: RouteQuery, random: Random) => Route | undefined;

type ServerChoice = (holders: readonly Candidate[], query: RouteQuery, random: Random) => Candidate;

/** Plans a route stage by stage, each to the end of the range of the server chosen for it. */
function greedyPlanner(choose: ServerChoice): Planner {
  return (query, random) => {
    const stages: Stage[] = [];
    let from = 0;
    while (from < query.layers) {
      const at = from;
      const holders = query.candidates.filter(
        (item) => item.from <= at && at < item.to && query.usable(item.server),
      );
      if (holders.length === 0) return undefined;
      const { server, address, to } = choose(holders, query, random);
      stages.push({ server, address, from, to });
      from = to;
    }
    return { stages, costMs: 0 };
  };
}

const chooseRandom: ServerChoice = (holders, _query, random) =>
  holders[Math.floor(random.next() * holders.length)];

const chooseLeastLoaded: ServerChoice = (holders, query) => {
  let [best] = holders;
  for (const holder of holders)
    if (query.busyMs(holder.server) < query.busyMs(best.server)) best = holder;
  return best;
};

export const PLANNERS: Readonly<Record<Policy, Planner>> = {
  [Policy.Ours]: (query) => planRoute(query),
  [Policy.RandomChain]: greedyPlanner(chooseRandom),
  [Policy.LeastLoadedHead]: greedyPlanner(chooseLeastLoaded),
  [Policy.ShortestUnloaded]: (query) => planRoute({ ...query, busyMs: () => 0 }),
};
