/** Chooses the servers that a request to an engine passes through. */
import {
  AvoidReason,
  type KnownServer,
  type ServerDirectory,
} from '../deployment/ServerDirectory.js';
import { prefillBacklogMs, WHOLE_ROOM, type RoomLimits } from '../admission/RoomLimits.js';
import type { Accelerator, EngineProfile, Service } from '../deployment/Types.js';
import type { DomainLinks, DomainPair } from './DomainLinks.js';
import { UNPACED, type PaceLimit } from '../pace/Types.js';
import { coversOnce, planCheapestRoute } from './RoutePlanner.js';
import type { ServerAdmission } from './ServerAdmission.js';
import type { ServerLoad } from './ServerLoad.js';
import { ServerRole, type Candidate, type Stage } from './Types.js';

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
  /** Room that the request may take; all that there is if absent. */
  readonly limits?: RoomLimits;
}

/** Why no route was found; empty texts where that is not the reason. */
export interface NoRouteReason {
  readonly missing: string;
  readonly full: string;
  readonly withheld: string;
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

/** Time that one layer adds to a request, in milliseconds: prefill, and a share of the decode steps. */
function layerMs(engine: EngineProfile, accelerator: Accelerator): number {
  const prefillMs = (engine.usualPromptTokens / engine.readTokensPerMs) * accelerator.readFactor;
  const stepsMs = engine.usualAnswerTokens * engine.stepMs * accelerator.stepFactor;
  return (prefillMs + ANSWER_WEIGHT * stepsMs) / engine.layers;
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
    private readonly serverAdmission: ServerAdmission,
    private readonly links: DomainLinks,
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
    const all = this.withPossibleFirstStages(this.candidatesOf(service, engine));
    const candidates =
      firstServers === undefined
        ? all
        : all.filter(({ server, from }) => from > 0 || firstServers.has(server));
    const usable = (id: string) =>
      !avoid.has(id) && this.canAccept(id, engine, tokens, requirements.limits);
    if (!candidates.some(({ server }) => this.isLastResort(server)))
      return this.findRoute(requirements, candidates, usable);
    const preferred = (id: string) => usable(id) && !this.isLastResort(id);
    return (
      this.findRoute(requirements, candidates, preferred) ??
      this.findRoute(requirements, candidates, usable)
    );
  }

  /** Keeps servers that may not receive requests now from being the first of a route. */
  private withPossibleFirstStages(candidates: readonly Candidate[]): readonly Candidate[] {
    if (!this.serverAdmission.dependsOnRole) return candidates;
    return candidates.flatMap((candidate) => {
      const server = this.directory.get(candidate.server);
      if (candidate.from > 0 || server === undefined) return [candidate];
      if (this.serverAdmission.accepts(server, ServerRole.First)) return [candidate];
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
        crossDomainMs: this.linkCosts(engine, requirements.tokens),
        remoteEntryMs: REMOTE_ENTRY_MS,
        serverMs: (id) => this.serverMs(id, engine),
      },
    });
    if (route === undefined) return undefined;
    const stages = mergeRevisits(route.stages);
    const { maxBacklogMs } = requirements.limits ?? WHOLE_ROOM;
    if (
      maxBacklogMs < Infinity &&
      prefillBacklogMs(stages, engine, this.directory, this.load) > maxBacklogMs
    )
      return undefined;
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
   * Records the transfers between failure domains of a request that is about to take a route.
   * @param before - stages of the route that it leaves; links between them are not used again
   */
  public recordTransfers(
    { engine, tokens }: RouteRequirements,
    stages: readonly Stage[],
    before: readonly Stage[] = [],
  ): void {
    for (const [index, { server }] of stages.entries()) {
      const next = stages[index + 1]?.server;
      if (next === undefined || before.some((_stage, at) => isLink(before, at, server, next)))
        continue;
      const pair = this.domainPair(server, next);
      if (pair !== undefined) this.links.recordTransfer(engine, pair, tokens);
    }
  }

  private withheldLinks(engine: EngineProfile, domains: readonly string[]): string[] {
    const withheld: string[] = [];
    for (const [index, from] of domains.entries()) {
      for (const to of domains.slice(index + 1))
        if (this.links.isWithheld(engine, { from, to })) withheld.push(`${from}|${to}`);
    }
    return withheld;
  }

  /** Returns the failure domains of two servers; undefined if it is the same one, or unknown. */
  private domainPair(first: string, second: string): DomainPair | undefined {
    const from = this.directory.get(first)?.record.failureDomain;
    const to = this.directory.get(second)?.record.failureDomain;
    return from === undefined || to === undefined || from === to ? undefined : { from, to };
  }

  /** Prepares the costs of links for one search, which asks for each of them many times. */
  private linkCosts(engine: EngineProfile, tokens: number): (from: string, to: string) => number {
    const costs = new Map<string, number>();
    return (from, to) => {
      const key = `${from}|${to}`;
      let cost = costs.get(key);
      if (cost === undefined) {
        cost = this.links.costMs(engine, { from, to }, tokens);
        costs.set(key, cost);
      }
      return cost;
    };
  }

  /**
   * Explains why no route was found.
   * @returns the layers that no usable server holds, those that none has memory for, and the links between
   * failure domains on which this instance has no allowance
   */
  public explainNoRoute(requirements: RouteRequirements): NoRouteReason {
    const { service, engine } = requirements;
    const held = new Uint8Array(engine.layers);
    const withMemory = new Uint8Array(engine.layers);
    const domains = new Set<string>();
    for (const { server, from, to, failureDomain } of this.candidatesOf(service, engine)) {
      domains.add(failureDomain);
      if (requirements.avoid.has(server) || this.avoidReason(server) !== undefined) continue;
      held.fill(1, from, to);
      if (this.canAccept(server, engine, requirements.tokens)) withMemory.fill(1, from, to);
    }
    return {
      missing: describeGaps(held),
      full: describeGaps(withMemory),
      withheld: this.withheldLinks(engine, [...domains]).join(','),
    };
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
    return this.avoidReason(id) === AvoidReason.Declining || !this.pace.allows(id);
  }

  /** Returns why a server is avoided on routes that begin elsewhere; undefined if it is not. */
  private avoidReason(id: string): AvoidReason | undefined {
    const server = this.directory.get(id);
    return server && this.serverAdmission.obstacle(server, ServerRole.Later)?.reason;
  }

  private canAccept(
    id: string,
    engine: EngineProfile,
    tokens: number,
    { share }: RoomLimits = WHOLE_ROOM,
  ): boolean {
    const server = this.directory.get(id);
    if (server === undefined) return false;
    const reason = this.avoidReason(id);
    if (reason !== undefined && reason !== AvoidReason.Declining) return false;
    const { span, accelerator } = server.record;
    const kind = engine.accelerators.get(accelerator);
    if (span === undefined || kind === undefined) return false;
    const layers = span.to - span.from;
    // Where all of the room may be taken, requests beyond the batch wait at the server.
    if (share < 1 && this.load.requests(id) >= server.record.slots * share) return false;
    const capacity = kvCacheCapacity(engine, kind, layers) * share;
    return this.load.tokenLayers(id) + tokens * layers <= capacity;
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

/** Whether a route goes from one server to another at a stage. */
function isLink(stages: readonly Stage[], at: number, from: string, to: string): boolean {
  return stages[at].server === from && stages[at + 1]?.server === to;
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
