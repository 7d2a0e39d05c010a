/** Keeps up with one table of the store through outages, silent connections and lost history. */
import type { ChangeFeed, StoreEntries } from '../../ports/ChangeFeed.js';
import type { Clock } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';

/** What takes in the entries. */
export interface FeedListener<T> {
  /** Every entry that the store holds. */
  onSnapshot(entries: StoreEntries<T>): void;
  /** Entries that changed. */
  onChanges(entries: StoreEntries<T>): void;
  /** The store gave no answer, or a refusal. */
  onFailure?(): void;
}

export interface FeedFollowerDependencies<T> {
  readonly name: string;
  readonly clock: Clock;
  readonly feed: ChangeFeed<T>;
  readonly listener: FeedListener<T>;
  readonly decisions: DecisionLog;
  /** Longest wait of one call, in milliseconds: a silent connection is noticed no later than this. */
  readonly waitMs: number;
}

/** Changes within this time are read by one call, in milliseconds; bounds allow seconds. */
const COALESCE_DELAY_MS = 150;

/** Wait after the first failure; doubled with each further one, in milliseconds. */
const INITIAL_BACKOFF_MS = 100;

/** Longest wait after a failure, in milliseconds; configuration must be in force within seconds. */
const MAX_BACKOFF_MS = 800;

export class FeedFollower<T> {
  private revision: number | undefined;

  private failures = 0;

  private lastAnswerAt = -Infinity;

  /** Whether the table is to be followed. */
  private isActive = false;

  private isRunning = false;

  public constructor(private readonly dependencies: FeedFollowerDependencies<T>) {}

  /** Time since the store last answered, in milliseconds; infinite when it never did. */
  public get ageMs(): number {
    return this.dependencies.clock.now() - this.lastAnswerAt;
  }

  /** Begins to follow, or goes on where it rested. */
  public start(): void {
    this.isActive = true;
    if (!this.isRunning) this.run();
  }

  /** Makes no further calls. */
  public stop(): void {
    this.isActive = false;
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.isActive) {
      try {
        await this.readOnce();
        this.recordAnswer();
      } catch (error) {
        this.recordFailure(error as Error);
        await this.sleep(Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.failures - 1)));
      }
    }
    this.isRunning = false;
  }

  private async readOnce(): Promise<void> {
    const { feed, listener } = this.dependencies;
    if (this.revision === undefined) {
      const all = await feed.readAll();
      if (!this.isActive) return;
      this.revision = all.revision;
      listener.onSnapshot(all);
      return;
    }
    const changes = await feed.changesSince(this.revision, this.dependencies.waitMs);
    if (!this.isActive) return;
    if (changes === undefined) {
      this.dependencies.decisions.record('history-lost', {
        table: this.dependencies.name,
        since: this.revision,
      });
      this.revision = undefined;
      listener.onFailure?.();
      return;
    }
    this.revision = Math.max(this.revision, changes.revision);
    if (changes.entries.length === 0) return;
    listener.onChanges(changes);
    await this.sleep(COALESCE_DELAY_MS);
  }

  private recordAnswer(): void {
    if (this.failures > 0) {
      this.dependencies.decisions.record('store-back', {
        table: this.dependencies.name,
        failures: this.failures,
        awayMs: Math.round(this.ageMs),
      });
    }
    this.failures = 0;
    this.lastAnswerAt = this.dependencies.clock.now();
  }

  private recordFailure(error: Error): void {
    this.failures += 1;
    this.dependencies.listener.onFailure?.();
    if (this.failures === 1) {
      this.dependencies.decisions.record('store-lost', {
        table: this.dependencies.name,
        error: error.message,
        revision: this.revision,
      });
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.dependencies.clock.schedule(ms, resolve);
    });
  }
}
