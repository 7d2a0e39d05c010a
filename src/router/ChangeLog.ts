/** Writes a log line, and counts, when what an instance knows of servers, services and parts of requests changes. */
import type { StructuredLog } from '../adapters/logs/StructuredLog.js';
import type { ServerLimitChange, ServerLimits } from '../core/limits/ServerLimits.js';
import type { StartWindowChange, StartWindows } from '../core/limits/StartWindows.js';
import type { ServerPace } from '../core/pace/ServerPace.js';
import type { PaceChange } from '../core/pace/Types.js';
import type { InputQuarantine } from '../core/quarantine/InputQuarantine.js';
import type { QuarantineChange } from '../core/quarantine/Types.js';
import type { ServerSlowness, SlownessChange } from '../core/routing/ServerSlowness.js';
import type { Clock, Disposable } from '../ports/Types.js';
import type { RouterMetrics } from './RouterMetrics.js';

export interface ChangeLogDependencies {
  readonly clock: Clock;
  readonly log: StructuredLog;
  readonly metrics: RouterMetrics;
  readonly slowness: ServerSlowness;
  readonly serverLimits: ServerLimits;
  readonly startWindows: StartWindows;
  readonly pace: ServerPace;
  readonly quarantine: InputQuarantine;
}

export class ChangeLog implements Disposable {
  private readonly subscriptions: readonly Disposable[];

  public constructor(private readonly dependencies: ChangeLogDependencies) {
    const { slowness, serverLimits, startWindows, pace, quarantine } = dependencies;
    this.subscriptions = [
      slowness.onChange((change) => this.recordSlowness(change)),
      serverLimits.onChange((change) => this.recordServerLimit(change)),
      startWindows.onChange((change) => this.recordStartWindow(change)),
      pace.onChange((change) => this.recordPace(change)),
      quarantine.onChange((change) => this.recordQuarantine(change)),
    ];
  }

  public dispose(): void {
    for (const subscription of this.subscriptions) subscription.dispose();
  }

  private recordServerLimit({ server, perSecond, ownPerSecond, source }: ServerLimitChange): void {
    this.dependencies.log.record('server-limit', {
      server,
      perSecond,
      ownPerSecond,
      heardFrom: source,
    });
  }

  private recordStartWindow({ service, limit, waiting }: StartWindowChange): void {
    this.dependencies.log.record('start-window', {
      service,
      limit: Number.isFinite(limit) ? limit : 'none',
      waiting,
    });
  }

  private recordPace({ server, cause, reason, window, before, source }: PaceChange): void {
    this.dependencies.metrics.countPaceChange(reason);
    // Without a window, the log states none.
    const stated = (requests: number) => (requests < Infinity ? requests : undefined);
    this.dependencies.log.record('pace', {
      server,
      cause,
      reason,
      window: stated(window),
      before: stated(before),
      heardFrom: source,
    });
  }

  private recordSlowness({ server, factor, source }: SlownessChange): void {
    this.dependencies.log.record('server-slowness', { server, factor, heardFrom: source });
  }

  private recordQuarantine({ quarantined, isHeld, source }: QuarantineChange): void {
    const { part, crashes, lastCrashAt, heldUntil } = quarantined;
    const now = this.dependencies.clock.now();
    this.dependencies.log.record('quarantine', {
      part,
      outcome: isHeld ? 'held' : 'released',
      crashes,
      lastCrashMsAgo: Math.round(now - lastCrashAt),
      heldForMs: Math.round(heldUntil - now),
      heardFrom: source,
    });
  }
}
