/** Route policies of the benches: the router's own and the baselines. */
import { planRoute } from '../src/core/routing/RoutePlanner.js';
import type { Candidate, Route, RouteQuery, Stage } from '../src/core/routing/Types.js';
import type { Random } from '../src/ports/Types.js';

export enum Policy {
  /** The router's own route planner. */
  Ours = 'ours',
  /** At layer 0 and where the previous server's range ends: a random server that holds the layer. */
  RandomChain = 'random-chain',
  /** As `RandomChain`, with the least loaded server; "head" is the server of a stage's first layer. */
  LeastLoadedHead = 'least-loaded-head',
  /** The route with the least time on idle servers. */
  ShortestUnloaded = 'shortest-unloaded',
}

type Planner = (query: RouteQuery, random: Random) => Route | undefined;

type ServerChoice = (
  candidates: readonly Candidate[],
  query: RouteQuery,
  random: Random,
) => Candidate;

/** Plans a route stage by stage, each to the end of the range of the server chosen for it. */
function greedyPlanner(choose: ServerChoice): Planner {
  return (query, random) => {
    const stages: Stage[] = [];
    let from = 0;
    while (from < query.layers) {
      const at = from;
      const candidates = query.candidates.filter(
        (item) => item.from <= at && at < item.to && query.usable(item.server),
      );
      if (candidates.length === 0) return undefined;
      const { server, address, to } = choose(candidates, query, random);
      stages.push({ server, address, from, to });
      from = to;
    }
    // The baselines estimate no cost.
    return { stages, costMs: 0 };
  };
}

const chooseRandom: ServerChoice = (candidates, _query, random) =>
  candidates[Math.floor(random.next() * candidates.length)];

const chooseLeastLoaded: ServerChoice = (candidates, query) => {
  let [best] = candidates;
  for (const candidate of candidates)
    if (query.busyMs(candidate.server) < query.busyMs(best.server)) best = candidate;
  return best;
};

export const PLANNERS: Readonly<Record<Policy, Planner>> = {
  [Policy.Ours]: (query) => planRoute(query),
  [Policy.RandomChain]: greedyPlanner(chooseRandom),
  [Policy.LeastLoadedHead]: greedyPlanner(chooseLeastLoaded),
  [Policy.ShortestUnloaded]: (query) => planRoute({ ...query, busyMs: () => 0 }),
};
