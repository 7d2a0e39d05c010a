/** Chooses routes by shortest path over layer boundaries. */
import { segmentCuts } from './FlowPlan.js';
import type {
  Candidate,
  PricedRouteQuery,
  Route,
  RouteQuery,
  RouteSearch,
  Stage,
} from './Types.js';

/** One-way time between two failure domains, in milliseconds. */
const CROSS_DOMAIN_LINK_MS = 0.6;

/** Fixed cost of one more stage, in milliseconds. */
const HOP_MS = 0.3;

/** A route elsewhere is taken when the home route costs this many times more. */
const FAR_WORSE = 1.2;

/** Toll of one layer on a server at `TOLL_BUSY_MS`, in milliseconds. */
const TOLL_MS = 0.3;

/** Busy time at which the toll is `TOLL_MS`. */
const TOLL_BUSY_MS = 8;

/** How steeply the toll rises with the busy time. */
const TOLL_POWER = 4;

interface Arrival {
  cost: number;
  candidate: Candidate | undefined;
  fromBoundary: number;
  previous: Arrival | undefined;
}

/**
 * Price of one layer on a busy server. The toll for congestion is the same for all accelerator
 * kinds: under load every server must be worked equally, and the slow kinds' own time would
 * otherwise keep work away from them.
 * @param busyMs - busy time that the server adds to each token
 */
export function layerPrice(layerMs: number, busyMs: number): number {
  return layerMs + TOLL_MS * (busyMs / TOLL_BUSY_MS) ** TOLL_POWER;
}

/** A route search with what a stage and a link cost. */
interface Search extends RouteSearch {
  /** Price of a stage of some layers, without rebuilding, in milliseconds. */
  readonly stageMs: (candidate: Candidate, layers: number) => number;
  /** Price of a link between two failure domains, in milliseconds. */
  readonly crossMs: number;
  /** Price of a route that begins in another failure domain than home, in milliseconds. */
  readonly entryMs: number;
}

function byBusyTime(query: RouteQuery): Search {
  return {
    ...query,
    crossMs: CROSS_DOMAIN_LINK_MS,
    entryMs: CROSS_DOMAIN_LINK_MS,
    stageMs: (candidate, layers) =>
      layers * layerPrice(candidate.layerMs, query.busyMs(candidate.server)) +
      candidate.linkMs +
      HOP_MS,
  };
}

function byCosts({ costs, ...query }: PricedRouteQuery): Search {
  return {
    ...query,
    crossMs: costs.crossMs,
    entryMs: costs.entryMs,
    stageMs: (candidate, layers) => layers * candidate.layerMs + costs.visitMs(candidate.server),
  };
}

function keptLayers(search: Search, server: string, from: number, to: number): number {
  let kept = 0;
  for (const stage of search.kept) {
    if (stage.server !== server) continue;
    kept += Math.max(0, Math.min(to, stage.to) - Math.max(from, stage.from));
  }
  return kept;
}

function stageCost(search: Search, candidate: Candidate, from: number, to: number): number {
  const layers = to - from;
  const rebuilt =
    search.kept.length === 0 ? 0 : layers - keptLayers(search, candidate.server, from, to);
  return search.stageMs(candidate, layers) + rebuilt * search.rebuildLayerMs;
}

function linkMs(search: Search, { candidate }: Arrival, toDomain: string): number {
  if (candidate === undefined) return toDomain === search.localDomain ? 0 : search.entryMs;
  return candidate.failureDomain === toDomain ? 0 : search.crossMs;
}

function toRoute(last: Arrival, boundaries: readonly number[], end: number): Route {
  const stages: Stage[] = [];
  let to = end;
  let arrival: Arrival | undefined = last;
  while (arrival?.candidate !== undefined) {
    const from = boundaries[arrival.fromBoundary];
    const { server, address } = arrival.candidate;
    stages.unshift({ server, address, from, to });
    to = from;
    arrival = arrival.previous;
  }
  return { stages: mergeAdjacent(stages), costMs: last.cost };
}

function mergeAdjacent(stages: readonly Stage[]): Stage[] {
  const merged: Stage[] = [];
  for (const stage of stages) {
    const last = merged.at(-1);
    if (last?.server === stage.server) merged[merged.length - 1] = { ...last, to: stage.to };
    else merged.push(stage);
  }
  return merged;
}

/** Keeps the cheapest arrival for each failure domain, since link cost depends on nothing else. */
function offer(arrivals: Map<string, Arrival>, domain: string, arrival: Arrival): void {
  const best = arrivals.get(domain);
  if (best === undefined || arrival.cost < best.cost) arrivals.set(domain, arrival);
}

function extend(
  search: Search,
  boundaries: readonly number[],
  arrivals: Map<string, Arrival>[],
  index: number,
  candidate: Candidate,
): void {
  const from = boundaries[index];
  let best: Arrival | undefined;
  let bestCost = Infinity;
  for (const arrival of arrivals[index].values()) {
    const cost = arrival.cost + linkMs(search, arrival, candidate.failureDomain);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = arrival;
  }
  if (best === undefined) return;
  for (let next = index + 1; next < boundaries.length; next += 1) {
    const to = boundaries[next];
    if (to > candidate.to) break;
    offer(arrivals[next], candidate.failureDomain, {
      cost: bestCost + stageCost(search, candidate, from, to),
      candidate,
      fromBoundary: index,
      previous: best,
    });
  }
}

function shortestPath(
  search: Search,
  candidates: readonly Candidate[],
  boundaries: readonly number[],
): Route | undefined {
  const arrivals = boundaries.map(() => new Map<string, Arrival>());
  offer(arrivals[0], search.localDomain, {
    cost: 0,
    candidate: undefined,
    fromBoundary: 0,
    previous: undefined,
  });
  for (const [index, boundary] of boundaries.entries()) {
    for (const candidate of candidates) {
      if (candidate.from > boundary || candidate.to <= boundary) continue;
      extend(search, boundaries, arrivals, index, candidate);
    }
  }
  let last: Arrival | undefined;
  for (const arrival of (arrivals.at(-1) as Map<string, Arrival>).values()) {
    if (last === undefined || arrival.cost < last.cost) last = arrival;
  }
  return last === undefined ? undefined : toRoute(last, boundaries, search.layers);
}

function usableOf({ candidates, usable }: RouteSearch): Candidate[] {
  return candidates.filter((candidate) => usable(candidate.server));
}

/**
 * Plans the route that costs least, wherever its servers are.
 * @returns undefined when the usable servers do not cover every layer
 */
export function planCheapestRoute(query: PricedRouteQuery): Route | undefined {
  const boundaries = segmentCuts(query.candidates, query.layers);
  return shortestPath(byCosts(query), usableOf(query), boundaries);
}

/**
 * Plans a route in the home failure domain, or over all domains when home has none or costs far more.
 * @returns undefined when the usable servers do not cover every layer
 */
export function planRoute(query: RouteQuery): Route | undefined {
  const boundaries = segmentCuts(query.candidates, query.layers);
  const search = byBusyTime(query);
  const usable = usableOf(query);
  const home = usable.filter((candidate) => candidate.failureDomain === query.localDomain);
  const homeRoute = home.length === 0 ? undefined : shortestPath(search, home, boundaries);
  if (home.length === usable.length) return homeRoute;
  if (homeRoute !== undefined) {
    // No route elsewhere is cheaper than home without its congestion, so most choices end here.
    if (homeRoute.costMs <= costWithoutToll(query, home, homeRoute) * FAR_WORSE) return homeRoute;
    if (homeRoute.costMs <= cheapestCost(query, usable, boundaries) * FAR_WORSE) return homeRoute;
  }
  return shortestPath(search, usable, boundaries) ?? homeRoute;
}

/** A route's cost if its servers were idle. */
function costWithoutToll(query: RouteQuery, home: readonly Candidate[], route: Route): number {
  let toll = 0;
  for (const stage of route.stages) {
    const candidate = home.find(({ server }) => server === stage.server);
    if (candidate === undefined) continue;
    const price = layerPrice(candidate.layerMs, query.busyMs(stage.server));
    toll += (stage.to - stage.from) * (price - candidate.layerMs);
  }
  return route.costMs - toll;
}

/** Lower bound of any route's cost: each layer on its cheapest usable server, without links. */
function cheapestCost(
  query: RouteQuery,
  usable: readonly Candidate[],
  boundaries: readonly number[],
): number {
  let sum = 0;
  for (let index = 0; index + 1 < boundaries.length; index += 1) {
    const from = boundaries[index];
    const to = boundaries[index + 1];
    let best = Infinity;
    for (const candidate of usable) {
      if (candidate.from > from || candidate.to < to) continue;
      best = Math.min(
        best,
        (to - from) * layerPrice(candidate.layerMs, query.busyMs(candidate.server)),
      );
    }
    sum += best;
  }
  return sum;
}

/** Tells whether stages cover [0, layers) without gap or overlap. */
export function coversOnce(stages: readonly Stage[], layers: number): boolean {
  let next = 0;
  for (const stage of stages) {
    if (stage.from !== next || stage.to <= stage.from) return false;
    next = stage.to;
  }
  return next === layers;
}
