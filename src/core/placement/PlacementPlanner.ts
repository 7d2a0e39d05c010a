/**
 * Decides which layers each server of an engine holds.
 *
 * Memory that layers leave free holds requests, so a server is never filled with layers. Servers that
 * hold layers keep them; empty servers take the layers that their own failure domain covers least, then
 * those that the fleet covers least. A gap that no empty server can fill is closed by neighbours that
 * hold a few layers more, or by a server whose own layers the domain holds elsewhere too.
 */
import type { EngineProfile, LayerSpan } from '../deployment/Types.js';
import { Coverage, firstGap } from './Coverage.js';

/** A server as the planner sees it. */
export interface PlacementServer {
  readonly id: string;
  readonly failureDomain: string;
  readonly accelerator: string;
  /** Layers that it holds or was ordered to hold. */
  readonly span: LayerSpan | undefined;
  /** Whether it takes no order now, since one is being carried out. */
  readonly isBusy: boolean;
}

/** A server and the layers it is to hold. */
export interface Assignment {
  readonly id: string;
  readonly span: LayerSpan;
}

/** Shares of a server's memory given to layers; the first that covers each failure domain is used. */
const LAYER_SHARES = [0.72, 0.78, 0.84];

/** Share given to layers when no usual one covers each failure domain, and to close gaps. */
const MAX_LAYER_SHARE = 0.9;

/** Layers a failure domain should hold, as a multiple of the model: room for overlap. */
const WANTED_COPIES = 1.15;

/** Weight of a gap in the own failure domain against one in the fleet. */
const HOME_WEIGHT = 4;

/** Value of the n-th copy of a layer falls by this factor with each copy. */
const COPY_DECAY = 0.25;

/** Gaps that are closed in one round; the weight store shares its speed among more loads. */
const MAX_REPAIRS = 4;

/** Layers that fit into a share of an accelerator's memory. */
function layersWithin(engine: EngineProfile, accelerator: string, share: number): number {
  const memoryMb = engine.accelerators.get(accelerator)?.memoryMb ?? 0;
  return Math.min(engine.layers, Math.floor((memoryMb * share) / engine.layerMb));
}

/** Smallest share of memory for layers with which every failure domain covers the model. */
export function layerShare(engine: EngineProfile, servers: readonly PlacementServer[]): number {
  for (const share of LAYER_SHARES) {
    const held = new Map<string, number>();
    for (const { failureDomain, accelerator } of servers) {
      const layers = layersWithin(engine, accelerator, share);
      held.set(failureDomain, (held.get(failureDomain) ?? 0) + layers);
    }
    const wanted = engine.layers * WANTED_COPIES;
    if ([...held.values()].every((layers) => layers >= wanted)) return share;
  }
  return MAX_LAYER_SHARE;
}

function copyValue(coverage: Coverage, failureDomain: string, layer: number): number {
  const home = COPY_DECAY ** coverage.home(failureDomain)[layer];
  return HOME_WEIGHT * home + COPY_DECAY ** coverage.all[layer];
}

/** The span of `size` layers that is worth most; the earliest of equals, so that spans tile. */
function bestSpan(coverage: Coverage, failureDomain: string, size: number): LayerSpan {
  let sum = 0;
  let best = -Infinity;
  let from = 0;
  for (let to = 1; to <= coverage.all.length; to += 1) {
    sum += copyValue(coverage, failureDomain, to - 1);
    if (to > size) sum -= copyValue(coverage, failureDomain, to - 1 - size);
    if (to >= size && sum > best + 1e-9) {
      best = sum;
      from = to - size;
    }
  }
  return { from, to: from + size };
}

/** Plans the servers of one engine. */
class Plan {
  public readonly assignments = new Map<string, LayerSpan>();

  private readonly coverage: Coverage;

  private readonly spans = new Map<string, LayerSpan>();

  public constructor(
    private readonly engine: EngineProfile,
    private readonly servers: readonly PlacementServer[],
    private readonly movable: (server: PlacementServer) => boolean,
  ) {
    this.coverage = new Coverage(engine.layers);
    for (const server of servers) {
      if (server.span === undefined) continue;
      this.coverage.add(server.failureDomain, server.span);
      this.spans.set(server.id, server.span);
    }
  }

  /** Gives layers to servers that hold none, the largest first. */
  public fillEmpty(): void {
    const share = layerShare(this.engine, this.servers);
    const empty: { server: PlacementServer; size: number }[] = [];
    for (const server of this.servers) {
      if (server.span !== undefined || !this.movable(server)) continue;
      empty.push({ server, size: layersWithin(this.engine, server.accelerator, share) });
    }
    empty.sort((a, b) => b.size - a.size || (a.server.id < b.server.id ? -1 : 1));
    for (const { server, size } of empty) {
      if (size > 0) this.assign(server, bestSpan(this.coverage, server.failureDomain, size));
    }
  }

  /** Closes gaps of one failure domain, those of the whole fleet first. */
  public repair(failureDomain: string): void {
    for (let repairs = 0; repairs < MAX_REPAIRS; repairs += 1) {
      const home = this.coverage.home(failureDomain);
      const gap = firstGap(this.coverage.all) ?? firstGap(home);
      if (gap === undefined || home[gap.from] > 0) return;
      if (!this.extendNeighbour(failureDomain, gap) && !this.moveSpare(failureDomain, gap)) return;
    }
  }

  /** Lets a server that holds layers beside the gap hold some of the gap too. */
  private extendNeighbour(failureDomain: string, gap: LayerSpan): boolean {
    for (const server of this.servers) {
      const span = this.spans.get(server.id);
      if (span === undefined || !this.mayMove(server, failureDomain)) continue;
      const most = layersWithin(this.engine, server.accelerator, MAX_LAYER_SHARE);
      const room = most - (span.to - span.from);
      if (room <= 0) continue;
      if (span.from < gap.from && span.to >= gap.from) {
        this.assign(server, { from: span.from, to: Math.min(span.to + room, gap.to) });
        return true;
      }
      if (span.to > gap.to && span.from <= gap.to) {
        this.assign(server, { from: Math.max(span.from - room, gap.from), to: span.to });
        return true;
      }
    }
    return false;
  }

  /** Moves the smallest server whose layers the domain holds elsewhere too. */
  private moveSpare(failureDomain: string, gap: LayerSpan): boolean {
    const home = this.coverage.home(failureDomain);
    let best: PlacementServer | undefined;
    let bestSize = Infinity;
    for (const server of this.servers) {
      const span = this.spans.get(server.id);
      if (span === undefined || !this.mayMove(server, failureDomain)) continue;
      const size = span.to - span.from;
      if (size >= bestSize || !heldTwice(home, span)) continue;
      best = server;
      bestSize = size;
    }
    if (best === undefined) return false;
    const from = Math.min(gap.from, this.engine.layers - bestSize);
    this.assign(best, { from, to: from + bestSize });
    return true;
  }

  private mayMove(server: PlacementServer, failureDomain: string): boolean {
    if (server.failureDomain !== failureDomain || server.isBusy) return false;
    return this.movable(server) && !this.assignments.has(server.id);
  }

  private assign(server: PlacementServer, span: LayerSpan): void {
    const held = this.spans.get(server.id);
    if (held !== undefined) this.coverage.remove(server.failureDomain, held);
    this.coverage.add(server.failureDomain, span);
    this.spans.set(server.id, span);
    this.assignments.set(server.id, span);
  }
}

function heldTwice(copies: Int16Array, span: LayerSpan): boolean {
  for (let layer = span.from; layer < span.to; layer += 1) if (copies[layer] < 2) return false;
  return true;
}

/**
 * Plans the servers of one failure domain.
 * @param servers - usable servers of the engine, in all failure domains
 * @param failureDomain - the domain whose servers may get orders
 * @returns new layers for some of the domain's servers
 */
export function planPlacement(
  engine: EngineProfile,
  servers: readonly PlacementServer[],
  failureDomain: string,
): Assignment[] {
  const plan = new Plan(engine, servers, (server) => server.failureDomain === failureDomain);
  plan.fillEmpty();
  plan.repair(failureDomain);
  return [...plan.assignments].map(([id, span]) => ({ id, span }));
}
