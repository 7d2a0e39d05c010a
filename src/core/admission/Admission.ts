/** Decides at once whether a request can make its deadline, and queues it if so. */
import PQueue from 'p-queue';
import { Outcome, refusal, RefusalReason, type Refusal } from '../Outcome.js';
import { FairQueue, type FairQueueOptions } from './FairQueue.js';

/** Bounds of one pipeline's queue. */
export interface AdmissionBounds {
  readonly maxEntries: number;
  readonly maxBytes: number;
}

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly id: string;
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  readonly deadline: number;
  readonly bytes: number;
  /** Expected tokens of the answer. */
  readonly cost: number;
}

interface Backlog {
  readonly cost: number;
  readonly weight: number;
}

/** Some runs take longer than the mean by this factor. */
const RUN_MARGIN = 1.25;

/** Shortest delay that a refused caller is told, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1000;

function unreachableRefusal(waitMs: number): Refusal {
  return refusal(
    Outcome.NotRun,
    RefusalReason.DeadlineUnreachable,
    'The answer cannot be whole by its deadline. Send the request again after the time in Retry-After.',
    Math.max(MIN_RETRY_AFTER_MS, waitMs),
  );
}

/** Past runs fade out with this time constant, in milliseconds. */
const PAST_DECAY_MS = 5000;

/** Nothing is predicted from fewer tokens. */
const MIN_PAST_TOKENS = 100;

/** The queue of one pipeline on one instance. */
export class Admission {
  private readonly queue: PQueue<FairQueue, FairQueueOptions>;

  private readonly waitingIds = new Set<string>();

  private bytes = 0;

  /** Expected work that waits, in tokens, by account. */
  private readonly backlog = new Map<string, Backlog>();

  /** Decayed sums over past runs: their time and their tokens. */
  private pastMs = 0;

  private pastTokens = 0;

  private pastAt = 0;

  public constructor(
    concurrency: number,
    private readonly bounds: AdmissionBounds,
    private readonly now: () => number,
  ) {
    this.queue = new PQueue<FairQueue, FairQueueOptions>({ concurrency, queueClass: FairQueue });
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

  /**
   * Predicted wait of a request that joins now, in milliseconds. Other accounts go first only with
   * what their weight gives them in the time that the own account needs for its backlog.
   */
  public predictedWaitMs(account: string, weight: number): number {
    if (this.queue.pending < this.queue.concurrency) return 0;
    const ownBacklog = this.backlog.get(account)?.cost ?? 0;
    let ahead = ownBacklog;
    for (const [name, other] of this.backlog) {
      if (name !== account)
        ahead += Math.min(other.cost, ((ownBacklog + 1) * other.weight) / weight);
    }
    return (ahead * this.msPerToken) / this.queue.concurrency;
  }

  /**
   * Refuses a request or queues its run.
   * @param run - called when a place is free; resolves when the place can be freed
   * @param onLate - called in place of `run` when the wait took so long that the deadline is out of reach
   * @returns a refusal, or undefined once the run is queued
   */
  public submit(
    request: AdmissionRequest,
    run: () => Promise<void>,
    onLate: (refused: Refusal) => void,
  ): Refusal | undefined {
    if (this.isFull(request)) {
      return refusal(
        Outcome.NotRun,
        RefusalReason.QueueFull,
        'The queue of this pipeline is full. Send the request again after the time in Retry-After.',
        Math.max(MIN_RETRY_AFTER_MS, this.predictedWaitMs(request.account, request.weight)),
      );
    }
    const wait = this.predictedWaitMs(request.account, request.weight);
    if (this.now() + wait + this.runMs(request.cost) > request.deadline) {
      return unreachableRefusal(wait);
    }
    this.waitingIds.add(request.id);
    this.bytes += request.bytes;
    this.addBacklog(request, request.cost);
    const { id, account, weight, priority, deadline, cost } = request;
    this.queue.add(() => this.run(request, run, onLate), {
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
  public withdraw(request: AdmissionRequest): void {
    this.removeWaiting(request);
  }

  /** Long answers weigh more than short ones, whose time is mostly that to the first token. */
  private recordRun(durationMs: number, tokens: number): void {
    const weight = this.pastWeight();
    this.pastMs = this.pastMs * weight + durationMs;
    this.pastTokens = this.pastTokens * weight + Math.max(1, tokens);
    this.pastAt = this.now();
  }

  /** Part of the past that still counts: a bad past must not refuse every request for ever. */
  private pastWeight(): number {
    return Math.exp((this.pastAt - this.now()) / PAST_DECAY_MS);
  }

  private get msPerToken(): number {
    const isKnown = this.pastTokens * this.pastWeight() >= MIN_PAST_TOKENS;
    return isKnown ? this.pastMs / this.pastTokens : 0;
  }

  /** Predicted run time with room for the slower half of runs, in milliseconds. */
  private runMs(cost: number): number {
    return this.queue.pending <= 1 ? 0 : cost * this.msPerToken * RUN_MARGIN;
  }

  private addBacklog({ account, weight }: AdmissionRequest, cost: number): void {
    const left = (this.backlog.get(account)?.cost ?? 0) + cost;
    if (left <= 0) this.backlog.delete(account);
    else this.backlog.set(account, { cost: left, weight });
  }

  private isFull(request: AdmissionRequest): boolean {
    return (
      this.waitingIds.size >= this.bounds.maxEntries ||
      this.bytes + request.bytes > this.bounds.maxBytes
    );
  }

  private async run(
    request: AdmissionRequest,
    run: () => Promise<void>,
    onLate: (refused: Refusal) => void,
  ): Promise<void> {
    if (!this.removeWaiting(request)) return;
    if (this.now() + this.runMs(request.cost) > request.deadline) {
      onLate(unreachableRefusal(0));
      return;
    }
    const startedAt = this.now();
    try {
      await run();
    } finally {
      this.recordRun(this.now() - startedAt, request.cost);
    }
  }

  /** Ends a request's wait; false when it was withdrawn before. */
  private removeWaiting(request: AdmissionRequest): boolean {
    if (!this.waitingIds.delete(request.id)) return false;
    this.bytes -= request.bytes;
    this.addBacklog(request, -request.cost);
    return true;
  }
}
