/** Chooses the servers that a request to an engine passes through. */
import { AvoidReason, type ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile, Service } from '../deployment/Types.js';
import { prefillBacklogMs, WHOLE_ROOM, type RoomLimits } from '../admission/RoomLimits.js';
import { UNPACED, type PaceLimit } from '../pace/Types.js';
import type { DomainLinks, DomainPair } from './DomainLinks.js';
import { linkCosts } from './LinkCosts.js';
import { coversOnce, planCheapestRoute } from './RoutePlanner.js';
import type { RemoteRouteLog } from './RemoteRouteLog.js';
import type { ServerAdmission } from './ServerAdmission.js';
import type { ServerLoad } from './ServerLoad.js';
import { ServiceFleets } from './ServiceFleets.js';
import type { ServerSlowness } from './ServerSlowness.js';
import { kvCacheCapacity, predictCost, predictGap } from './ServerTime.js';
import { ServerRole, type Candidate, type ServerCost, type Stage } from './Types.js';
import type { UnreportedWork } from './UnreportedWork.js';

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

/** Cost of a route that begins in a remote domain, in milliseconds: a partition would end the request. */
const REMOTE_ENTRY_MS = 30;

/** Cost of the first server of a running request whose entry shows no layers any more: it stays in any case. */
const UNKNOWN_SERVER_COST: ServerCost = { stageMs: 0, layerMs: 0 };

/** What decides on servers and links besides the servers' entries and the work known there. */
export interface RouteInputs {
  readonly serverAdmission: ServerAdmission;
  readonly links: DomainLinks;
  readonly pace?: PaceLimit;
  readonly slowness?: ServerSlowness;
  readonly unreported?: UnreportedWork;
  readonly remoteRoutes?: RemoteRouteLog;
}

export class EngineRoutes {
  private readonly fleets: ServiceFleets;

  public constructor(
    private readonly directory: ServerDirectory,
    private readonly load: ServerLoad,
    private readonly localDomain: string,
    private readonly inputs: RouteInputs,
  ) {
    this.fleets = new ServiceFleets(directory);
  }

  /**
   * Plans the route of a new request. Servers that keep rejecting requests or are beyond their pace are used
   * only if there is no route without them.
   * @returns undefined if the usable servers do not cover every layer with memory for the request
   */
  public plan(requirements: RouteRequirements): readonly Stage[] | undefined {
    const { service, engine, avoid, tokens, firstServers } = requirements;
    const all = this.withPossibleFirstStages(this.fleets.of(service, engine).candidates);
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
    if (!this.inputs.serverAdmission.dependsOnRole) return candidates;
    return candidates.flatMap((candidate) => {
      const server = this.directory.get(candidate.server);
      if (candidate.from > 0 || server === undefined) return [candidate];
      if (this.inputs.serverAdmission.accepts(server, ServerRole.First)) return [candidate];
      return candidate.to > 1 ? [{ ...candidate, from: 1 }] : [];
    });
  }

  private findRoute(
    requirements: RouteRequirements,
    candidates: readonly Candidate[],
    usable: (id: string) => boolean,
  ): readonly Stage[] | undefined {
    const { service, engine } = requirements;
    const hasRoom = (pair: DomainPair): boolean => this.inputs.links.hasRoom(engine, pair);
    const route = planCheapestRoute({
      candidates,
      layers: engine.layers,
      localDomain: this.localDomain,
      usable,
      kept: requirements.kept,
      rebuildLayerMs: requirements.tokens / (engine.readTokensPerMs * engine.layers),
      costs: {
        crossDomainMs: linkCosts(engine, this.load, requirements.tokens, hasRoom),
        remoteEntryMs: REMOTE_ENTRY_MS,
        server: this.serverCosts(service, engine),
      },
    });
    if (route === undefined) return undefined;
    const stages = mergeRevisits(route.stages);
    if (stages.length > MAX_STAGES || !coversOnce(stages, engine.layers)) return undefined;
    const { maxBacklogMs } = requirements.limits ?? WHOLE_ROOM;
    if (
      maxBacklogMs < Infinity &&
      prefillBacklogMs(stages, engine, this.directory, this.load) > maxBacklogMs
    )
      return undefined;
    this.inputs.remoteRoutes?.note(stages, this.fleets.of(service, engine).profiles);
    return stages;
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
    for (const candidate of this.fleets.of(requirements.service, engine).candidates) {
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
    this.inputs.links.recordRoute(engine, stages, tokens, before);
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
    for (const { server, from, to, failureDomain } of this.fleets.of(service, engine).candidates) {
      domains.add(failureDomain);
      if (requirements.avoid.has(server) || this.avoidReason(server) !== undefined) continue;
      held.fill(1, from, to);
      if (this.canAccept(server, engine, requirements.tokens)) withMemory.fill(1, from, to);
    }
    return {
      missing: describeGaps(held),
      full: describeGaps(withMemory),
      withheld: this.inputs.links.withheldAmong(engine, [...domains]).join(','),
    };
  }

  /** Prepares the costs of servers for one search. */
  private serverCosts(service: Service, engine: EngineProfile): (id: string) => ServerCost {
    const { profiles, parallelRoutes } = this.fleets.of(service, engine);
    const { slowness, unreported } = this.inputs;
    const draw = unreported?.draws(service.name, engine, parallelRoutes);
    return (id) => {
      const profile = profiles.get(id);
      if (profile === undefined) return UNKNOWN_SERVER_COST;
      const factor = slowness?.factor(id) ?? 1;
      return predictCost(profile, this.load.work(id), factor, draw?.(profile) ?? 0);
    };
  }

  /** Predicts the gap between two events of a stream on a route, with what is known of its servers. */
  public predictGapMs(service: Service, stages: readonly Stage[]): number {
    if (service.engine === undefined) return 0;
    const { profiles } = this.fleets.of(service, service.engine);
    let sumMs = 0;
    for (const { server, from, to } of stages) {
      const profile = profiles.get(server);
      if (profile === undefined) continue;
      const slowness = this.inputs.slowness?.factor(server) ?? 1;
      sumMs += slowness * predictGap(profile, this.load.work(server), to - from);
    }
    return sumMs;
  }

  private isLastResort(id: string): boolean {
    return (
      this.avoidReason(id) === AvoidReason.Declining || !(this.inputs.pace ?? UNPACED).allows(id)
    );
  }

  /** Returns why a server is avoided on routes that begin elsewhere; undefined if it is not. */
  private avoidReason(id: string): AvoidReason | undefined {
    const server = this.directory.get(id);
    return server && this.inputs.serverAdmission.obstacle(server, ServerRole.Later)?.reason;
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
