/**
 * Measures how many requests fit in the memory that the router's own placement and two baselines leave,
 * against an upper bound: the fleet's memory as one pool with one copy of the model.
 */
import { planFlow } from '../src/core/routing/FlowPlan.js';
import type { EngineProfile, LayerSpan } from '../src/core/deployment/Types.js';
import {
  planPlacement,
  requestCapacity,
  layerCapacity,
  type PlacementServer,
} from '../src/core/placement/PlacementPlanner.js';
import { SeededRandom } from '../src/fakes/SeededRandom.js';

/** The router's own placement policy and two baselines. */
export enum PlacementPolicy {
  /** The router's own placement planner. */
  Ours = 'ours',
  /** The servers of each domain hold consecutive spans, starting over after the last layer. */
  Tiled = 'tiled',
  /** Each server holds a random span. */
  Random = 'random',
}

/** Number of usual requests that fit at once under one policy. */
export interface PlacementRow {
  readonly policy: PlacementPolicy;
  /** In the whole fleet, with an optimal choice of routes. */
  readonly fleet: number;
  /** After the loss of the one server whose loss costs most. */
  readonly worstLoss: number;
  /** In the failure domain with the least capacity, partitioned from the others. */
  readonly worstDomain: number;
  /** Fraction of the requests that the fleet's memory would hold as one pool with one copy of the model. */
  readonly ofPool: number;
}

/** Share of memory that the baselines use for layers. */
const LAYER_SHARE = 0.72;

type PlacedServer = PlacementServer & { readonly span: LayerSpan };

function placeSpan(server: PlacementServer, from: number, size: number): PlacedServer {
  return { ...server, span: { from, to: from + size } };
}

function planTiled(engine: EngineProfile, servers: readonly PlacementServer[]): PlacedServer[] {
  const next = new Map<string, number>();
  return servers.map((server) => {
    const size = layerCapacity(engine, server.accelerator, LAYER_SHARE);
    const nextLayer = next.get(server.failureDomain) ?? 0;
    const from = Math.min(nextLayer, engine.layers - size);
    next.set(server.failureDomain, from + size >= engine.layers ? 0 : from + size);
    return placeSpan(server, from, size);
  });
}

function planRandom(engine: EngineProfile, servers: readonly PlacementServer[]): PlacedServer[] {
  const random = new SeededRandom(1);
  return servers.map((server) => {
    const size = layerCapacity(engine, server.accelerator, LAYER_SHARE);
    return placeSpan(server, Math.floor(random.next() * (engine.layers - size + 1)), size);
  });
}

function planOurs(engine: EngineProfile, servers: readonly PlacementServer[]): PlacedServer[] {
  let placed: PlacementServer[] = [...servers];
  for (const domain of new Set(servers.map(({ failureDomain }) => failureDomain))) {
    const spans = new Map(planPlacement(engine, placed, domain).map(({ id, span }) => [id, span]));
    placed = placed.map((server) => ({ ...server, span: spans.get(server.id) ?? server.span }));
  }
  return placed as PlacedServer[];
}

const POLICIES: Readonly<
  Record<
    PlacementPolicy,
    (engine: EngineProfile, servers: readonly PlacementServer[]) => PlacedServer[]
  >
> = {
  [PlacementPolicy.Ours]: planOurs,
  [PlacementPolicy.Tiled]: planTiled,
  [PlacementPolicy.Random]: planRandom,
};

/**
 * Maximum number of usual requests that fit at once, by a linear program over the layers that
 * servers share.
 */
function requestsThatFit(engine: EngineProfile, servers: readonly PlacedServer[]): number {
  const candidates = servers.map(({ id, failureDomain, accelerator, span }) => {
    const layers = span.to - span.from;
    return {
      server: id,
      address: id,
      failureDomain,
      from: span.from,
      to: span.to,
      // planFlow is reused with memory in place of time: layerMs is the fraction of the server's
      // memory for requests that one request takes for one layer.
      layerMs: 1 / (requestCapacity(engine, accelerator, layers) * layers),
      linkMs: 0,
    };
  });
  // With memory in place of time, the token rate is the number of requests.
  return planFlow(candidates, engine.layers).tokensPerMs;
}

function pooledRequests(engine: EngineProfile, servers: readonly PlacementServer[]): number {
  let memoryMb = -engine.layers * engine.layerMb;
  for (const { accelerator } of servers)
    memoryMb += engine.accelerators.get(accelerator)?.memoryMb ?? 0;
  const tokens = engine.usualPromptTokens + engine.usualAnswerTokens;
  return memoryMb / (engine.tokenMb * tokens);
}

/** Measures every policy on a fleet of empty servers. */
export function runPlacementBench(
  engine: EngineProfile,
  servers: readonly PlacementServer[],
): PlacementRow[] {
  const pool = pooledRequests(engine, servers);
  return Object.values(PlacementPolicy).map((policy) => {
    const placed = POLICIES[policy](engine, servers);
    const fleet = requestsThatFit(engine, placed);
    let worstLoss = fleet;
    for (const { id } of placed) {
      const remaining = placed.filter((server) => server.id !== id);
      worstLoss = Math.min(worstLoss, requestsThatFit(engine, remaining));
    }
    let worstDomain = fleet;
    for (const domain of new Set(placed.map(({ failureDomain }) => failureDomain))) {
      const domainServers = placed.filter(({ failureDomain }) => failureDomain === domain);
      worstDomain = Math.min(worstDomain, requestsThatFit(engine, domainServers));
    }
    // Adding 0 turns the negative zero of an infeasible linear program into 0.
    const round = (value: number) => Math.round(value * 10) / 10 + 0;
    return {
      policy,
      fleet: round(fleet),
      worstLoss: round(worstLoss),
      worstDomain: round(worstDomain),
      ofPool: Math.round((fleet / pool) * 1000) / 1000 + 0,
    };
  });
}
