/** Chooses routes by shortest path over layer boundaries. */
import { layerBoundaries } from './FlowPlan.js';
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
const STAGE_MS = 0.3;

/**
 * The local route is used if it costs at most this many times its cost without congestion, or at most this
 * many times the lower bound of any route's cost.
 */
const MAX_LOCAL_COST_FACTOR = 1.2;

/** Congestion cost of one layer on a server at `CONGESTION_BUSY_MS`, in milliseconds. */
const CONGESTION_MS = 0.3;

/** Busy time at which the congestion cost is `CONGESTION_MS`, in milliseconds. */
const CONGESTION_BUSY_MS = 8;

/** Exponent with which the congestion cost rises with the busy time. */
const CONGESTION_EXPONENT = 4;

/** A route from the first layer to a boundary, as a list linked from its last stage. */
interface PartialRoute {
  cost: number;
  candidate: Candidate | undefined;
  fromBoundary: number;
  previous: PartialRoute | undefined;
}

/**
 * Cost of one layer on a busy server, in milliseconds. The congestion cost is the same for all
 * accelerator kinds: under load every server must be used equally, and the longer layer times of slow
 * kinds would otherwise keep work away from them.
 * @param busyMs - busy time that the server adds to each token, in milliseconds
 */
export function layerCost(layerMs: number, busyMs: number): number {
  return layerMs + CONGESTION_MS * (busyMs / CONGESTION_BUSY_MS) ** CONGESTION_EXPONENT;
}

/** A route search with the costs of stages and links. */
interface Search extends RouteSearch {
  /** Cost of a stage with a number of layers, without rebuilding its KV cache, in milliseconds. */
  readonly stageMs: (candidate: Candidate, layers: number) => number;
  /** Cost of a link between two failure domains, in milliseconds; Infinity if it must not be used. */
  readonly crossDomainMs: (from: string, to: string) => number;
  /** Cost of a route that begins in a remote failure domain, in milliseconds. */
  readonly remoteEntryMs: number;
}

function toBusyTimeSearch(query: RouteQuery): Search {
  return {
    ...query,
    crossDomainMs: () => CROSS_DOMAIN_LINK_MS,
    remoteEntryMs: CROSS_DOMAIN_LINK_MS,
    stageMs: (candidate, layers) =>
      layers * layerCost(candidate.layerMs, query.busyMs(candidate.server)) +
      candidate.linkMs +
      STAGE_MS,
  };
}

function toPricedSearch({ costs, ...query }: PricedRouteQuery): Search {
  return {
    ...query,
    crossDomainMs: costs.crossDomainMs,
    remoteEntryMs: costs.remoteEntryMs,
    stageMs: (candidate, layers) => layers * candidate.layerMs + candidate.linkMs,
  };
}

/** Sets the costs of the usable candidates. */
function priceCandidates(query: PricedRouteQuery): Candidate[] {
  const priced: Candidate[] = [];
  for (const candidate of query.candidates) {
    const { server, address, failureDomain, from, to } = candidate;
    if (!query.usable(server)) continue;
    const { layerMs, stageMs } = query.costs.server(server);
    priced.push({ server, address, failureDomain, from, to, layerMs, linkMs: stageMs });
  }
  return priced;
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

function linkMs(search: Search, { candidate }: PartialRoute, toDomain: string): number {
  if (candidate === undefined) return toDomain === search.localDomain ? 0 : search.remoteEntryMs;
  const from = candidate.failureDomain;
  return from === toDomain ? 0 : search.crossDomainMs(from, toDomain);
}

function toRoute(last: PartialRoute, boundaries: readonly number[], end: number): Route {
  const stages: Stage[] = [];
  let to = end;
  let partial: PartialRoute | undefined = last;
  while (partial?.candidate !== undefined) {
    const from = boundaries[partial.fromBoundary];
    const { server, address, failureDomain } = partial.candidate;
    stages.unshift({ server, address, failureDomain, from, to });
    to = from;
    partial = partial.previous;
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

/** Finds the cheapest partial route to continue in a failure domain, with the link to it. */
function cheapestStart(
  search: Search,
  partials: Iterable<PartialRoute>,
  domain: string,
): { cost: number; partial: PartialRoute | undefined } {
  const best: { cost: number; partial: PartialRoute | undefined } = {
    cost: Infinity,
    partial: undefined,
  };
  for (const partial of partials) {
    const cost = partial.cost + linkMs(search, partial, domain);
    if (cost >= best.cost) continue;
    best.cost = cost;
    best.partial = partial;
  }
  return best;
}

function extendRoutes(
  search: Search,
  boundaries: readonly number[],
  cheapest: Map<string, PartialRoute>[],
  index: number,
  candidates: readonly Candidate[],
): void {
  const from = boundaries[index];
  const starts = new Map<string, ReturnType<typeof cheapestStart>>();
  for (const candidate of candidates) {
    if (candidate.from > from || candidate.to <= from) continue;
    const domain = candidate.failureDomain;
    let start = starts.get(domain);
    if (start === undefined) {
      start = cheapestStart(search, cheapest[index].values(), domain);
      starts.set(domain, start);
    }
    const { partial } = start;
    if (partial === undefined) continue;
    for (let next = index + 1; next < boundaries.length; next += 1) {
      const to = boundaries[next];
      if (to > candidate.to) break;
      const cost = start.cost + stageCost(search, candidate, from, to);
      const known = cheapest[next].get(domain);
      if (known !== undefined && known.cost <= cost) continue;
      cheapest[next].set(domain, { cost, candidate, fromBoundary: index, previous: partial });
    }
  }
}

function shortestPath(
  search: Search,
  candidates: readonly Candidate[],
  boundaries: readonly number[],
): Route | undefined {
  // One partial route for each failure domain, since the cost of the link to the next stage depends only on
  // the domains.
  const cheapest = boundaries.map(() => new Map<string, PartialRoute>());
  cheapest[0].set(search.localDomain, {
    cost: 0,
    candidate: undefined,
    fromBoundary: 0,
    previous: undefined,
  });
  for (const index of boundaries.keys())
    extendRoutes(search, boundaries, cheapest, index, candidates);
  let last: PartialRoute | undefined;
  for (const partial of (cheapest.at(-1) as Map<string, PartialRoute>).values()) {
    if (last === undefined || partial.cost < last.cost) last = partial;
  }
  return last === undefined ? undefined : toRoute(last, boundaries, search.layers);
}

function usableCandidates({ candidates, usable }: RouteSearch): Candidate[] {
  return candidates.filter((candidate) => usable(candidate.server));
}

/**
 * Plans the cheapest route over the usable servers of all failure domains.
 * @returns undefined if the usable servers do not cover every layer
 */
export function planCheapestRoute(query: PricedRouteQuery): Route | undefined {
  const boundaries = layerBoundaries(query.candidates, query.layers);
  return shortestPath(toPricedSearch(query), priceCandidates(query), boundaries);
}

/**
 * Plans a route in the local failure domain, or over all domains if there is none or it exceeds both bounds
 * that `MAX_LOCAL_COST_FACTOR` sets.
 * @returns undefined if the usable servers do not cover every layer
 */
export function planRoute(query: RouteQuery): Route | undefined {
  const boundaries = layerBoundaries(query.candidates, query.layers);
  const search = toBusyTimeSearch(query);
  const usable = usableCandidates(query);
  const local = usable.filter((candidate) => candidate.failureDomain === query.localDomain);
  const localRoute = local.length === 0 ? undefined : shortestPath(search, local, boundaries);
  if (local.length === usable.length) return localRoute;
  if (localRoute !== undefined) {
    // Most choices end here: if congestion adds little to the local route, it is used without further
    // search, even if a remote route over faster servers is cheaper.
    if (localRoute.costMs <= uncongestedCost(query, local, localRoute) * MAX_LOCAL_COST_FACTOR)
      return localRoute;
    if (localRoute.costMs <= lowerBoundCost(query, usable, boundaries) * MAX_LOCAL_COST_FACTOR)
      return localRoute;
  }
  return shortestPath(search, usable, boundaries) ?? localRoute;
}

/** Cost of a route if its servers were idle. */
function uncongestedCost(query: RouteQuery, local: readonly Candidate[], route: Route): number {
  let congestionMs = 0;
  for (const stage of route.stages) {
    const candidate = local.find(({ server }) => server === stage.server);
    if (candidate === undefined) continue;
    const cost = layerCost(candidate.layerMs, query.busyMs(stage.server));
    congestionMs += (stage.to - stage.from) * (cost - candidate.layerMs);
  }
  return route.costMs - congestionMs;
}

/** Lower bound of the cost of any route: each layer on its cheapest usable server, without links. */
function lowerBoundCost(
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
        (to - from) * layerCost(candidate.layerMs, query.busyMs(candidate.server)),
      );
    }
    sum += best;
  }
  return sum;
}

/** Whether stages cover [0, layers) without gap or overlap. */
export function coversOnce(stages: readonly Stage[], layers: number): boolean {
  let next = 0;
  for (const stage of stages) {
    if (stage.from !== next || stage.to <= stage.from) return false;
    next = stage.to;
  }
  return next === layers;
}
