/**
 * Holds one lease row of the table service.
 *
 * No clocks are compared between instances. The holder counts its lease from the moment before it
 * sent the last renewal that landed. A candidate takes the lease over only after it has itself
 * watched the row stay unchanged for the whole lease time, so the old holder's time is over first.
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
  /** Grows with each new holder. */
  readonly fence: number;
}

/** Time for which a renewal holds, in milliseconds. */
export const LEASE_MS = 6000;

/** Time between renewals, in milliseconds. */
export const RENEW_INTERVAL_MS = 2000;

/** A candidate waits this much longer than the lease, in milliseconds. */
const CANDIDATE_MARGIN_MS = 1000;

/** What a candidate has seen of the row. */
export interface LeaseObservation {
  readonly version: number;
  readonly unchangedSince: number;
}

export enum LeaseStep {
  /** Write the row with a new fence. */
  Acquire = 'acquire',
  /** Write the row with the same fence. */
  Renew = 'renew',
  /** Leave the row alone. */
  Watch = 'watch',
}

/**
 * Decides what to do about a lease row.
 * @param row - the row as just read; undefined when absent
 * @param isHolder - whether this instance holds the row's fence
 * @param unchangedMs - how long the row's version has been watched unchanged
 * @param predecessorPrefix - beginning of the names of processes that ended before this one began
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

/** What the keeper works with. */
export interface LeaseKeeperDependencies {
  readonly clock: Clock;
  readonly table: TableService;
  readonly name: string;
  readonly holder: string;
  /** Beginning of the holder's name that earlier runs of this process had as well. */
  readonly predecessorPrefix?: string;
  /** Whether this instance may take the lease; always when absent. A holder that may not lets it lapse. */
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

  /** The fencing number held; 0 when the lease is not held. */
  public get heldFence(): number {
    return this.remainingMs > 0 ? this.fence : 0;
  }

  /** Time for which the lease surely holds, in milliseconds. */
  public get remainingMs(): number {
    return this.validUntil - this.dependencies.clock.now();
  }

  /** Time since the lease was acquired, in milliseconds. */
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

  /** Gives the lease up, so that the next holder need not wait. */
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
      this.dependencies.log('The lease was not released; it lapses by itself.');
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
      // The lease lapses unless a later renewal lands.
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
    // A lost answer leaves a row of this holder with a fence it does not hold: it waits like any other.
    if (!(await this.write(version, { holder: this.dependencies.holder, fence }))) return;
    this.fence = fence;
    this.validUntil = sentAt + LEASE_MS;
    this.acquiredAt = this.dependencies.clock.now();
    this.dependencies.log(`Lease ${this.dependencies.name} is held with fence ${fence}.`);
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
