/**
 * Settles conditional writes whose answers were lost.
 *
 * A write whose answer was lost may still be under way, so its absence proves nothing. The settling
 * side overwrites the marker row at the version that the write expected; whichever of the two lands
 * first makes the other impossible.
 */
import {
  CommitStatus,
  type Clock,
  type Row,
  type TableService,
  type Transaction,
} from '../../ports/Types.js';

export enum SettleOutcome {
  /** The write landed. */
  Committed = 'committed',
  /** Another write came first; this one can never land. */
  Conflict = 'conflict',
  /** The settling side cancelled the write; it can never land. */
  Cancelled = 'cancelled',
  /** The table service stayed silent until the time limit; the write may land at any time. */
  Unknown = 'unknown',
}

/** A conditional write together with the row that decides its fate. */
export interface SettledWrite {
  readonly transaction: Transaction;
  /** Key of a row that the transaction writes. */
  readonly marker: string;
  /** Version of the marker that the transaction requires. */
  readonly expectedVersion: number;
  /** Tells whether a marker row was written by this very transaction. */
  readonly isOurs: (row: Row) => boolean;
  /** Value that cancels the write. */
  readonly cancelValue: unknown;
}

/** What became of a settled write. */
export interface SettleResult {
  readonly outcome: SettleOutcome;
  /** Keys that conflicted, when the table service named them. */
  readonly conflicts: readonly string[];
}

/** The table service as seen by the settling loop. */
export interface SettlePorts {
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
  write: SettledWrite,
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
 * Decides the fate of a write whose answer was lost.
 * @param timeLimitMs - how long to try before answering `Unknown`
 */
export async function settleLostWrite(
  ports: SettlePorts,
  write: SettledWrite,
  timeLimitMs: number,
): Promise<SettleResult> {
  const deadline = ports.clock.now() + timeLimitMs;
  let backoffMs = INITIAL_BACKOFF_MS;
  for (;;) {
    try {
      const result = await settleOnce(ports.table, write);
      if (result !== undefined) return result;
    } catch {
      // The next round reads the marker again.
    }
    if (ports.clock.now() + backoffMs > deadline) return settleResult(SettleOutcome.Unknown);
    await pause(ports.clock, backoffMs);
    backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
  }
}

/**
 * Sends a conditional write and settles its fate.
 * @param timeLimitMs - how long to settle a lost answer before `Unknown`
 */
export async function writeAndSettle(
  ports: SettlePorts,
  write: SettledWrite,
  timeLimitMs: number,
): Promise<SettleResult> {
  try {
    const commit = await ports.table.transact(write.transaction);
    if (commit.status === CommitStatus.Committed) return settleResult(SettleOutcome.Committed);
    return settleResult(SettleOutcome.Conflict, commit.conflicts);
  } catch {
    return settleLostWrite(ports, write, timeLimitMs);
  }
}
