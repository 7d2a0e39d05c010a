/** Admission control: queues a request, or refuses it immediately when it cannot meet its deadline. */
import PQueue from 'p-queue';
import { Outcome, refusal, RefusalReason, type Refusal } from '../Outcome.js';
import { FairQueue, type FairQueueOptions } from './FairQueue.js';
import { QueueSpace, type QueueBounds } from './QueueSpace.js';

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly id: string;
  readonly account: string;
  /** Weight of the account: its share of the work that runs, relative to other accounts' weights. */
  readonly weight: number;
  /** Of the account's requests, those of higher priority run first. */
  readonly priority: number;
  /** Clock time by which the answer must be complete, in milliseconds. */
  readonly deadline: number;
  readonly bytes: number;
  /** Maximum number of tokens in the answer; counts as the request's work. */
  readonly cost: number;
}

interface Backlog {
  readonly cost: number;
  readonly weight: number;
}

/** Factor on the mean run time, which leaves room for the slower half of the runs. */
const RUN_MARGIN = 1.25;

/** Minimum retry-after delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1000;

function unreachableRefusal(waitMs: number): Refusal {
  return refusal(
    Outcome.NotRun,
    RefusalReason.DeadlineUnreachable,
    'The request cannot be answered before its deadline. Retry after the delay given in Retry-After.',
    Math.max(MIN_RETRY_AFTER_MS, waitMs),
  );
}

/** Time constant of the exponential decay of past runs, in milliseconds. */
const PAST_DECAY_MS = 5000;

/** Decayed token count of past runs below which no run time is predicted. */
const MIN_PAST_TOKENS = 100;

/** Admission queue of one pipeline on one instance. */
export class Admission {
  private readonly queue: PQueue<FairQueue, FairQueueOptions>;

  private readonly space: QueueSpace;

  /** Work of the waiting requests by account, in tokens. */
  private readonly backlog = new Map<string, Backlog>();

  /** Decayed sums of the durations and token counts of past runs. */
  private pastMs = 0;

  private pastTokens = 0;

  private pastAt = 0;

  public constructor(
    concurrency: number,
    bounds: QueueBounds,
    private readonly now: () => number,
  ) {
    this.space = new QueueSpace(bounds);
    this.queue = new PQueue<FairQueue, FairQueueOptions>({ concurrency, queueClass: FairQueue });
  }

  /** Number of waiting requests. */
  public get waiting(): number {
    return this.space.size;
  }

  /** Number of running requests. */
  public get running(): number {
    return this.queue.pending;
  }

  public setConcurrency(concurrency: number): void {
    this.queue.concurrency = Math.max(1, Math.floor(concurrency));
  }

  /**
   * Predicts the wait of a request queued now, in milliseconds. Another account's backlog counts only as far
   * as its weight lets it run before this account's backlog is done.
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
   * Queues a request, or refuses it if the queue is full or its deadline cannot be met.
   * @param run - called when a concurrency slot is free; resolves when the slot can be released
   * @param onLate - called instead of `run` if the deadline can no longer be met after the wait
   * @returns a refusal, or undefined once the run is queued
   */
  public submit(
    request: AdmissionRequest,
    run: () => Promise<void>,
    onLate: (refused: Refusal) => void,
  ): Refusal | undefined {
    if (!this.space.fits(request.bytes)) {
      return refusal(
        Outcome.NotRun,
        RefusalReason.QueueFull,
        'The queue of this pipeline is full. Retry after the delay given in Retry-After.',
        Math.max(MIN_RETRY_AFTER_MS, this.predictedWaitMs(request.account, request.weight)),
      );
    }
    const wait = this.predictedWaitMs(request.account, request.weight);
    if (this.now() + wait + this.runMs(request.cost) > request.deadline) {
      return unreachableRefusal(wait);
    }
    this.space.add(request.id, request.bytes);
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

  /** Removes a waiting request whose caller has disconnected. */
  public withdraw(request: AdmissionRequest): void {
    this.removeWaiting(request);
  }

  /**
   * Records a finished run. Durations and tokens are summed, so requests for many tokens weigh more
   * than those for few, whose duration is mostly the time to the first token.
   * @param tokens - number of tokens requested; the answer may have fewer
   */
  private recordRun(durationMs: number, tokens: number): void {
    const weight = this.pastWeight();
    this.pastMs = this.pastMs * weight + durationMs;
    this.pastTokens = this.pastTokens * weight + Math.max(1, tokens);
    this.pastAt = this.now();
  }

  /**
   * Remaining weight of the past runs. Without the decay, a period of slow runs would cause every
   * later request to be refused.
   */
  private pastWeight(): number {
    return Math.exp((this.pastAt - this.now()) / PAST_DECAY_MS);
  }

  private get msPerToken(): number {
    const isKnown = this.pastTokens * this.pastWeight() >= MIN_PAST_TOKENS;
    return isKnown ? this.pastMs / this.pastTokens : 0;
  }

  /**
   * Predicted run time in milliseconds, including RUN_MARGIN. It is 0 while at most one request runs, so
   * an almost idle queue refuses no request because of its run time.
   */
  private runMs(cost: number): number {
    return this.queue.pending <= 1 ? 0 : cost * this.msPerToken * RUN_MARGIN;
  }

  private addBacklog({ account, weight }: AdmissionRequest, cost: number): void {
    const left = (this.backlog.get(account)?.cost ?? 0) + cost;
    if (left <= 0) this.backlog.delete(account);
    else this.backlog.set(account, { cost: left, weight });
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

  /**
   * Removes a request from the waiting ones.
   * @returns false if it was withdrawn before
   */
  private removeWaiting(request: AdmissionRequest): boolean {
    if (!this.space.delete(request.id)) return false;
    this.addBacklog(request, -request.cost);
    return true;
  }
}
