/**
 * Acquires and renews one lease, stored as a row of the table service.
 *
 * Clocks are never compared between instances. The holder measures its lease from the time just before it
 * sent the last successful renewal. A candidate takes the lease over only after it has itself observed the
 * row unchanged for more than the lease duration, so the previous holder's lease has expired by then.
 */
import {
  CommitStatus,
  type Clock,
  type Disposable,
  type Row,
  type TableService,
} from '../../ports/Types.js';

/** Row `lease/<name>`. */
export interface LeaseRow {
  /** Empty once the lease is released. */
  readonly holder: string;
  /** Fencing number; increases with each acquisition. */
  readonly fence: number;
}

/** Lease duration from the last renewal, in milliseconds. */
export const LEASE_MS = 6000;

/** Interval between renewals, in milliseconds. */
export const RENEW_INTERVAL_MS = 2000;

/** Time that a candidate waits in addition to the lease duration, in milliseconds. */
const CANDIDATE_MARGIN_MS = 1000;

/** The row's version and the time since which it has been observed unchanged. */
export interface LeaseObservation {
  readonly version: number;
  readonly unchangedSince: number;
}

export enum LeaseStep {
  /** Write the row with a new fencing number. */
  Acquire = 'acquire',
  /** Write the row with the same fencing number. */
  Renew = 'renew',
  /** Do not write the row; another instance holds it. */
  Watch = 'watch',
}

/**
 * Decides the next step for a lease row.
 * @param row - the row as just read; undefined when absent
 * @param isHolder - whether this instance holds the lease with the row's fencing number
 * @param unchangedMs - time for which the row's version has been observed unchanged, in milliseconds
 * @param predecessorPrefix - prefix of the holder names of this instance's processes; the earlier ones ended
 * before this one started, so their leases are acquired without waiting
 */
export function decideLease(
  row: LeaseRow | undefined,
  isHolder: boolean,
  unchangedMs: number,
  predecessorPrefix?: string,
): LeaseStep {
  if (row === undefined || row.holder === '') return LeaseStep.Acquire;
  if (isHolder) return LeaseStep.Renew;
  if (predecessorPrefix !== undefined && row.holder.startsWith(predecessorPrefix))
    return LeaseStep.Acquire;
  return unchangedMs >= LEASE_MS + CANDIDATE_MARGIN_MS ? LeaseStep.Acquire : LeaseStep.Watch;
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

  private observation: LeaseObservation = { version: -1, unchangedSince: 0 };

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
        await this.write(row.version, { holder: '', fence });
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

  private async renewOrAcquire(): Promise<void> {
    const [row] = await this.dependencies.table.read([this.key]);
    const current = row?.value as LeaseRow | undefined;
    const now = this.dependencies.clock.now();
    const version = row?.version ?? 0;
    if (version !== this.observation.version) this.observation = { version, unchangedSince: now };
    const isHolder = current?.holder === this.dependencies.holder && current.fence === this.fence;
    const { predecessorPrefix } = this.dependencies;
    const step = decideLease(
      current,
      isHolder,
      now - this.observation.unchangedSince,
      predecessorPrefix,
    );
    if (step === LeaseStep.Renew) await this.renew(row as Row);
    else if (step === LeaseStep.Acquire) await this.acquire(version, (current?.fence ?? 0) + 1);
  }

  private async renew(row: Row): Promise<void> {
    const sentAt = this.dependencies.clock.now();
    if (await this.write(row.version, row.value as LeaseRow)) this.validUntil = sentAt + LEASE_MS;
  }

  private async acquire(version: number, fence: number): Promise<void> {
    const sentAt = this.dependencies.clock.now();
    // If the answer was lost, the row may name this holder with a fencing number that it does not hold.
    // A keeper with a predecessor prefix then acquires the lease again in its next round. One without waits
    // until that lease expires, like any other candidate.
    if (!(await this.write(version, { holder: this.dependencies.holder, fence }))) return;
    this.fence = fence;
    this.validUntil = sentAt + LEASE_MS;
    this.acquiredAt = this.dependencies.clock.now();
    this.dependencies.log(`Acquired lease ${this.dependencies.name} with fencing number ${fence}.`);
  }

  private async write(version: number, value: LeaseRow): Promise<boolean> {
    if (this.disposed && value.holder !== '') return false;
    const commit = await this.dependencies.table.transact({
      conditions: [{ key: this.key, version }],
      writes: [{ key: this.key, value }],
    });
    return commit.status === CommitStatus.Committed;
  }
}
