/**
 * Limits the streams of a service that wait for their first event at this instance.
 *
 * Answers congestion collapse: a service falls so far behind that callers leave before the first event. What
 * its servers did for them is lost, the callers return, and the backlog outlasts its cause. A stream that would
 * only add to the backlog is refused at once. The evidence is that callers leave without an event, not that
 * events are late, so a service that is merely slow is not limited. Each instance decides for itself.
 */
import type { Clock } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';

/** Part of the waiting streams that remains allowed when a caller leaves without an event. */
const SHRINK_FACTOR = 0.7;

/** Smallest limit, in streams: one may wait for a server that has failed, and another one proves the service. */
const MIN_LIMIT = 2;

/**
 * Wait without an event, as a multiple of the route's objective, that makes a caller's leaving evidence.
 * Callers who leave earlier have not been kept waiting by the service.
 */
const EVIDENCE_OBJECTIVES = 2;

/** Time without evidence after which a limit ends, in milliseconds: a little over a caller's patience. */
const LIMIT_LIFETIME_MS = 3000;

/** A change of the limit of one service. */
export interface StartWindowChange {
  readonly service: string;
  /** Streams that may wait for their first event; Infinity once the limit has ended. */
  readonly limit: number;
  readonly waiting: number;
}

/** A stream that waits for its first event. Ends once, by whichever call comes first. */
export interface StartPlace {
  /** The first event has arrived. */
  recordFirstEvent(): void;
  /** The caller has left, or its time has passed, without an event. */
  recordAbandonment(): void;
  /** The stream has ended for a reason that says nothing of the service, for example a refusal. */
  dispose(): void;
}

interface Window {
  limit: number;
  waiting: number;
  lastEvidenceAt: number;
}

export class StartWindows {
  private readonly windows = new Map<string, Window>();

  private readonly changes = new Emitter<StartWindowChange>();

  /** Fires when a service becomes limited, when its limit shrinks, and when it ends. */
  public readonly onChange = this.changes.event;

  public constructor(private readonly clock: Clock) {}

  /** Number of services that are limited now. */
  public get limitedServices(): number {
    let limited = 0;
    for (const { limit } of this.windows.values()) if (limit < Infinity) limited += 1;
    return limited;
  }

  /**
   * Takes a place for a stream that is about to be sent.
   * @param objectiveMs - time to the first event within which callers are well served, in milliseconds
   * @returns undefined if as many streams of the service wait as may
   */
  public open(service: string, objectiveMs: number): StartPlace | undefined {
    const window = this.windowOf(service);
    this.endIfProven(service, window);
    if (window.waiting >= window.limit) return undefined;
    window.waiting += 1;
    const openedAt = this.clock.now();
    let isOpen = true;
    const close = (settle?: (waitMs: number) => void): void => {
      if (!isOpen) return;
      isOpen = false;
      settle?.(this.clock.now() - openedAt);
      window.waiting -= 1;
    };
    return {
      recordFirstEvent: () =>
        close((waitMs) => {
          if (waitMs <= objectiveMs) window.limit += 1;
          // A backlog from which nobody leaves any more is one all the same.
          else if (window.limit < Infinity) window.lastEvidenceAt = this.clock.now();
        }),
      recordAbandonment: () =>
        close((waitMs) => {
          if (waitMs >= EVIDENCE_OBJECTIVES * objectiveMs)
            this.shrink(service, window, objectiveMs);
        }),
      dispose: () => close(),
    };
  }

  private windowOf(service: string): Window {
    let window = this.windows.get(service);
    if (window === undefined) {
      window = { limit: Infinity, waiting: 0, lastEvidenceAt: -Infinity };
      this.windows.set(service, window);
    }
    return window;
  }

  private endIfProven(service: string, window: Window): void {
    if (window.limit === Infinity) return;
    if (this.clock.now() - window.lastEvidenceAt < LIMIT_LIFETIME_MS) return;
    window.limit = Infinity;
    this.changes.fire({ service, limit: window.limit, waiting: window.waiting });
  }

  /** Callers who came together leave together, so that they count once within the time of an objective. */
  private shrink(service: string, window: Window, objectiveMs: number): void {
    const now = this.clock.now();
    const isRecent = now - window.lastEvidenceAt < objectiveMs;
    window.lastEvidenceAt = now;
    if (isRecent) return;
    const allowed = Math.min(window.limit, window.waiting) * SHRINK_FACTOR;
    window.limit = Math.max(MIN_LIMIT, Math.floor(allowed));
    this.changes.fire({ service, limit: window.limit, waiting: window.waiting });
  }
}
