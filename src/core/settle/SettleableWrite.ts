/**
 * Settles conditional writes whose answers were lost, that is, determines whether they took effect.
 *
 * A write whose answer was lost may still be in transit, so its absence proves nothing. To settle it, the
 * marker row is overwritten on the condition that it has the version that the write expected. Whichever of
 * the two commits first makes the other one fail.
 */
import {
  CommitStatus,
  type Clock,
  type Row,
  type TableService,
  type Transaction,
} from '../../ports/Types.js';

export enum SettleOutcome {
  /** The write was committed. */
  Committed = 'committed',
  /** Another write was committed first; this one can no longer be committed. */
  Conflict = 'conflict',
  /** The write was cancelled while settling it; it can no longer be committed. */
  Cancelled = 'cancelled',
  /** The table service did not answer within the time limit; the write may still be committed at any time. */
  Unknown = 'unknown',
}

/** A conditional write together with the row that decides its outcome. */
export interface SettleableWrite {
  readonly transaction: Transaction;
  /** Key of the marker row, which the transaction writes. */
  readonly marker: string;
  /** Version of the marker row that the transaction requires. */
  readonly expectedVersion: number;
  /** Returns whether the marker row was written by this transaction. */
  readonly isOurs: (row: Row) => boolean;
  /** Value written to the marker row to cancel the write. */
  readonly cancelValue: unknown;
}

export interface SettleResult {
  readonly outcome: SettleOutcome;
  /** Keys that conflicted, when the table service returned them. */
  readonly conflicts: readonly string[];
}

export interface SettleDependencies {
  readonly table: TableService;
  readonly clock: Clock;
}

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;

/** Resolves after `delayMs` on `clock`. */
export function pause(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });
}

const settleResult = (outcome: SettleOutcome, conflicts: readonly string[] = []): SettleResult => ({
  outcome,
  conflicts,
});

async function settleOnce(
  table: TableService,
  write: SettleableWrite,
): Promise<SettleResult | undefined> {
  const [row] = await table.read([write.marker]);
  if (row !== undefined && write.isOurs(row)) return settleResult(SettleOutcome.Committed);
  const version = row?.version ?? 0;
  if (version > write.expectedVersion) return settleResult(SettleOutcome.Conflict, [write.marker]);
  const cancel = await table.transact({
    conditions: [{ key: write.marker, version: write.expectedVersion }],
    writes: [{ key: write.marker, value: write.cancelValue }],
  });
  return cancel.status === CommitStatus.Committed
    ? settleResult(SettleOutcome.Cancelled)
    : undefined;
}

/**
 * Settles a write whose answer was lost. Failed attempts are retried until the time limit.
 * @param settleTimeoutMs - time after which the outcome is `Unknown`, in milliseconds
 */
export async function settleLostWrite(
  dependencies: SettleDependencies,
  write: SettleableWrite,
  settleTimeoutMs: number,
): Promise<SettleResult> {
  const deadline = dependencies.clock.now() + settleTimeoutMs;
  let backoffMs = INITIAL_BACKOFF_MS;
  for (;;) {
    try {
      const result = await settleOnce(dependencies.table, write);
      if (result !== undefined) return result;
    } catch {
      // The next attempt reads the marker row again.
    }
    if (dependencies.clock.now() + backoffMs > deadline) return settleResult(SettleOutcome.Unknown);
    await pause(dependencies.clock, backoffMs);
    backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
  }
}

/**
 * Sends a conditional write, and settles it if the answer is lost.
 * @param settleTimeoutMs - time for settling after which the outcome is `Unknown`, in milliseconds
 */
export async function writeAndSettle(
  dependencies: SettleDependencies,
  write: SettleableWrite,
  settleTimeoutMs: number,
): Promise<SettleResult> {
  try {
    const commit = await dependencies.table.transact(write.transaction);
    if (commit.status === CommitStatus.Committed) return settleResult(SettleOutcome.Committed);
    return settleResult(SettleOutcome.Conflict, commit.conflicts);
  } catch {
    return settleLostWrite(dependencies, write, settleTimeoutMs);
  }
}
