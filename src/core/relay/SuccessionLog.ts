import type { RelayDependencies } from './RelayDependencies.js';
import type { StreamAttempt } from './StreamAttempt.js';

/** How it ended that two servers held a stream, because the older one was silent. */
export enum SuccessionEnd {
  /** The newer server gave the next event. */
  TakenOver = 'taken-over',
  /** The older server went on before the newer one had begun. */
  Kept = 'kept',
  /** The newer server rejected the stream or was lost. */
  NewerFailed = 'newer-failed',
  /** The older server was lost. */
  OlderFailed = 'older-failed',
}

/** Logs and counts how streams pass from silent servers to others. */
export class SuccessionLog {
  public constructor(private readonly dependencies: RelayDependencies) {}

  public record(older: StreamAttempt, newer: StreamAttempt, end: SuccessionEnd): void {
    const { clock, counters, decisions } = this.dependencies;
    const now = clock.now();
    counters.countSuccession(end);
    decisions.record('succession', {
      id: older.id,
      older: older.server,
      newer: newer.server,
      end,
      silentMs: Math.round(now - older.lastEventAt),
      ms: Math.round(now - newer.sentAt),
    });
  }
}
