/**
 * Decides which layers each server of an engine holds.
 *
 * Memory that layers leave free holds requests, so a server is never filled with layers, and a layer
 * is valued by the requests that its servers have memory for. Servers keep their layers unless a
 * change gains much more than it disrupts; empty servers take the most valuable layers.
 */
import type { EngineProfile, LayerSpan } from '../deployment/Types.js';
import { Coverage } from './Coverage.js';
import { bestSpan, spanGain } from './CoverageValue.js';

/** A server as the planner sees it. */
export interface PlacementServer {
  readonly id: string;
  readonly failureDomain: string;
  readonly accelerator: string;
  /** Layers that it holds or was ordered to hold. */
  readonly span: LayerSpan | undefined;
  /** Whether an order to it is open or was sent recently, so that its layers are not changed now. */
  readonly hasRecentOrder: boolean;
}

/** A server and the layers that it is to hold. */
export interface Assignment {
  readonly id: string;
  readonly span: LayerSpan;
}

/** Shares of a server's memory for layers. See `chooseLayerShare`. */
const LAYER_SHARES = [0.72, 0.78, 0.84];

/**
 * Maximum share of memory for layers: used if no entry of `LAYER_SHARES` suffices, and as the limit when
 * a held span is extended to close a gap.
 */
const MAX_LAYER_SHARE = 0.9;

/** Layers that a failure domain should hold, as a multiple of the model's; leaves room for overlap. */
const WANTED_COPIES = 1.15;

/**
 * Maximum number of servers whose held layers are changed in one round, since all of them load weights
 * from the same store and share its bandwidth.
 */
const MAX_CHANGES_PER_ROUND = 3;

/**
 * A change must gain more than this: somewhat less than `FIRST_IN_DOMAIN_VALUE` of CoverageValue, so that
 * covering one layer that the failure domain lacks can justify a change.
 */
const MIN_GAIN = 3;

/** Cost of each layer that a server releases, since requests pass through it. */
const RELEASED_LAYER_COST = 0.2;

/** Layers that fit into a share of an accelerator's memory. */
export function layerCapacity(engine: EngineProfile, accelerator: string, share: number): number {
  const memoryMb = engine.accelerators.get(accelerator)?.memoryMb ?? 0;
  return Math.min(engine.layers, Math.floor((memoryMb * share) / engine.layerMb));
}

/** Requests of mean length that an accelerator has memory for in addition to `layers` layers. */
export function requestCapacity(
  engine: EngineProfile,
  accelerator: string,
  layers: number,
): number {
  const memoryMb = engine.accelerators.get(accelerator)?.memoryMb ?? 0;
  const tokens = engine.usualPromptTokens + engine.usualAnswerTokens;
  const requestMb = (engine.tokenMb / engine.layers) * layers * tokens;
  return Math.max(0, memoryMb - layers * engine.layerMb) / requestMb;
}

/**
 * Returns the first of `LAYER_SHARES` with which every failure domain has room for `WANTED_COPIES` of
 * the model; `MAX_LAYER_SHARE` if none suffices.
 */
export function chooseLayerShare(
  engine: EngineProfile,
  servers: readonly PlacementServer[],
): number {
  for (const share of LAYER_SHARES) {
    const held = new Map<string, number>();
    for (const { failureDomain, accelerator } of servers) {
      const layers = layerCapacity(engine, accelerator, share);
      held.set(failureDomain, (held.get(failureDomain) ?? 0) + layers);
    }
    const wanted = engine.layers * WANTED_COPIES;
    if ([...held.values()].every((layers) => layers >= wanted)) return share;
  }
  return MAX_LAYER_SHARE;
}

function overlap(a: LayerSpan, b: LayerSpan): number {
  return Math.max(0, Math.min(a.to, b.to) - Math.max(a.from, b.from));
}

/** Plans the layers of one engine's servers in one failure domain. */
class PlacementPlan {
  public readonly assignments = new Map<string, LayerSpan>();

  private readonly coverage: Coverage;

  private readonly spans = new Map<string, LayerSpan>();

  public constructor(
    private readonly engine: EngineProfile,
    private readonly servers: readonly PlacementServer[],
    private readonly failureDomain: string,
  ) {
    this.coverage = new Coverage(engine.layers);
    for (const server of servers) {
      if (server.span === undefined) continue;
      this.coverage.add(server.failureDomain, server.span, this.requestsWith(server, server.span));
      this.spans.set(server.id, server.span);
    }
  }

  /** Assigns layers to servers that hold none, the one with the most capacity first. */
  public fillEmpty(): void {
    const share = chooseLayerShare(this.engine, this.servers);
    const empty: { server: PlacementServer; size: number }[] = [];
    for (const server of this.servers) {
      if (server.span !== undefined || server.failureDomain !== this.failureDomain) continue;
      empty.push({ server, size: layerCapacity(this.engine, server.accelerator, share) });
    }
    empty.sort((a, b) => b.size - a.size || (a.server.id < b.server.id ? -1 : 1));
    for (const { server, size } of empty) {
      if (size > 0) this.assign(server, this.bestSpanFor(server, size));
    }
  }

  /** Changes the layers of servers that hold some, one at a time, each time the change that gains most. */
  public improve(): void {
    for (let changes = 0; changes < MAX_CHANGES_PER_ROUND; changes += 1) {
      let best: { server: PlacementServer; span: LayerSpan } | undefined;
      let bestGain = MIN_GAIN;
      for (const server of this.servers) {
        if (!this.mayChange(server)) continue;
        for (const span of this.optionsFor(server)) {
          const gain = this.gainOf(server, span);
          if (gain <= bestGain) continue;
          bestGain = gain;
          best = { server, span };
        }
      }
      if (best === undefined) return;
      this.assign(best.server, best.span);
    }
  }

  private requestsWith({ accelerator }: PlacementServer, { from, to }: LayerSpan): number {
    return requestCapacity(this.engine, accelerator, to - from);
  }

  private bestSpanFor(server: PlacementServer, size: number): LayerSpan {
    const requests = requestCapacity(this.engine, server.accelerator, size);
    return bestSpan(this.coverage, this.failureDomain, size, requests);
  }

  private mayChange(server: PlacementServer): boolean {
    if (server.failureDomain !== this.failureDomain || server.hasRecentOrder) return false;
    return server.span !== undefined && !this.assignments.has(server.id);
  }

  /** Lists the best position for the same number of layers, and the held span extended on either side. */
  private optionsFor(server: PlacementServer): LayerSpan[] {
    const held = this.spans.get(server.id) as LayerSpan;
    const size = held.to - held.from;
    this.removeCoverage(server, held);
    const options = [this.bestSpanFor(server, size)];
    this.addCoverage(server, held);
    const maxLayers = layerCapacity(this.engine, server.accelerator, MAX_LAYER_SHARE);
    for (let added = 1; added <= maxLayers - size; added += 1) {
      if (held.from >= added) options.push({ from: held.from - added, to: held.to });
      if (held.to + added <= this.engine.layers)
        options.push({ from: held.from, to: held.to + added });
    }
    return options;
  }

  private gainOf(server: PlacementServer, span: LayerSpan): number {
    const held = this.spans.get(server.id) as LayerSpan;
    const released = held.to - held.from - overlap(held, span);
    const loss = spanGain(
      this.coverage,
      this.failureDomain,
      held,
      -this.requestsWith(server, held),
    );
    this.removeCoverage(server, held);
    const gain = spanGain(this.coverage, this.failureDomain, span, this.requestsWith(server, span));
    this.addCoverage(server, held);
    return gain + loss - released * RELEASED_LAYER_COST;
  }

  private removeCoverage(server: PlacementServer, span: LayerSpan): void {
    this.coverage.remove(server.failureDomain, span, this.requestsWith(server, span));
  }

  private addCoverage(server: PlacementServer, span: LayerSpan): void {
    this.coverage.add(server.failureDomain, span, this.requestsWith(server, span));
  }

  private assign(server: PlacementServer, span: LayerSpan): void {
    const held = this.spans.get(server.id);
    if (held !== undefined) this.removeCoverage(server, held);
    this.addCoverage(server, span);
    this.spans.set(server.id, span);
    this.assignments.set(server.id, span);
  }
}

/**
 * Plans the layers of one engine's servers in one failure domain.
 * @param servers - servers of the engine that are neither leaving nor missing, in all failure domains
 * @param failureDomain - the domain whose servers may get orders
 * @returns new layers for some of the domain's servers
 */
export function planPlacement(
  engine: EngineProfile,
  servers: readonly PlacementServer[],
  failureDomain: string,
): Assignment[] {
  const plan = new PlacementPlan(engine, servers, failureDomain);
  plan.fillEmpty();
  plan.improve();
  return [...plan.assignments].map(([id, span]) => ({ id, span }));
}
