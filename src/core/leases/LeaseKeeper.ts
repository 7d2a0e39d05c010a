/**
 * Acquires and renews one lease, stored as a row of the table service.
 *
 * Clocks are never compared between instances. The holder measures its lease from the time just before it
 * sent the last successful renewal. A candidate takes the lease over only after it has itself observed the
 * row unchanged for more than the lease duration, so the previous holder's lease has expired by then.
 *
 * A table that comes back from an older copy may have lost the last acquisition. Rows written in an earlier era
 * therefore only count as waited out in the present one, and the holder writes its row again.
 */
import { CommitStatus, type Clock, type Disposable, type TableService } from '../../ports/Types.js';

/** Row `lease/<name>`. */
export interface LeaseRow {
  /** Empty once the lease is released. */
  readonly holder: string;
  /** Fencing number; increases with each acquisition. */
  readonly fence: number;
  /** Era of the table in which the row was written; absent if the table states none. */
  readonly era?: number;
}

/** Lease duration from the last renewal, in milliseconds. */
export const LEASE_MS = 6000;

/** Interval between renewals, in milliseconds. */
export const RENEW_INTERVAL_MS = 2000;

/** Time that a candidate waits in addition to the lease duration, in milliseconds. */
const CANDIDATE_MARGIN_MS = 1000;

/** Fencing numbers that each era of the table begins with, so that they rise although acquisitions were lost. */
const FENCES_PER_ERA = 1_000_000;

/** The row's era and version, and the time since which they have been observed unchanged. */
export interface LeaseObservation {
  readonly era: number;
  readonly version: number;
  readonly unchangedSince: number;
}

export enum LeaseStep {
  /** Write the row with a new fencing number. */
  Acquire = 'acquire',
  /** Write the row with the fencing number of the lease held here. */
  Renew = 'renew',
  /** Do not write the row; another instance holds the lease, or may hold it. */
  Watch = 'watch',
}

/** A lease row as just read, and what is known of it. */
export interface LeaseReading {
  /** Undefined when absent. */
  readonly row: LeaseRow | undefined;
  /**
   * Whether the row shows the last acquisition. It may not after the table has come back from an older copy:
   * the row is then as it was at the copy, or absent.
   */
  readonly isCurrent: boolean;
  /** Whether this instance acquired the lease with the row's fencing number. */
  readonly isHolder: boolean;
  /** Whether the lease that this instance acquired has not expired, so that no other one has acquired it. */
  readonly isHeld: boolean;
  /** Time for which the row has been observed unchanged in the present era, in milliseconds. */
  readonly unchangedMs: number;
  /**
   * Prefix of the holder names of this instance's processes; the earlier ones ended before this one started, so
   * their leases are acquired without waiting.
   */
  readonly predecessorPrefix?: string | undefined;
}

/** Decides the next step for a lease row. */
export function decideLease(reading: LeaseReading): LeaseStep {
  const { row, isCurrent, isHolder, isHeld, unchangedMs, predecessorPrefix } = reading;
  const mayHaveExpired = unchangedMs >= LEASE_MS + CANDIDATE_MARGIN_MS;
  // An acquisition that the table has lost holds until it expires.
  if (!isCurrent && isHeld) return LeaseStep.Renew;
  if (!isCurrent) return mayHaveExpired ? LeaseStep.Acquire : LeaseStep.Watch;
  if (row === undefined || row.holder === '') return LeaseStep.Acquire;
  if (isHolder) return LeaseStep.Renew;
  if (predecessorPrefix !== undefined && row.holder.startsWith(predecessorPrefix))
    return LeaseStep.Acquire;
  return mayHaveExpired ? LeaseStep.Acquire : LeaseStep.Watch;
}

export interface LeaseKeeperDependencies {
  readonly clock: Clock;
  readonly table: TableService;
  readonly name: string;
  readonly holder: string;
  /**
   * Prefix that the holder names of all processes of this instance have in common. The earlier processes
   * ended before this one started.
   */
  readonly predecessorPrefix?: string;
  /**
   * Whether the fleet starts for the first time, so that an absent row means that nobody has held the lease;
   * without it, an absent row of a table with eras is waited out.
   */
  readonly isFirstStart?: boolean;
  /**
   * Returns whether this instance may hold the lease; without it, it always may. A holder that no longer may
   * stops renewing, so that the lease expires.
   */
  readonly isCandidate?: () => boolean;
  readonly log: (message: string) => void;
}

export class LeaseKeeper {
  private fence = 0;

  private validUntil = -Infinity;

  private acquiredAt = -Infinity;

  private observation: LeaseObservation | undefined;

  /** Era of the first answer. */
  private firstEra: number | undefined;

  /** Highest fencing number seen in the row or held here. */
  private highestFence = 0;

  private timer: Disposable | undefined;

  private disposed = false;

  public constructor(private readonly dependencies: LeaseKeeperDependencies) {}

  /** Fencing number of the held lease; 0 when the lease is not held. */
  public get heldFence(): number {
    return this.remainingMs > 0 ? this.fence : 0;
  }

  /** Time for which the lease is guaranteed to be held, in milliseconds; not positive when it is not held. */
  public get remainingMs(): number {
    return this.validUntil - this.dependencies.clock.now();
  }

  /** Time since the lease was last acquired, in milliseconds; infinite when it never was. */
  public get heldForMs(): number {
    return this.dependencies.clock.now() - this.acquiredAt;
  }

  public start(): void {
    this.tick();
  }

  public dispose(): void {
    this.disposed = true;
    this.timer?.dispose();
  }

  /** Stops renewing and releases the lease, so that the next holder need not wait until it expires. */
  public async release(): Promise<void> {
    this.dispose();
    if (this.heldFence === 0) return;
    const { fence } = this;
    this.validUntil = -Infinity;
    try {
      const [row] = await this.dependencies.table.read([this.key]);
      const current = row?.value as LeaseRow | undefined;
      if (
        row !== undefined &&
        current?.holder === this.dependencies.holder &&
        current.fence === fence
      ) {
        await this.write(row.version, { holder: '', fence }, this.era);
      }
    } catch {
      this.dependencies.log(
        `Failed to release lease ${this.dependencies.name}; it expires within ${LEASE_MS / 1000} s, and nothing needs to be done.`,
      );
    }
  }

  private get key(): string {
    return `lease/${this.dependencies.name}`;
  }

  private async tick(): Promise<void> {
    const { isCandidate } = this.dependencies;
    try {
      if (isCandidate === undefined || isCandidate()) await this.renewOrAcquire();
    } catch {
      // The lease expires unless a later renewal succeeds.
    }
    if (!this.disposed)
      this.timer = this.dependencies.clock.schedule(RENEW_INTERVAL_MS, () => this.tick());
  }

  /** Era of the table's newest answer. */
  private get era(): number {
    return this.dependencies.table.era ?? 0;
  }

  private async renewOrAcquire(): Promise<void> {
    const [row] = await this.dependencies.table.read([this.key]);
    const current = row?.value as LeaseRow | undefined;
    const now = this.dependencies.clock.now();
    const { era } = this;
    const version = row?.version ?? 0;
    this.firstEra ??= era;
    this.highestFence = Math.max(this.highestFence, current?.fence ?? 0);
    if (this.observation?.version !== version || this.observation.era !== era)
      this.observation = { era, version, unchangedSince: now };
    const isHolder = current?.holder === this.dependencies.holder && current.fence === this.fence;
    const { predecessorPrefix } = this.dependencies;
    const isCurrent = this.isCurrent(current, era);
    const step = decideLease({
      row: current,
      isCurrent,
      isHolder,
      isHeld: this.heldFence > 0,
      unchangedMs: now - this.observation.unchangedSince,
      predecessorPrefix,
    });
    if (step === LeaseStep.Renew) await this.renew(version, era);
    else if (step === LeaseStep.Acquire) {
      const least = isCurrent ? 0 : era * FENCES_PER_ERA;
      await this.acquire(version, Math.max(this.highestFence, least) + 1, era);
    }
  }

  private isCurrent(row: LeaseRow | undefined, era: number): boolean {
    if (row !== undefined) return (row.era ?? 0) === era;
    if (era === 0) return true;
    return this.dependencies.isFirstStart === true && era === this.firstEra;
  }

  private async renew(version: number, era: number): Promise<void> {
    const sentAt = this.dependencies.clock.now();
    const { holder } = this.dependencies;
    if (await this.write(version, { holder, fence: this.fence }, era))
      this.validUntil = sentAt + LEASE_MS;
  }

  private async acquire(version: number, fence: number, era: number): Promise<void> {
    const sentAt = this.dependencies.clock.now();
    // If the answer was lost, the row may name this holder with a fencing number that it does not hold.
    // A keeper with a predecessor prefix then acquires the lease again in its next round. One without waits
    // until that lease expires, like any other candidate.
    if (!(await this.write(version, { holder: this.dependencies.holder, fence }, era))) return;
    this.fence = fence;
    this.highestFence = fence;
    this.validUntil = sentAt + LEASE_MS;
    this.acquiredAt = this.dependencies.clock.now();
    this.dependencies.log(`Acquired lease ${this.dependencies.name} with fencing number ${fence}.`);
  }

  private async write(version: number, row: LeaseRow, era: number): Promise<boolean> {
    if (this.disposed && row.holder !== '') return false;
    const value = era === 0 ? row : { ...row, era };
    const commit = await this.dependencies.table.transact({
      conditions: [{ key: this.key, version }],
      writes: [{ key: this.key, value }],
      ...(era !== 0 && { era }),
    });
    return commit.status === CommitStatus.Committed;
  }
}
