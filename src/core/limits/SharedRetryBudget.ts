/**
 * Keeps the retries of all instances together within a share of the requests of a sliding window.
 *
 * Each instance has a part of its own, however little it hears of the others. Beyond it, retries come from
 * a pool of which all instances tell each other their use, so that those that are hit get what others leave.
 */
import type { RetryLimiter } from './RetryBudget.js';

/** What all instances may use together. */
export interface SharedRetryLimits {
  /** Retries for each request. */
  readonly perRequest: number;
  /** Retries in each window besides. */
  readonly slack: number;
  readonly windowMs: number;
  /** Instances that share the budget. */
  readonly instances: number;
}

/** Requests and retries of one service within the window. */
export interface RetryUse {
  readonly service: string;
  readonly requests: number;
  readonly retries: number;
}

/** Use by others, with the number of instances that it comes from. */
export interface PeerRetryUse {
  readonly instances: number;
  readonly requests: number;
  readonly retries: number;
}

/** Part of the even share that an instance may use whatever the others do. */
const OWN_FRACTION = 0.3;

/** Part of the whole that the pool gives out; what is used before others hear of it comes on top. */
const POOL_FRACTION = 0.5;

/** Part of the even share that an instance may use in a burst; two pass before others hear of them. */
const BURST_FRACTION = 0.4;

/** Length of a count, in milliseconds. */
const SLOT_MS = 500;

/** Counts that make up a burst: longer than it takes until all have heard of it, at most a second. */
const BURST_SLOTS = 3;

interface SlotCounts {
  readonly requests: Float64Array;
  readonly retries: Float64Array;
  slot: number;
}

export class SharedRetryBudget implements RetryLimiter {
  private readonly counts = new Map<string, SlotCounts>();

  /** @param peerUse - use of a service by all other instances, as far as heard */
  public constructor(
    private readonly limits: () => SharedRetryLimits,
    private readonly peerUse: (service: string) => PeerRetryUse,
  ) {}

  public recordRequest(service: string, now: number): void {
    const counts = this.countsOf(service, now);
    counts.requests[counts.slot % counts.requests.length] += 1;
  }

  public hasRetry(service: string, now: number): boolean {
    const { perRequest, slack, instances } = this.limits();
    const counts = this.countsOf(service, now);
    const own = { requests: sum(counts.requests), retries: sum(counts.retries) };
    const ownLimit = OWN_FRACTION * (perRequest * own.requests + slack / instances);
    if (own.retries + 1 <= ownLimit) return true;
    const peers = this.peerUse(service);
    const total = perRequest * (own.requests + peers.requests) + slack;
    if (burstRetries(counts) + 1 > (BURST_FRACTION * total) / instances) return false;
    const reportedPart = Math.min(1, (1 + peers.instances) / instances);
    return own.retries + peers.retries + 1 <= POOL_FRACTION * total * reportedPart;
  }

  public consumeRetry(service: string, now: number): boolean {
    if (!this.hasRetry(service, now)) return false;
    const counts = this.countsOf(service, now);
    counts.retries[counts.slot % counts.retries.length] += 1;
    return true;
  }

  /** This instance's use within the window, by service. */
  public use(now: number): RetryUse[] {
    const uses: RetryUse[] = [];
    for (const service of this.counts.keys()) {
      const { requests, retries } = this.countsOf(service, now);
      uses.push({ service, requests: sum(requests), retries: sum(retries) });
    }
    return uses;
  }

  /** Counts of a service, with those cleared that the window has left. */
  private countsOf(service: string, now: number): SlotCounts {
    const slot = Math.floor(now / SLOT_MS);
    let counts = this.counts.get(service);
    if (counts === undefined) {
      // One more than the window holds, so that every window of its length is covered.
      const length = Math.ceil(this.limits().windowMs / SLOT_MS) + 1;
      counts = { requests: new Float64Array(length), retries: new Float64Array(length), slot };
      this.counts.set(service, counts);
    }
    const { length } = counts.requests;
    const cleared = Math.min(slot - counts.slot, length);
    for (let step = 1; step <= cleared; step += 1) {
      counts.requests[(counts.slot + step) % length] = 0;
      counts.retries[(counts.slot + step) % length] = 0;
    }
    counts.slot = slot;
    return counts;
  }
}

function sum(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

/** Retries of the current burst. */
function burstRetries({ retries, slot }: SlotCounts): number {
  let total = 0;
  for (let back = 0; back < BURST_SLOTS; back += 1) {
    total += retries[(slot - back + retries.length) % retries.length];
  }
  return total;
}
