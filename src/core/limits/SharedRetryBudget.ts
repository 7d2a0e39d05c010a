/**
 * Limits the retries of all instances together to a fraction of the requests in a sliding window.
 *
 * Each instance has a share of its own that does not depend on reports from its peers. Beyond that share,
 * retries come from a common pool. Instances report their use of it to each other, so that an instance hit by
 * failures can use what the others leave.
 */
import type { RetryLimiter } from './RetryBudget.js';

/** Limits for all instances together. */
export interface SharedRetryLimits {
  /** Retries allowed for each request. */
  readonly perRequest: number;
  /** Additional retries allowed in each window. */
  readonly slack: number;
  readonly windowMs: number;
  /** Number of instances that share the budget. */
  readonly instances: number;
}

/** Requests and retries of one service within the window. */
export interface RetryUse {
  readonly service: string;
  readonly requests: number;
  readonly retries: number;
}

/** Total of the use reported by peers, with the number of instances that it covers. */
export interface PeerRetryUse {
  readonly instances: number;
  readonly requests: number;
  readonly retries: number;
}

/** Fraction of its even share that an instance may use whatever its peers report. */
const OWN_FRACTION = 0.3;

/**
 * Fraction of the total that own and reported retries may reach; the rest covers retries that peers have sent
 * but not reported yet.
 */
const POOL_FRACTION = 0.5;

/**
 * Fraction of its even share that an instance may use in one burst, including retries within OWN_FRACTION,
 * since its peers do not know of a burst yet. In a retry storm at every instance, each sends two bursts,
 * together 0.8 of the total, before the reported retries reach POOL_FRACTION.
 */
const BURST_FRACTION = 0.4;

/** Length of one counting interval, in milliseconds. */
const INTERVAL_MS = 500;

/**
 * Number of intervals in a burst, including the current one. They cover 1 to 1.5 s, so that earlier bursts
 * have been reported to all peers, which takes about 1 s at most.
 */
const BURST_INTERVALS = 3;

interface IntervalCounts {
  readonly requests: Float64Array;
  readonly retries: Float64Array;
  interval: number;
}

export class SharedRetryBudget implements RetryLimiter {
  private readonly counts = new Map<string, IntervalCounts>();

  /**
   * @param limits - returns the limits now in force
   * @param peerUse - returns the use of a service by all other instances, as far as they have reported it
   */
  public constructor(
    private readonly limits: () => SharedRetryLimits,
    private readonly peerUse: (service: string) => PeerRetryUse,
  ) {}

  public recordRequest(service: string, now: number): void {
    const counts = this.countsOf(service, now);
    counts.requests[counts.interval % counts.requests.length] += 1;
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
    const reportedFraction = Math.min(1, (1 + peers.instances) / instances);
    return own.retries + peers.retries + 1 <= POOL_FRACTION * total * reportedFraction;
  }

  public consumeRetry(service: string, now: number): boolean {
    if (!this.hasRetry(service, now)) return false;
    const counts = this.countsOf(service, now);
    counts.retries[counts.interval % counts.retries.length] += 1;
    return true;
  }

  /** Returns this instance's use within the window, by service. */
  public currentUse(now: number): RetryUse[] {
    const uses: RetryUse[] = [];
    for (const service of this.counts.keys()) {
      const { requests, retries } = this.countsOf(service, now);
      uses.push({ service, requests: sum(requests), retries: sum(retries) });
    }
    return uses;
  }

  /** Returns the counts of a service, after clearing the intervals that are no longer in the window. */
  private countsOf(service: string, now: number): IntervalCounts {
    const interval = Math.floor(now / INTERVAL_MS);
    let counts = this.counts.get(service);
    if (counts === undefined) {
      // One interval more than the window's length, since a window rarely begins at the start of an interval.
      const length = Math.ceil(this.limits().windowMs / INTERVAL_MS) + 1;
      counts = { requests: new Float64Array(length), retries: new Float64Array(length), interval };
      this.counts.set(service, counts);
    }
    const { length } = counts.requests;
    const cleared = Math.min(interval - counts.interval, length);
    for (let step = 1; step <= cleared; step += 1) {
      counts.requests[(counts.interval + step) % length] = 0;
      counts.retries[(counts.interval + step) % length] = 0;
    }
    counts.interval = interval;
    return counts;
  }
}

function sum(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

/** Returns the number of retries in the current burst. */
function burstRetries({ retries, interval }: IntervalCounts): number {
  let total = 0;
  for (let back = 0; back < BURST_INTERVALS; back += 1) {
    total += retries[(interval - back + retries.length) % retries.length];
  }
  return total;
}
