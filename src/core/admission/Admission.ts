/** Decides at once whether a request can make its deadline, and queues it if so. */
import PQueue from 'p-queue';
import { Outcome, refusal, RefusalReason, type Refusal } from '../Outcome.js';
import { FairQueue, type FairOptions } from './FairQueue.js';

/** Bounds of one pipeline's queue. */
export interface AdmissionBounds {
  readonly maxEntries: number;
  readonly maxBytes: number;
}

/** A request that asks for admission. */
export interface Applicant {
  readonly id: string;
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  readonly deadline: number;
  readonly bytes: number;
  /** Expected tokens of the answer. */
  readonly cost: number;
  /** Predicted time to run, once started, in milliseconds. */
  readonly runMs: number;
}

/** Weight of the newest run in the mean service time. */
const SMOOTHING = 0.05;

/** The queue of one pipeline on one instance. */
export class Admission {
  private readonly queue: PQueue<FairQueue, FairOptions>;

  private readonly waitingIds = new Set<string>();

  private bytes = 0;

  /** Expected work of everything waiting, in tokens. */
  private cost = 0;

  private msPerToken = 0;

  public constructor(
    concurrency: number,
    private readonly bounds: AdmissionBounds,
    private readonly now: () => number,
  ) {
    this.queue = new PQueue<FairQueue, FairOptions>({ concurrency, queueClass: FairQueue });
  }

  /** Requests waiting. */
  public get waiting(): number {
    return this.waitingIds.size;
  }

  /** Requests running. */
  public get running(): number {
    return this.queue.pending;
  }

  public setConcurrency(concurrency: number): void {
    this.queue.concurrency = Math.max(1, Math.floor(concurrency));
  }

  /** Predicted wait of a request that joins now, in milliseconds. */
  public predictedWaitMs(): number {
    if (this.queue.pending < this.queue.concurrency) return 0;
    return (this.cost * this.msPerToken) / this.queue.concurrency;
  }

  /**
   * Refuses a request or queues its run.
   * @param run - called when a place is free; resolves when the place can be freed
   * @returns a refusal, or undefined once the run is queued
   */
  public submit(applicant: Applicant, run: () => Promise<void>): Refusal | undefined {
    if (this.isFull(applicant)) {
      return refusal(
        Outcome.NotRun,
        RefusalReason.QueueFull,
        'The queue of this pipeline is full. Send the request again after the time in Retry-After.',
        Math.max(1000, this.predictedWaitMs()),
      );
    }
    const wait = this.predictedWaitMs();
    if (this.now() + wait + applicant.runMs > applicant.deadline) {
      return refusal(
        Outcome.NotRun,
        RefusalReason.DeadlineUnreachable,
        'The answer cannot be whole by its deadline. Send the request again after the time in Retry-After.',
        Math.max(1000, wait),
      );
    }
    this.waitingIds.add(applicant.id);
    this.bytes += applicant.bytes;
    this.cost += applicant.cost;
    const { id, account, weight, priority, deadline, cost } = applicant;
    this.queue.add(() => this.run(applicant, run), {
      id,
      account,
      weight,
      priority,
      deadline,
      cost,
    });
    return undefined;
  }

  /** Takes a waiting request out, for a caller that is gone. */
  public withdraw(applicant: Applicant): void {
    this.takeOut(applicant);
  }

  private isFull(applicant: Applicant): boolean {
    return (
      this.waitingIds.size >= this.bounds.maxEntries ||
      this.bytes + applicant.bytes > this.bounds.maxBytes
    );
  }

  private async run(applicant: Applicant, run: () => Promise<void>): Promise<void> {
    if (!this.takeOut(applicant)) return;
    const startedAt = this.now();
    try {
      await run();
    } finally {
      const perToken = (this.now() - startedAt) / Math.max(1, applicant.cost);
      this.msPerToken =
        this.msPerToken === 0
          ? perToken
          : this.msPerToken + SMOOTHING * (perToken - this.msPerToken);
    }
  }

  /** Ends an applicant's wait; false when it was withdrawn before. */
  private takeOut(applicant: Applicant): boolean {
    if (!this.waitingIds.delete(applicant.id)) return false;
    this.bytes -= applicant.bytes;
    this.cost -= applicant.cost;
    return true;
  }
}
