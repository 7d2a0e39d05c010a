/**
 * Finds the servers that slow streams down. A slow stream shows that some server of its route takes longer than
 * predicted, but not which one: the servers of its route that no stream of usual pace passes through are
 * asked for reports, a few in a second.
 */
import type { Clock } from '../../ports/Types.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { Service } from '../deployment/Types.js';
import type { ReportPort } from '../placement/Types.js';
import type { EngineRoutes } from '../routing/EngineRoutes.js';
import type { ServerSlowness } from '../routing/ServerSlowness.js';
import type { Stage } from '../routing/Types.js';

export interface SlowStreamProbeDependencies {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly routes: EngineRoutes;
  readonly slowness: ServerSlowness;
  readonly port: ReportPort;
}

/** Smaller gaps are not worth a probe, in milliseconds: callers do not notice them. */
const NOTICEABLE_GAP_MS = 50;

/**
 * A gap of this many times the predicted one is slow; a full batch makes a request wait for up to one pass
 * more.
 */
const SLOW_FACTOR = 1.5;

/** A smaller multiple shows that no server of the route is slow, not even one that runs few of its layers. */
const USUAL_FACTOR = 1.3;

/** Least time between two observations of a stream's pace, in milliseconds. */
const OBSERVATION_INTERVAL_MS = 20;

/** Time between two probes of this instance after one that found a slow server, in milliseconds. */
const MIN_PROBE_INTERVAL_MS = 100;

/** Longest time between two probes, in milliseconds. */
const MAX_PROBE_INTERVAL_MS = 2000;

/**
 * Factor by which the time grows with each probe that finds none: streams can be slow for other reasons, such as
 * the load of this instance.
 */
const PROBE_INTERVAL_GROWTH = 1.25;

/** Time for which a server that a stream of usual pace has passed, or that gave a report, is not asked, in milliseconds. */
const CLEARED_MS = 2000;

/** Age of a report from which on the server is asked again, in milliseconds. */
const REFRESH_MS = 2000;

/** Report timeout, in milliseconds. A report takes two link delays. */
const REPORT_TIMEOUT_MS = 100;

export class SlowStreamProbe {
  private observedAt = -Infinity;

  private probedAt = -Infinity;

  /** Server of the last probe. */
  private asked: string | undefined;

  private intervalMs = MIN_PROBE_INTERVAL_MS;

  /** Time at which each server was asked, or passed by a stream of usual pace, last. */
  private readonly clearedAt = new Map<string, number>();

  public constructor(private readonly dependencies: SlowStreamProbeDependencies) {}

  /**
   * Examines the pace of a running stream.
   * @param gapMs - average gap between its events, in milliseconds
   */
  public observe(service: Service, stages: readonly Stage[], gapMs: number): void {
    const { clock, routes, port } = this.dependencies;
    const now = clock.now();
    if (now - this.observedAt < OBSERVATION_INTERVAL_MS) return;
    this.observedAt = now;
    const predictedMs = routes.predictGapMs(service, stages);
    if (predictedMs === 0) return;
    const factor = gapMs / predictedMs;
    if (factor < USUAL_FACTOR) for (const { server } of stages) this.clearedAt.set(server, now);
    if (factor < SLOW_FACTOR || gapMs < NOTICEABLE_GAP_MS) return;
    if (now - this.probedAt < this.intervalMs) return;
    const stage = this.mostLikelySlow(stages, now);
    if (stage === undefined) return;
    this.adaptInterval();
    this.asked = stage.server;
    this.probedAt = now;
    this.clearedAt.set(stage.server, now);
    // The reports of all servers, whoever asks for them, are recorded where they arrive.
    port.report(stage.server, stage.address, REPORT_TIMEOUT_MS);
  }

  /**
   * Asks the slow servers of a failure domain whether they still are, before their reports expire everywhere
   * at once. One instance of each domain does so.
   */
  public refresh(failureDomain: string): void {
    const { directory, slowness, port } = this.dependencies;
    for (const { server, factor, ageMs } of slowness.list()) {
      const record = directory.get(server)?.record;
      if (factor === 1 || ageMs < REFRESH_MS || record?.failureDomain !== failureDomain) continue;
      port.report(server, record.address, REPORT_TIMEOUT_MS);
    }
  }

  /** Removes what has no effect any more. */
  public sweep(): void {
    const now = this.dependencies.clock.now();
    for (const [server, clearedAt] of this.clearedAt)
      if (now - clearedAt > CLEARED_MS) this.clearedAt.delete(server);
  }

  /** Probes less often after a probe that found no slow server. */
  private adaptInterval(): void {
    if (this.asked === undefined) return;
    const hasFound = this.dependencies.slowness.factor(this.asked) > 1;
    this.intervalMs = hasFound
      ? MIN_PROBE_INTERVAL_MS
      : Math.min(MAX_PROBE_INTERVAL_MS, this.intervalMs * PROBE_INTERVAL_GROWTH);
  }

  /** Returns the stage whose server was cleared longest ago; undefined if no server of the route may be slow. */
  private mostLikelySlow(stages: readonly Stage[], now: number): Stage | undefined {
    let found: Stage | undefined;
    let oldest = now - CLEARED_MS;
    for (const stage of stages) {
      const clearedAt = this.clearedAt.get(stage.server) ?? -Infinity;
      if (clearedAt > oldest || this.dependencies.slowness.factor(stage.server) > 1) continue;
      found = stage;
      oldest = clearedAt;
    }
    return found;
  }
}
