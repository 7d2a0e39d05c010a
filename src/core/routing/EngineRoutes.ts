/** Chooses the servers that a request to an engine passes through. */
import {
  UnusableReason,
  type KnownServer,
  type ServerDirectory,
} from '../deployment/ServerDirectory.js';
import type { Accelerator, EngineProfile, Service } from '../deployment/Types.js';
import { coversOnce, planCheapestRoute } from './RoutePlanner.js';
import type { ServerLoad } from './ServerLoad.js';
import type { Candidate, Stage } from './Types.js';

/** What a route is wanted for. */
export interface RouteRequirements {
  readonly service: Service;
  readonly engine: EngineProfile;
  /** Tokens of prompt and answer for which memory is wanted. */
  readonly tokens: number;
  /** Servers that must not be used. */
  readonly avoid: ReadonlySet<string>;
  /** Stages whose KV cache is worth keeping. */
  readonly kept: readonly Stage[];
  /** Servers at which the route may begin; any when absent. */
  readonly firstServers?: ReadonlySet<string>;
}

/** Requests with more stages are rejected by the servers. */
const MAX_STAGES = 32;

/** Share of a server's free memory that is planned for; answers run longer than their estimate. */
const MEMORY_SHARE = 0.9;

/** Fixed price of one more server on a route: link delays and the wait for its next pass. */
const VISIT_MS = 6;

/** Price of a server whose memory is full. */
const FULL_MS = 250;

/** How steeply the price rises as memory fills. */
const FULL_POWER = 3;

/** Weight of the time that an answer takes in all against the time to its first event. */
const ANSWER_WEIGHT = 0.03;

/** Price of a route that begins elsewhere, in milliseconds: a cut between the domains would end it. */
const ENTRY_MS = 30;

/** Transfers of others that a transfer between failure domains waits for, as a factor. */
const CROSS_FACTOR = 3;

/** Time that one layer adds to a request, in milliseconds: reading, and a share of the steps. */
function layerMs(engine: EngineProfile, kind: Accelerator): number {
  const readMs = (engine.usualPromptTokens / engine.readTokensPerMs) * kind.readFactor;
  const stepsMs = engine.usualAnswerTokens * engine.stepMs * kind.stepFactor;
  return (readMs + ANSWER_WEIGHT * stepsMs) / engine.layers;
}

/** Time of a prompt's transfer between failure domains, in milliseconds. */
function crossMs(engine: EngineProfile, tokens: number): number {
  const bitsPerMs = engine.crossDomainMbps * 1000;
  return (CROSS_FACTOR * tokens * engine.activationBytes * 8) / bitsPerMs;
}

/** KV cache that a server holds besides its layers, in tokens times layers. */
function roomOf(engine: EngineProfile, kind: Accelerator, layers: number): number {
  const freeMb = (kind.memoryMb - layers * engine.layerMb) * MEMORY_SHARE;
  return Math.max(1, (freeMb * engine.layers) / engine.tokenMb);
}

export class EngineRoutes {
  private candidates = new Map<string, Candidate[]>();

  public constructor(
    private readonly directory: ServerDirectory,
    private readonly load: ServerLoad,
    private readonly homeDomain: string,
  ) {
    directory.onChange(() => this.candidates.clear());
  }

  /** @returns undefined when the usable servers do not cover every layer with room for the request */
  public plan(wish: RouteRequirements): readonly Stage[] | undefined {
    const { service, engine, avoid, tokens, firstServers: firsts } = wish;
    const known = this.candidatesOf(service, engine);
    const candidates =
      firsts === undefined
        ? known
        : known.filter(({ server, from }) => from > 0 || firsts.has(server));
    const usable = (id: string) => !avoid.has(id) && this.hasRoom(id, engine, tokens);
    if (!candidates.some(({ server }) => this.declines(server)))
      return this.solve(wish, candidates, usable);
    const eager = (id: string) => usable(id) && !this.declines(id);
    return this.solve(wish, candidates, eager) ?? this.solve(wish, candidates, usable);
  }

  private solve(
    wish: RouteRequirements,
    candidates: readonly Candidate[],
    usable: (id: string) => boolean,
  ): readonly Stage[] | undefined {
    const { engine } = wish;
    const route = planCheapestRoute({
      candidates,
      layers: engine.layers,
      localDomain: this.homeDomain,
      usable,
      kept: wish.kept,
      rebuildLayerMs: wish.tokens / (engine.readTokensPerMs * engine.layers),
      costs: {
        crossMs: crossMs(engine, wish.tokens),
        entryMs: ENTRY_MS,
        visitMs: (id) => this.visitMs(id, engine),
      },
    });
    if (route === undefined) return undefined;
    const stages = joinRepeats(route.stages);
    return stages.length <= MAX_STAGES && coversOnce(stages, engine.layers) ? stages : undefined;
  }

  /**
   * Plans a new route for a running request, which keeps its first stage.
   * @param first - the stage that stays
   * @returns undefined when the usable servers do not cover the other layers
   */
  public planReroute(wish: RouteRequirements, first: Stage): readonly Stage[] | undefined {
    const { engine } = wish;
    if (first.to === engine.layers) return [first];
    const rest: Candidate[] = [];
    for (const candidate of this.candidatesOf(wish.service, engine)) {
      if (candidate.server === first.server || candidate.to <= first.to) continue;
      rest.push({ ...candidate, from: Math.max(candidate.from, first.to) });
    }
    const head = this.directory.get(first.server);
    if (head === undefined) return undefined;
    rest.push({
      ...first,
      failureDomain: head.record.failureDomain,
      layerMs: 0,
      linkMs: 0,
    });
    const keptByStage = new Set(wish.kept.map(({ server }) => server));
    const stages = this.solve(wish, rest, (id) => {
      if (id === first.server) return true;
      if (wish.avoid.has(id)) return false;
      // Stages that stay have their memory already.
      return keptByStage.has(id)
        ? this.directory.isWorking(id)
        : this.hasRoom(id, engine, wish.tokens);
    });
    return stages?.[0].server === first.server && stages[0].to === first.to ? stages : undefined;
  }

  /**
   * Says why no route is found.
   * @returns the layers that no usable server holds, and those that none has memory for
   */
  public explainNoRoute(wish: RouteRequirements): { missing: string; full: string } {
    const held = new Uint8Array(wish.engine.layers);
    const roomy = new Uint8Array(wish.engine.layers);
    for (const { server, from, to } of this.candidatesOf(wish.service, wish.engine)) {
      if (wish.avoid.has(server) || !this.directory.isUsable(server)) continue;
      held.fill(1, from, to);
      if (this.hasRoom(server, wish.engine, wish.tokens)) roomy.fill(1, from, to);
    }
    return { missing: describeGaps(held), full: describeGaps(roomy) };
  }

  /** Expected wait at a server, and the price of memory that others will need. */
  private visitMs(id: string, engine: EngineProfile): number {
    const server = this.directory.get(id);
    const kind = engine.accelerators.get(server?.record.accelerator ?? '');
    const span = server?.record.span;
    if (kind === undefined || span === undefined) return VISIT_MS;
    const layers = span.to - span.from;
    const readTokensPerMs = engine.readTokensPerMs / kind.readFactor;
    const backlogMs = ((this.load.readingTokens(id) / readTokensPerMs) * layers) / engine.layers;
    const fill = this.load.tokenLayers(id) / roomOf(engine, kind, layers);
    return VISIT_MS + backlogMs + FULL_MS * fill ** FULL_POWER;
  }

  private declines(id: string): boolean {
    const server = this.directory.get(id);
    return (
      server !== undefined && this.directory.unusableReason(server) === UnusableReason.Declining
    );
  }

  private hasRoom(id: string, engine: EngineProfile, tokens: number): boolean {
    const server = this.directory.get(id);
    if (server === undefined) return false;
    const doubt = this.directory.unusableReason(server);
    if (doubt !== undefined && doubt !== UnusableReason.Declining) return false;
    const { span, accelerator } = server.record;
    const kind = engine.accelerators.get(accelerator);
    if (span === undefined || kind === undefined) return false;
    const layers = span.to - span.from;
    return this.load.tokenLayers(id) + tokens * layers <= roomOf(engine, kind, layers);
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
  const kind = engine.accelerators.get(record.accelerator);
  if (record.service !== service.name || record.span === undefined || kind === undefined)
    return undefined;
  return {
    server: record.id,
    address: record.address,
    failureDomain: record.failureDomain,
    from: record.span.from,
    to: record.span.to,
    layerMs: layerMs(engine, kind),
    linkMs: 0,
  };
}

/** Lists spans of zeros, as `8-16,40-48`. */
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

/** Joins the stages of a server that a route visits twice: it holds all layers in between, too. */
export function joinRepeats(stages: readonly Stage[]): Stage[] {
  const joined: Stage[] = [];
  for (const stage of stages) {
    const first = joined.findIndex(({ server }) => server === stage.server);
    if (first === -1) joined.push(stage);
    else joined.splice(first, joined.length, { ...joined[first], to: stage.to });
  }
  return joined;
}
