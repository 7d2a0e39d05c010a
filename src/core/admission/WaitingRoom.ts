/**
 * Holds requests for which no route has room now, and offers them room when some may have become free: the more
 * urgent first, and within a rank fairly between accounts.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import { FairQueue } from './FairQueue.js';
import { QueueSpace, type QueueBounds } from './QueueSpace.js';

/** A request that waits. */
export interface WaitingRequest {
  readonly id: string;
  /** Account whose requests share their turns; empty if the service needs no keys. */
  readonly account: string;
  /** Changes if the configuration changes meanwhile. */
  rank: number;
  /** Whether the request was refused before, so that it goes before others of its account and rank. */
  readonly isReturn: boolean;
  /** Work, in tokens. */
  readonly tokens: number;
  readonly bytes: number;
  /** Clock time in milliseconds until which the request may wait. */
  readonly endsAt: number;
  /**
   * Sends the request if there is room.
   * @returns false if there is none
   */
  tryAdmit(): boolean;
  refuse(): void;
}

interface Entry {
  readonly request: WaitingRequest;
  readonly timer: Disposable;
}

/**
 * Delay in which what becomes free is collected before it is offered, in milliseconds: streams over the same
 * server often end with the same step.
 */
const OFFER_DELAY_MS = 2;

/** Fraction of the entries that one account may take, so that a large account leaves places to small ones. */
const ACCOUNT_SHARE = 0.5;

const NO_ACTION = (): Promise<void> => Promise.resolve();

export class WaitingRoom implements Disposable {
  private readonly queues = new Map<number, FairQueue>();

  private readonly entries = new Map<string, Entry>();

  private readonly space: QueueSpace;

  private offerTimer: Disposable | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly bounds: QueueBounds,
  ) {
    this.space = new QueueSpace(bounds);
  }

  /** Number of waiting requests. */
  public get size(): number {
    return this.entries.size;
  }

  /** Whether a request of the rank, or of a more urgent one, waits. */
  public isAhead(rank: number): boolean {
    for (const [other, queue] of this.queues) if (other <= rank && queue.size > 0) return true;
    return false;
  }

  /**
   * Adds a request. If there is no place, the last of the least urgent ones that wait gives up its own to a more
   * urgent request.
   * @returns false if there is no place for the request
   */
  public join(request: WaitingRequest): boolean {
    const own = this.queues.get(request.rank)?.sizeOf(request.account) ?? 0;
    if (own >= this.bounds.maxEntries * ACCOUNT_SHARE) return false;
    if (!this.space.fits(request.bytes)) this.dismissLeastUrgent(request.rank);
    if (!this.space.fits(request.bytes)) return false;
    const waitMs = Math.max(0, request.endsAt - this.clock.now());
    const timer = this.clock.schedule(waitMs, () => this.expire(request.id));
    this.space.add(request.id, request.bytes);
    this.entries.set(request.id, { request, timer });
    this.enqueue(request);
    return true;
  }

  /** Removes a request whose caller has gone, or that has ended otherwise. */
  public leave(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    this.take(entry);
  }

  /** Offers room to those that wait, soon after some may have become free. */
  public offerSoon(): void {
    if (this.entries.size === 0) return;
    this.offerTimer ??= this.clock.schedule(OFFER_DELAY_MS, () => {
      this.offerTimer = undefined;
      this.offer();
    });
  }

  /** Gives every request the rank that it has now, and offers it the room of that rank. */
  public rerank(rankOf: (request: WaitingRequest) => number): void {
    this.queues.clear();
    for (const { request } of this.entries.values()) {
      request.rank = rankOf(request);
      this.enqueue(request);
    }
    this.offerSoon();
  }

  /** Refuses all requests that wait. */
  public dispose(): void {
    this.offerTimer?.dispose();
    this.offerTimer = undefined;
    for (const entry of [...this.entries.values()]) {
      this.take(entry);
      entry.request.refuse();
    }
  }

  /** Offers room rank by rank; within a rank it ends with the first request for which there is none. */
  private offer(): void {
    for (const rank of [...this.queues.keys()].sort((a, b) => a - b)) this.offerTo(rank);
  }

  private offerTo(rank: number): void {
    const queue = this.queues.get(rank);
    for (let id = queue?.peek(); id !== undefined; id = queue?.peek()) {
      const entry = this.entries.get(id) as Entry;
      if (!entry.request.tryAdmit()) return;
      // If the admission ended the request at once, it has left already.
      if (!this.entries.has(id)) continue;
      queue?.dequeue();
      this.forget(entry);
    }
  }

  /** Offers room a last time: after a pause of the process, some may have become free unnoticed. */
  private expire(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    this.take(entry);
    if (!entry.request.tryAdmit()) entry.request.refuse();
  }

  private dismissLeastUrgent(rank: number): void {
    let least = rank;
    for (const [other, queue] of this.queues) if (queue.size > 0) least = Math.max(least, other);
    const entry = this.entries.get(this.queues.get(least)?.last() ?? '');
    if (least === rank || entry === undefined) return;
    this.take(entry);
    entry.request.refuse();
  }

  private enqueue(request: WaitingRequest): void {
    const { id, account, rank, isReturn, endsAt, tokens } = request;
    let queue = this.queues.get(rank);
    if (queue === undefined) {
      queue = new FairQueue();
      this.queues.set(rank, queue);
    }
    const priority = isReturn ? 1 : 0;
    queue.enqueue(NO_ACTION, { id, account, weight: 1, priority, deadline: endsAt, cost: tokens });
  }

  private take(entry: Entry): void {
    this.queues.get(entry.request.rank)?.remove(entry.request.id);
    this.forget(entry);
  }

  private forget({ request, timer }: Entry): void {
    timer.dispose();
    this.space.delete(request.id);
    this.entries.delete(request.id);
  }
}
