/**
 * Notices that the process stood still, for example because it was suspended, and holds new work back until a
 * peer or the store has told what changed meanwhile.
 *
 * A process that wakes handles what has arrived before its timers, so that work itself asks here as well.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';

export interface StandstillDependencies {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  /** Asks what has changed. Resolves once an answer has been applied, rejects if there is none. */
  readonly ask: () => Promise<unknown>;
  /** Called with the lateness of each timer that looks for a standstill, in milliseconds. */
  readonly onTimer?: (latenessMs: number) => void;
}

/** Interval of the timer whose lateness shows a standstill, in milliseconds. */
const TICK_MS = 100;

/**
 * Shortest standstill after which is asked, in milliseconds; shorter ones are no longer than news of servers
 * takes, and occur on a busy core.
 */
const MIN_STANDSTILL_MS = 500;

/** Longest time for which work is held back, in milliseconds; callers are then served by what is known. */
const MAX_WAIT_MS = 400;

/** How the wait after a standstill ended. */
enum StandstillOutcome {
  Answered = 'answered',
  Unanswered = 'unanswered',
  /** The process stood still once more. */
  Repeated = 'repeated',
}

/** The question that is open after a standstill. */
interface Inquiry {
  readonly askedAt: number;
  readonly stoodMs: number;
}

export class StandstillGuard {
  /** Time at which the process was last seen running; undefined before the start. */
  private seenAt: number | undefined;

  private inquiry: Inquiry | undefined;

  /** Timer of the longest wait for an answer. */
  private limit: Disposable | undefined;

  private waiting: (() => void)[] = [];

  private timer: Disposable | undefined;

  /** Time at which the timer is due. */
  private dueAt = 0;

  public constructor(private readonly dependencies: StandstillDependencies) {}

  public start(): void {
    this.seenAt = this.dependencies.clock.now();
    this.schedule();
  }

  /** Stops the timers. What waits is dropped. */
  public dispose(): void {
    this.timer?.dispose();
    this.seenAt = undefined;
    this.limit?.dispose();
    this.inquiry = undefined;
    this.waiting = [];
  }

  /** Whether the process may have missed news, so that no new work may begin. */
  public isBehind(): boolean {
    this.check();
    return this.inquiry !== undefined;
  }

  /** Runs a step that may give out work: now, or, after a standstill, once the answer or the time limit comes. */
  public whenInformed(step: () => void): void {
    if (this.isBehind()) this.waiting.push(step);
    else step();
  }

  private schedule(): void {
    const { clock } = this.dependencies;
    this.dueAt = clock.now() + TICK_MS;
    this.timer = clock.schedule(TICK_MS, () => this.tick());
  }

  private tick(): void {
    const { clock, onTimer } = this.dependencies;
    onTimer?.(Math.max(0, clock.now() - this.dueAt));
    this.check();
    this.schedule();
  }

  private check(): void {
    if (this.seenAt === undefined) return;
    const now = this.dependencies.clock.now();
    const stoodMs = now - this.seenAt - TICK_MS;
    this.seenAt = now;
    if (stoodMs >= MIN_STANDSTILL_MS) this.inquire(now, stoodMs);
  }

  private inquire(now: number, stoodMs: number): void {
    const { clock, ask } = this.dependencies;
    if (this.inquiry !== undefined) this.end(this.inquiry, StandstillOutcome.Repeated);
    const inquiry: Inquiry = { askedAt: now, stoodMs };
    this.inquiry = inquiry;
    const endAs = (outcome: StandstillOutcome) => () => {
      // A standstill since then makes the answer outdated.
      this.check();
      this.end(inquiry, outcome);
    };
    this.limit = clock.schedule(MAX_WAIT_MS, endAs(StandstillOutcome.Unanswered));
    // If nobody can be asked, waiting would not help.
    ask().then(endAs(StandstillOutcome.Answered), endAs(StandstillOutcome.Unanswered));
  }

  private end(inquiry: Inquiry, outcome: StandstillOutcome): void {
    if (this.inquiry !== inquiry) return;
    const { clock, decisions } = this.dependencies;
    this.limit?.dispose();
    this.inquiry = undefined;
    decisions.record('standstill', {
      outcome,
      stoodMs: Math.round(inquiry.stoodMs),
      waitedMs: Math.round(clock.now() - inquiry.askedAt),
      waiting: this.waiting.length,
    });
    if (outcome !== StandstillOutcome.Repeated) this.release();
  }

  private release(): void {
    const { waiting } = this;
    this.waiting = [];
    for (const step of waiting) this.take(step);
  }

  /** Takes a step that waited. An unexpected error in it must not keep the others from being taken. */
  private take(step: () => void): void {
    try {
      step();
    } catch (error) {
      const { message, stack } = error as Error;
      this.dependencies.decisions.record('standstill-error', { error: message, stack });
    }
  }
}
