/** The fake platform with fault injection: outages, delays, lost answers, late writes, stale reads. */
import type {
  TransactionResult,
  InstanceList,
  ListedInstance,
  ObjectStore,
  Row,
  TableService,
  Transaction,
} from '../../ports/Types.js';
import { Failure, FailureKind } from '../../core/Failure.js';
import { MemoryPlatform } from '../MemoryPlatform.js';
import type { SeededRandom } from '../SeededRandom.js';
import type { VirtualClock } from '../VirtualClock.js';
import { PLATFORM, type Network } from './Network.js';
import type { SoakHost } from './SoakHost.js';

const TIMEOUT_MS = 1500;
const LATENCY_MS = 2;
const MAX_WRITE_DELAY_MS = 8000;
const MAX_DELAY_MS = 2500;
const MAX_STALENESS_MS = 3000;
const FAULT_CHANCE = 0.4;

const unavailable = (): Failure =>
  new Failure(
    FailureKind.PlatformUnavailable,
    'The request to the platform failed (timed out). Check the platform; this instance continues with the state it has.',
  );

/** Number of active faults of each kind. */
export interface PlatformFaultCounts {
  down: number;
  slow: number;
  losesAnswers: number;
  lateWrites: number;
  staleReads: number;
}

interface ReplacedRow {
  readonly at: number;
  readonly row: Row;
}

/** The platform, shared by all hosts. */
export class FaultyPlatform {
  public readonly memory = new MemoryPlatform();

  public readonly activeFaults: PlatformFaultCounts = {
    down: 0,
    slow: 0,
    losesAnswers: 0,
    lateWrites: 0,
    staleReads: 0,
  };

  /** The instance list that is returned while it lags; undefined if it is current. */
  public staleInstanceList: readonly ListedInstance[] | undefined;

  private readonly replacedRows = new Map<string, ReplacedRow[]>();

  public constructor(
    public readonly clock: VirtualClock,
    public readonly random: SeededRandom,
    public readonly network: Network,
  ) {}

  public get hasActiveFault(): boolean {
    return Object.values(this.activeFaults).some((count) => count > 0);
  }

  /** Commits a transaction and keeps the rows that it replaces, for stale reads. */
  public commit(transaction: Transaction): TransactionResult {
    const before = this.memory.readSync(transaction.writes.map((write) => write.key));
    const commit = this.memory.transactSync(transaction);
    for (const row of before) {
      if (row === undefined) continue;
      const rows = this.replacedRows.get(row.key) ?? [];
      rows.push({ at: this.clock.now(), row });
      this.replacedRows.set(row.key, rows);
    }
    return commit;
  }

  /**
   * Reads rows as they were `ageMs` milliseconds ago; a row created since is returned as it was first
   * written.
   */
  public readPast(keys: readonly string[], ageMs: number): (Row | undefined)[] {
    const at = this.clock.now() - ageMs;
    const current = this.memory.readSync(keys);
    return keys.map(
      (key, index) =>
        this.replacedRows.get(key)?.find((past) => past.at > at)?.row ?? current[index],
    );
  }

  /** Returns a client of the platform for one host; pauses and network cuts of the host affect its calls. */
  public clientFor(host: SoakHost): TableService & ObjectStore & InstanceList {
    return {
      read: (keys) => this.serve(host, async () => this.read(keys)),
      transact: (transaction) => this.transact(host, transaction),
      get: (name) => this.serve(host, () => this.memory.get(name)),
      put: (name, body) => this.serve(host, () => this.memory.put(name, body)),
      list: () => this.serve(host, async () => this.staleInstanceList ?? this.memory.list()),
    };
  }

  private read(keys: readonly string[]): (Row | undefined)[] {
    const stale = this.activeFaults.staleReads > 0 && this.random.chance(FAULT_CHANCE);
    return stale
      ? this.readPast(keys, this.random.between(0, MAX_STALENESS_MS))
      : this.memory.readSync(keys);
  }

  private async serve<T>(host: SoakHost, action: () => Promise<T>): Promise<T> {
    return host.call(LATENCY_MS, async () => {
      await this.applyFaults(host);
      return action();
    });
  }

  private async transact(host: SoakHost, transaction: Transaction): Promise<TransactionResult> {
    return host.call(LATENCY_MS, async () => {
      await this.applyFaults(host, () => this.commit(transaction));
      const commit = this.commit(transaction);
      if (this.activeFaults.losesAnswers > 0 && this.random.chance(FAULT_CHANCE))
        await this.timeOut();
      return commit;
    });
  }

  /**
   * Fails or delays a call according to the active faults.
   * @param applyLate - performs the write later, although its call times out
   * @throws Failure if the call times out
   */
  private async applyFaults(host: SoakHost, applyLate?: () => void): Promise<void> {
    if (!this.network.reaches(host.failureDomain, PLATFORM) || this.activeFaults.down > 0)
      await this.timeOut();
    if (
      applyLate !== undefined &&
      this.activeFaults.lateWrites > 0 &&
      this.random.chance(FAULT_CHANCE)
    ) {
      this.clock.schedule(this.random.between(0, MAX_WRITE_DELAY_MS), applyLate);
      await this.timeOut();
    }
    if (this.activeFaults.slow === 0) return;
    const delayMs = this.random.between(0, MAX_DELAY_MS);
    if (delayMs > TIMEOUT_MS) {
      if (applyLate !== undefined) this.clock.schedule(delayMs, applyLate);
      await this.timeOut();
    }
    await this.clock.sleep(delayMs);
  }

  private async timeOut(): Promise<never> {
    await this.clock.sleep(TIMEOUT_MS);
    throw unavailable();
  }
}
