import type { RoomLimits } from '../admission/RoomLimits.js';
import type { EngineProfile } from '../deployment/Types.js';
import type { NoRouteReason, RouteRequirements } from '../routing/EngineRoutes.js';
import { choosePlainServer } from '../routing/PlainServerChoice.js';
import { ServerRole, type Stage } from '../routing/Types.js';
import type { Attempt, SendTarget } from './Attempt.js';
import { AvoidedServers } from './AvoidedServers.js';
import type { AssignedRequest, RelayDependencies } from './RelayDependencies.js';
import type { SendTracker } from './SendTracker.js';

/** Finds the servers and routes that one request may take. */
export class RequestRoutes {
  /** Servers that failed the request or are leaving. */
  public readonly avoided: AvoidedServers;

  public constructor(
    private readonly dependencies: RelayDependencies,
    private readonly assigned: AssignedRequest,
    private readonly sendTracker: SendTracker,
  ) {
    this.avoided = new AvoidedServers(dependencies.clock, dependencies.directory);
  }

  /** Number of tokens for which the request needs memory on its servers. */
  public get reservedTokens(): number {
    const { prompt } = this.assigned.request;
    const { engine } = this.assigned.service;
    if (prompt === undefined) return engine?.usualPromptTokens ?? 0;
    return prompt.promptTokens + Math.min(prompt.maxAnswerTokens, engine?.usualAnswerTokens ?? 0);
  }

  /** Formats the ids of the avoided servers for log lines. */
  public describeAvoided(): string {
    return [...this.avoided.ids()].join(',');
  }

  /**
   * Chooses where to send the request.
   * @param open - its open attempts; their first servers run it already
   * @param limits - room that it may take; all that there is if absent
   * @returns undefined if no server or route is usable
   */
  public choose(open: readonly Attempt[], limits?: RoomLimits): SendTarget | undefined {
    const { engine } = this.assigned.service;
    if (engine === undefined) return this.choosePlainTarget();
    const requirements = { ...this.requirements(engine, open), limits };
    const stages = this.dependencies.routes.plan(requirements);
    return stages && { server: stages[0].server, stages };
  }

  /** Plans another route for a running attempt, which keeps its first stage. */
  public planReroute({ stages }: Attempt, open: readonly Attempt[]): readonly Stage[] | undefined {
    const { engine } = this.assigned.service;
    if (engine === undefined) return undefined;
    const requirements = { ...this.requirements(engine, open), kept: stages };
    return this.dependencies.routes.planReroute(requirements, stages[0]);
  }

  /** Counts the transfers between failure domains on a route that the request is about to take. */
  public recordTransfers(stages: readonly Stage[], before: readonly Stage[] = []): void {
    const { engine } = this.assigned.service;
    if (engine === undefined) return;
    this.dependencies.routes.recordTransfers(this.requirements(engine, []), stages, before);
  }

  public explainNoRoute(): Partial<NoRouteReason> {
    const { engine } = this.assigned.service;
    return engine === undefined
      ? {}
      : this.dependencies.routes.explainNoRoute(this.requirements(engine, []));
  }

  /** Number of servers of the service that may be given work. */
  public countUsable(): number {
    const { directory, serverAdmission } = this.dependencies;
    let count = 0;
    for (const server of directory.all()) {
      if (server.record.service !== this.assigned.service.name) continue;
      if (serverAdmission.obstacle(server, ServerRole.Later) === undefined) count += 1;
    }
    return count;
  }

  private requirements(engine: EngineProfile, open: readonly Attempt[]): RouteRequirements {
    const avoid = new Set(this.avoided.ids());
    for (const { server } of open) avoid.add(server);
    const requirements = {
      service: this.assigned.service,
      engine,
      tokens: this.reservedTokens,
      avoid,
      kept: [],
    };
    return this.sendTracker.isServerLimitReached
      ? { ...requirements, firstServers: this.sendTracker.usedServers }
      : requirements;
  }

  private choosePlainTarget(): SendTarget | undefined {
    const { directory, load, localDomain, serverAdmission, pace } = this.dependencies;
    const avoid = new Set(this.avoided.ids());
    if (this.sendTracker.isServerLimitReached) {
      const used = this.sendTracker.usedServers;
      for (const { record } of directory.all()) if (!used.has(record.id)) avoid.add(record.id);
    }
    const server = choosePlainServer({
      directory,
      load,
      serverAdmission,
      pace,
      service: this.assigned.service.name,
      localDomain,
      avoid,
    });
    return server && { server: server.record.id, stages: [] };
  }
}
