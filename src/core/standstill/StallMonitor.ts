/**
 * Records how late the timers of this process fire. A stall delays everything that has arrived from servers, so
 * that it can look like their silence.
 */
import type { Clock } from '../../ports/Types.js';
import type { DecisionFields, DecisionLog } from '../DecisionLog.js';

/** Steps that occupy the process for longer the larger the deployment is. */
export enum Activity {
  DecodeConfiguration = 'decode-configuration',
  ApplyConfiguration = 'apply-configuration',
  /** Stating a configuration as its differences from the one that a peer has. */
  CompareConfigurations = 'compare-configurations',
  ReplaceServers = 'replace-servers',
}

/** The cause of a stall during which none of the timed steps ran. */
const UNKNOWN_ACTIVITY = 'unknown';

/** Shortest stall that is logged and counted, in milliseconds: the shortest pause that counts as a stream's silence. */
const MIN_STALL_MS = 70;

export interface StallCounters {
  /** @param ms - lateness of one timer, in milliseconds */
  recordLateness(ms: number): void;
  /** @param during - the longest timed step of the stall, or `unknown` */
  countStall(during: string): void;
}

export interface StallMonitorDependencies {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly counters: StallCounters;
}

/** What a timed step returned, and how long it took. */
export interface TimedResult<T> {
  readonly value: T;
  /** In milliseconds, to a tenth. */
  readonly ms: number;
}

/** Times steps that run in one turn of the process's loop. */
export interface ActivityTimer {
  /**
   * Runs a step.
   * @param detail - what the step works on, for the log line of a stall
   * @throws whatever the step throws; it is then not timed
   */
  time<T>(activity: Activity, detail: DecisionFields, step: () => T): TimedResult<T>;
}

/** A timed step that has ended. */
interface EndedStep {
  readonly activity: Activity;
  readonly detail: DecisionFields;
  readonly ms: number;
}

export class StallMonitor implements ActivityTimer {
  /** The longest step since the last timer. */
  private longestStep: EndedStep | undefined;

  private longestStall = 0;

  public constructor(private readonly dependencies: StallMonitorDependencies) {}

  /** The longest stall so far, in milliseconds; 0 before the first one. */
  public get longestMs(): number {
    return this.longestStall;
  }

  public time<T>(activity: Activity, detail: DecisionFields, step: () => T): TimedResult<T> {
    const { clock } = this.dependencies;
    const startedAt = clock.now();
    const value = step();
    const ms = clock.now() - startedAt;
    if (this.longestStep === undefined || ms > this.longestStep.ms)
      this.longestStep = { activity, detail, ms };
    return { value, ms: Math.round(ms * 10) / 10 };
  }

  /**
   * Records the lateness of a timer. The timer is due at some time during a stall, so that a stall is at least as
   * long as its lateness, and as the longest step.
   * @param latenessMs - in milliseconds
   */
  public recordTimer(latenessMs: number): void {
    const { counters, decisions } = this.dependencies;
    const step = this.longestStep;
    this.longestStep = undefined;
    counters.recordLateness(latenessMs);
    const stoodMs = Math.max(latenessMs, step?.ms ?? 0);
    if (stoodMs < MIN_STALL_MS) return;
    this.longestStall = Math.max(this.longestStall, stoodMs);
    const during = step?.activity ?? UNKNOWN_ACTIVITY;
    counters.countStall(during);
    decisions.record('stall', {
      ...step?.detail,
      stoodMs: Math.round(stoodMs),
      lateMs: Math.round(latenessMs),
      during,
      stepMs: step && Math.round(step.ms),
    });
  }
}
