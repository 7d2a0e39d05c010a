/** Chooses the servers that a request to an engine passes through. */
import {
  AvoidReason,
  type KnownServer,
  type ServerDirectory,
} from '../deployment/ServerDirectory.js';
import type { Accelerator, EngineProfile, Service } from '../deployment/Types.js';
import { coversOnce, planCheapestRoute } from './RoutePlanner.js';
import type { ServerLimits } from '../limits/ServerLimits.js';
import { UNPACED, type PaceLimit } from '../pace/Types.js';
import type { ServerLoad } from './ServerLoad.js';
import type { Candidate, Stage } from './Types.js';

/** What a route has to satisfy. */
export interface RouteRequirements {
  readonly service: Service;
  readonly engine: EngineProfile;
  /** Tokens of prompt and answer for which memory is needed. */
  readonly tokens: number;
  /** Servers that must not be used. */
  readonly avoid: ReadonlySet<string>;
  /** Stages whose KV cache is worth keeping. */
  readonly kept: readonly Stage[];
  /** Servers at which the route may begin; any if absent. */
  readonly firstServers?: ReadonlySet<string>;
}

/** Maximum number of stages; servers reject requests with more. */
const MAX_STAGES = 32;

/** Share of a server's free memory that routes may use: answers can be longer than their estimate. */
const MEMORY_SHARE = 0.9;

/**
 * Fixed cost of another server on a route, in milliseconds: link delays and the wait for the server's next
 * batch step.
 */
const STAGE_MS = 6;

/** Cost of a server whose memory is full, in milliseconds. */
const FULL_MEMORY_MS = 250;

/** Exponent with which the cost rises as memory fills. */
const MEMORY_FILL_EXPONENT = 3;

/**
 * Weight of the decode time of an answer relative to the prefill time of its prompt, which determines the
 * time to the first event.
 */
const ANSWER_WEIGHT = 0.03;

/** Cost of a route that begins in a remote domain, in milliseconds: a partition would end the request. */
const REMOTE_ENTRY_MS = 30;

/** Factor on the time of a transfer between failure domains, for its wait for other transfers on the link. */
const LINK_CONTENTION_FACTOR = 3;

/** Time that one layer adds to a request, in milliseconds: prefill, and a share of the decode steps. */
function layerMs(engine: EngineProfile, accelerator: Accelerator): number {
  const prefillMs = (engine.usualPromptTokens / engine.readTokensPerMs) * accelerator.readFactor;
  const stepsMs = engine.usualAnswerTokens * engine.stepMs * accelerator.stepFactor;
  return (prefillMs + ANSWER_WEIGHT * stepsMs) / engine.layers;
}

/**
 * Cost of transferring the activations of `tokens` tokens between failure domains, in milliseconds, with
 * the wait for other transfers.
 */
function crossDomainMs(engine: EngineProfile, tokens: number): number {
  const bitsPerMs = engine.crossDomainMbps * 1000;
  return (LINK_CONTENTION_FACTOR * tokens * engine.activationBytes * 8) / bitsPerMs;
}

/** KV cache that a server has memory for besides its layers, in tokens times layers. */
export function kvCacheCapacity(
  engine: EngineProfile,
  accelerator: Accelerator,
  layers: number,
): number {
  const freeMb = (accelerator.memoryMb - layers * engine.layerMb) * MEMORY_SHARE;
  return Math.max(1, (freeMb * engine.layers) / engine.tokenMb);
}

export class EngineRoutes {
  private candidates = new Map<string, Candidate[]>();

  public constructor(
    private readonly directory: ServerDirectory,
    private readonly load: ServerLoad,
    private readonly localDomain: string,
    private readonly serverLimits: ServerLimits,
    private readonly pace: PaceLimit = UNPACED,
  ) {
    directory.onChange(() => this.candidates.clear());
  }

  /**
   * Plans the route of a new request. Servers that keep rejecting requests or are beyond their pace are used
   * only if there is no route without them.
   * @returns undefined if the usable servers do not cover every layer with memory for the request
   */
  public plan(requirements: RouteRequirements): readonly Stage[] | undefined {
    const { service, engine, avoid, tokens, firstServers } = requirements;
    const all = this.firstStagesWithinLimits(this.candidatesOf(service, engine));
    const candidates =
      firstServers === undefined
        ? all
        : all.filter(({ server, from }) => from > 0 || firstServers.has(server));
    const usable = (id: string) => !avoid.has(id) && this.canAccept(id, engine, tokens);
    if (!candidates.some(({ server }) => this.isLastResort(server)))
      return this.findRoute(requirements, candidates, usable);
    const preferred = (id: string) => usable(id) && !this.isLastResort(id);
    return (
      this.findRoute(requirements, candidates, preferred) ??
      this.findRoute(requirements, candidates, usable)
    );
  }

  /**
   * Keeps servers whose limit allows no further request from being the first of a route. A limit counts the
   * requests that a server receives, not those that pass through it later.
   */
  private firstStagesWithinLimits(candidates: readonly Candidate[]): readonly Candidate[] {
    if (this.serverLimits.size === 0) return candidates;
    return candidates.flatMap((candidate) => {
      const record = this.directory.get(candidate.server)?.record;
      if (candidate.from > 0 || record === undefined || this.serverLimits.allows(record))
        return [candidate];
      return candidate.to > 1 ? [{ ...candidate, from: 1 }] : [];
    });
  }

  private findRoute(
    requirements: RouteRequirements,
    candidates: readonly Candidate[],
    usable: (id: string) => boolean,
  ): readonly Stage[] | undefined {
    const { engine } = requirements;
    const route = planCheapestRoute({
      candidates,
      layers: engine.layers,
      localDomain: this.localDomain,
      usable,
      kept: requirements.kept,
      rebuildLayerMs: requirements.tokens / (engine.readTokensPerMs * engine.layers),
      costs: {
        crossDomainMs: crossDomainMs(engine, requirements.tokens),
        remoteEntryMs: REMOTE_ENTRY_MS,
        serverMs: (id) => this.serverMs(id, engine),
      },
    });
    if (route === undefined) return undefined;
    const stages = mergeRevisits(route.stages);
    return stages.length <= MAX_STAGES && coversOnce(stages, engine.layers) ? stages : undefined;
  }

  /**
   * Plans a new route for a running request, which keeps its first stage.
   * @param first - the stage that stays
   * @returns undefined if the usable servers do not cover the other layers
   */
  public planReroute(requirements: RouteRequirements, first: Stage): readonly Stage[] | undefined {
    const { engine } = requirements;
    if (first.to === engine.layers) return [first];
    const candidates: Candidate[] = [];
    for (const candidate of this.candidatesOf(requirements.service, engine)) {
      if (candidate.server === first.server || candidate.to <= first.to) continue;
      candidates.push({ ...candidate, from: Math.max(candidate.from, first.to) });
    }
    const firstServer = this.directory.get(first.server);
    if (firstServer === undefined) return undefined;
    candidates.push({
      ...first,
      failureDomain: firstServer.record.failureDomain,
      layerMs: 0,
      linkMs: 0,
    });
    const keptServers = new Set(requirements.kept.map(({ server }) => server));
    const stages = this.findRoute(requirements, candidates, (id) => {
      if (id === first.server) return true;
      if (requirements.avoid.has(id)) return false;
      // Kept stages have their memory already.
      return keptServers.has(id)
        ? this.directory.isWorking(id)
        : this.canAccept(id, engine, requirements.tokens);
    });
    return stages?.[0].server === first.server && stages[0].to === first.to ? stages : undefined;
  }

  /**
   * Explains why no route was found.
   * @returns the layers that no usable server holds, and those that none has memory for
   */
  public explainNoRoute(requirements: RouteRequirements): { missing: string; full: string } {
    const held = new Uint8Array(requirements.engine.layers);
    const withMemory = new Uint8Array(requirements.engine.layers);
    for (const { server, from, to } of this.candidatesOf(
      requirements.service,
      requirements.engine,
    )) {
      if (requirements.avoid.has(server) || !this.directory.isUsable(server)) continue;
      held.fill(1, from, to);
      if (this.canAccept(server, requirements.engine, requirements.tokens))
        withMemory.fill(1, from, to);
    }
    return { missing: describeGaps(held), full: describeGaps(withMemory) };
  }

  /** Expected wait at a server and the cost of memory that other requests will need, in milliseconds. */
  private serverMs(id: string, engine: EngineProfile): number {
    const server = this.directory.get(id);
    const accelerator = engine.accelerators.get(server?.record.accelerator ?? '');
    const span = server?.record.span;
    if (accelerator === undefined || span === undefined) return STAGE_MS;
    const layers = span.to - span.from;
    const prefillTokensPerMs = engine.readTokensPerMs / accelerator.readFactor;
    const backlogMs = ((this.load.prefillTokens(id) / prefillTokensPerMs) * layers) / engine.layers;
    const fill = this.load.tokenLayers(id) / kvCacheCapacity(engine, accelerator, layers);
    return STAGE_MS + backlogMs + FULL_MEMORY_MS * fill ** MEMORY_FILL_EXPONENT;
  }

  private isLastResort(id: string): boolean {
    const server = this.directory.get(id);
    if (server === undefined) return false;
    return this.directory.avoidReason(server) === AvoidReason.Declining || !this.pace.allows(id);
  }

  private canAccept(id: string, engine: EngineProfile, tokens: number): boolean {
    const server = this.directory.get(id);
    if (server === undefined) return false;
    const reason = this.directory.avoidReason(server);
    if (reason !== undefined && reason !== AvoidReason.Declining) return false;
    const { span, accelerator } = server.record;
    const kind = engine.accelerators.get(accelerator);
    if (span === undefined || kind === undefined) return false;
    const layers = span.to - span.from;
    return this.load.tokenLayers(id) + tokens * layers <= kvCacheCapacity(engine, kind, layers);
  }

  private candidatesOf(service: Service, engine: EngineProfile): Candidate[] {
    let found = this.candidates.get(service.name);
    if (found === undefined) {
      found = [];
      for (const server of this.directory.all()) {
        const candidate = toCandidate(server, service, engine);
        if (candidate !== undefined) found.push(candidate);
      }
      this.candidates.set(service.name, found);
    }
    return found;
  }
}

function toCandidate(
  { record }: KnownServer,
  service: Service,
  engine: EngineProfile,
): Candidate | undefined {
  const accelerator = engine.accelerators.get(record.accelerator);
  if (record.service !== service.name || record.span === undefined || accelerator === undefined)
    return undefined;
  return {
    server: record.id,
    address: record.address,
    failureDomain: record.failureDomain,
    from: record.span.from,
    to: record.span.to,
    layerMs: layerMs(engine, accelerator),
    linkMs: 0,
  };
}

/** Formats the layers that are not covered, for example `8-16,40-48`. */
function describeGaps(covered: Uint8Array): string {
  const gaps: string[] = [];
  let from = -1;
  for (let layer = 0; layer <= covered.length; layer += 1) {
    const isGap = layer < covered.length && covered[layer] === 0;
    if (isGap && from === -1) from = layer;
    if (!isGap && from !== -1) {
      gaps.push(`${from}-${layer}`);
      from = -1;
    }
  }
  return gaps.join(',');
}

/** Merges the stages of a server that a route passes twice: it holds all layers in between, too. */
export function mergeRevisits(stages: readonly Stage[]): Stage[] {
  const merged: Stage[] = [];
  for (const stage of stages) {
    const first = merged.findIndex(({ server }) => server === stage.server);
    if (first === -1) merged.push(stage);
    else merged.splice(first, merged.length, { ...merged[first], to: stage.to });
  }
  return merged;
}
