/**
 * Decides which layers each server of an engine holds.
 *
 * Memory that layers leave free holds requests, so a server is never filled with layers. Servers that
 * hold layers keep them while their failure domain covers the model; empty servers take the layers that
 * their own failure domain covers least, then those that the fleet covers least.
 */
import type { EngineProfile, LayerSpan } from '../deployment/Types.js';

/** A server as the planner sees it. */
export interface PlacementServer {
  readonly id: string;
  readonly failureDomain: string;
  readonly accelerator: string;
  /** Layers that it holds or is loading. */
  readonly span: LayerSpan | undefined;
}

/** A server and the layers it is to hold. */
export interface Assignment {
  readonly id: string;
  readonly span: LayerSpan;
}

/** Share of a server's memory given to layers when that covers each failure domain. */
const USUAL_LAYER_SHARE = 0.72;

/** Share given to layers when the usual one leaves a failure domain uncovered. */
const MAX_LAYER_SHARE = 0.9;

/** Layers a failure domain should hold, as a multiple of the model: room for overlap. */
const WANTED_COPIES = 1.15;

/** Weight of a gap in the own failure domain against one in the fleet. */
const HOME_WEIGHT = 4;

/** Value of the n-th copy of a layer falls by this factor with each copy. */
const COPY_DECAY = 0.25;

/** Layers that fit into a share of an accelerator's memory. */
function layersWithin(engine: EngineProfile, accelerator: string, share: number): number {
  const memoryMb = engine.accelerators.get(accelerator)?.memoryMb ?? 0;
  return Math.min(engine.layers, Math.floor((memoryMb * share) / engine.layerMb));
}

/** Smallest share of memory for layers with which every failure domain covers the model. */
export function layerShare(engine: EngineProfile, servers: readonly PlacementServer[]): number {
  for (const share of [USUAL_LAYER_SHARE, 0.78, 0.84]) {
    const held = new Map<string, number>();
    for (const { failureDomain, accelerator } of servers) {
      const layers = layersWithin(engine, accelerator, share);
      held.set(failureDomain, (held.get(failureDomain) ?? 0) + layers);
    }
    if ([...held.values()].every((layers) => layers >= engine.layers * WANTED_COPIES)) return share;
  }
  return MAX_LAYER_SHARE;
}

/** Copies of each layer, in the fleet and in each failure domain. */
class Coverage {
  public readonly fleet: Float64Array;

  private readonly domains = new Map<string, Float64Array>();

  public constructor(private readonly layers: number) {
    this.fleet = new Float64Array(layers);
  }

  public domain(name: string): Float64Array {
    let copies = this.domains.get(name);
    if (copies === undefined) {
      copies = new Float64Array(this.layers);
      this.domains.set(name, copies);
    }
    return copies;
  }

  public add(failureDomain: string, span: LayerSpan): void {
    const home = this.domain(failureDomain);
    for (let layer = span.from; layer < span.to; layer += 1) {
      this.fleet[layer] += 1;
      home[layer] += 1;
    }
  }

  /** What one more copy of a layer is worth. */
  public valueOf(failureDomain: string, layer: number): number {
    const home = COPY_DECAY ** this.domain(failureDomain)[layer];
    return HOME_WEIGHT * home + COPY_DECAY ** this.fleet[layer];
  }
}

/** The span of `size` layers that is worth most; the earliest of equals, so that spans tile. */
function bestSpan(
  coverage: Coverage,
  failureDomain: string,
  size: number,
  layers: number,
): LayerSpan {
  let sum = 0;
  let best = -Infinity;
  let from = 0;
  for (let to = 1; to <= layers; to += 1) {
    sum += coverage.valueOf(failureDomain, to - 1);
    if (to > size) sum -= coverage.valueOf(failureDomain, to - 1 - size);
    if (to >= size && sum > best + 1e-9) {
      best = sum;
      from = to - size;
    }
  }
  return { from, to: from + size };
}

/**
 * Assigns layers to servers that hold none.
 * @param servers - usable servers of the engine, those with layers included
 * @returns assignments for the empty servers only
 */
export function planPlacement(
  engine: EngineProfile,
  servers: readonly PlacementServer[],
): Assignment[] {
  const share = layerShare(engine, servers);
  const coverage = new Coverage(engine.layers);
  const empty: { server: PlacementServer; size: number }[] = [];
  for (const server of servers) {
    if (server.span !== undefined) coverage.add(server.failureDomain, server.span);
    else empty.push({ server, size: layersWithin(engine, server.accelerator, share) });
  }
  empty.sort((a, b) => b.size - a.size || (a.server.id < b.server.id ? -1 : 1));
  const assignments: Assignment[] = [];
  for (const { server, size } of empty) {
    if (size === 0) continue;
    const span = bestSpan(coverage, server.failureDomain, size, engine.layers);
    coverage.add(server.failureDomain, span);
    assignments.push({ id: server.id, span });
  }
  return assignments;
}
