import type { Clock } from '../../ports/Types.js';
import { ServerMark, type ServerHealth } from '../membership/ServerHealth.js';
import type { RetryBudget } from '../limits/RetryBudget.js';
import type { StreamRouting, StreamRequest } from '../streams/StreamSession.js';
import type { Engine } from '../streams/Types.js';
import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind } from '../tickets/Types.js';
import type { LoadTable } from './LoadTable.js';
import { planRoute } from './RoutePlanner.js';
import type { Topology } from './Topology.js';
import type { Candidate, Route, RouteQuery, Stage } from './Types.js';

/** Time within which a stage must answer a probe, in milliseconds; otherwise it is silent. */
const PROBE_TIMEOUT_MS = 300;

/** Time to rebuild one layer's KV cache for one position, as a fraction of its time for one token. */
const REBUILD_COST_FACTOR = 0.02;

/** Prefill time of one position, as a fraction of the time of one token. */
const PREFILL_COST_FACTOR = 0.05;

/** Mean number of prompt characters per token. */
const CHARACTERS_PER_TOKEN = 4;

export interface PipelineRoutingDependencies {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly configuration: Configuration;
  readonly topology: Topology;
  readonly load: LoadTable;
  readonly health: ServerHealth;
  readonly retryBudget: RetryBudget;
  readonly localDomain: string;
}

/** Chooses routes by the configuration, the load and the health marks of servers. */
export class PipelineRouting implements StreamRouting {
  /** @param planner - chooses a route; benchmarks pass another one as a baseline */
  public constructor(
    private readonly dependencies: PipelineRoutingDependencies,
    private readonly planner: (query: RouteQuery) => Route | undefined = planRoute,
  ) {}

  public plan(request: StreamRequest, kept: readonly Stage[]): Route | undefined {
    const now = this.dependencies.clock.now();
    const candidates = this.dependencies.topology.candidatesFor(request.pipeline);
    const query: RouteQuery = {
      candidates,
      layers: request.layers,
      localDomain: this.dependencies.localDomain,
      busyMs: this.cachedBusyMs(now),
      usable: (server) => this.isUsable(server, now),
      kept,
      rebuildLayerMs:
        REBUILD_COST_FACTOR * this.meanLayerMs(candidates) * this.promptTokens(request),
    };
    // A degraded server is better than none.
    return (
      this.planner(query) ??
      this.planner({
        ...query,
        usable: (server) => this.isUsable(server, now, ServerMark.Degraded),
      })
    );
  }

  public begin(request: StreamRequest, route: Route): void {
    for (const stage of route.stages)
      this.dependencies.load.addStage(stage, this.layerMs(request.pipeline, stage.server));
  }

  public end(request: StreamRequest, route: Route): void {
    for (const stage of route.stages)
      this.dependencies.load.removeStage(stage, this.layerMs(request.pipeline, stage.server));
  }

  public markSuspect(server: string): void {
    // Empty if no server is known to be at fault.
    if (server !== '')
      this.dependencies.health.mark(server, ServerMark.Suspect, this.dependencies.clock.now());
  }

  public markLeaving(server: string): void {
    this.dependencies.health.mark(server, ServerMark.Leaving, this.dependencies.clock.now());
  }

  public markLoading(server: string): void {
    this.dependencies.health.mark(server, ServerMark.Loading, this.dependencies.clock.now());
  }

  public async findSilent(stages: readonly Stage[]): Promise<readonly string[]> {
    const answers = await Promise.all(
      stages.map(({ address, server }) =>
        this.dependencies.engine.probe(address, PROBE_TIMEOUT_MS).then(
          () => undefined,
          () => server,
        ),
      ),
    );
    return answers.filter((server) => server !== undefined);
  }

  public consumeRetry(request: StreamRequest): boolean {
    return this.dependencies.retryBudget.consumeRetry(
      `${request.account}/${request.pipeline}`,
      this.dependencies.clock.now(),
    );
  }

  public firstTokenMs(request: StreamRequest, route: Route): number {
    return route.costMs * (1 + PREFILL_COST_FACTOR * this.promptTokens(request));
  }

  /**
   * Whether a server may get new work.
   * @param allowed - a mark that does not make the server unusable
   */
  public isUsable(server: string, now: number, allowed?: ServerMark): boolean {
    const mark = this.dependencies.health.markOf(server, now);
    if (mark !== undefined && mark !== allowed) return false;
    return (
      this.dependencies.configuration.state(ObjectKind.BackendServer, server)?.leaving === false
    );
  }

  /** Returns a function that computes the busy time of each server once per route choice. */
  private cachedBusyMs(now: number): (server: string) => number {
    const cache = new Map<string, number>();
    return (server) => {
      let busyMs = cache.get(server);
      if (busyMs === undefined) {
        busyMs = this.dependencies.load.busyMs(server, now);
        cache.set(server, busyMs);
      }
      return busyMs;
    };
  }

  private promptTokens(request: StreamRequest): number {
    return request.prompt.length / CHARACTERS_PER_TOKEN;
  }

  private layerMs(pipeline: string, server: string): number {
    const kind =
      this.dependencies.configuration.state(ObjectKind.BackendServer, server)?.accelerator ?? '';
    return this.dependencies.configuration.state(ObjectKind.Pipeline, pipeline)?.layerMs[kind] ?? 0;
  }

  private meanLayerMs(candidates: readonly Candidate[]): number {
    let sum = 0;
    for (const candidate of candidates) sum += candidate.layerMs;
    return candidates.length === 0 ? 0 : sum / candidates.length;
  }
}
