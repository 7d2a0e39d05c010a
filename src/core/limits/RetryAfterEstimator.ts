/**
 * Estimates the retry-after delay of a refused request.
 *
 * The larger the fraction of recent requests that found no server, the longer the shortage is expected to
 * last: a caller that retries too soon is refused again, while one that waits a little longer is served. The
 * delays are randomized, so that callers refused at the same time do not retry at the same time.
 */
import type { Random } from '../../ports/Types.js';

/** Delay when hardly any request is refused, in milliseconds; a full server usually has room by then. */
const MIN_DELAY_MS = 500;

/** Delay when every request is refused, in milliseconds: servers and links are restored within seconds. */
const MAX_DELAY_MS = 6000;

/** Maximum delay as a fraction of the caller's remaining time; callers wait for at most a third of it. */
const MAX_DELAY_FRACTION = 0.3;

/** The delay is randomized by up to this fraction in either direction. */
const JITTER = 0.25;

/** Half-life of a recorded request's weight, in milliseconds. */
const HALF_LIFE_MS = 2000;

/**
 * Weight of the requests that are assumed to have been served before the first one. It is also the minimum
 * total weight, so that a few refusals among few requests do not look like a shortage.
 */
const PRIOR_WEIGHT = 3;

export class RetryAfterEstimator {
  private refused = 0;

  private total: number;

  private decayedAt = 0;

  /**
   * @param whole - estimator of a larger group of requests that these belong to; where few of these are known, the
   * larger group decides
   */
  public constructor(
    private readonly random: Random,
    private readonly whole?: RetryAfterEstimator,
  ) {
    this.total = whole === undefined ? PRIOR_WEIGHT : 0;
  }

  /**
   * Records the outcome of a request.
   * @param isRefused - whether the request was refused because no server was available
   */
  public record(isRefused: boolean, now: number): void {
    this.decay(now);
    this.total += 1;
    if (isRefused) this.refused += 1;
    this.whole?.record(isRefused, now);
  }

  /**
   * Returns the retry-after delay for a refused request.
   * @param msLeft - time until the caller gives up, in milliseconds
   * @returns the delay from now, in milliseconds
   */
  public delayMs(msLeft: number, now: number): number {
    const baseMs = MIN_DELAY_MS + this.refusedFraction(now) * (MAX_DELAY_MS - MIN_DELAY_MS);
    const limitMs = (Math.max(0, msLeft) * MAX_DELAY_FRACTION) / (1 + JITTER);
    return Math.min(baseMs, limitMs) * (1 + JITTER * (2 * this.random.next() - 1));
  }

  private refusedFraction(now: number): number {
    this.decay(now);
    const { whole, refused, total } = this;
    if (whole === undefined) return refused / Math.max(PRIOR_WEIGHT, total);
    whole.decay(now);
    const others = Math.max(PRIOR_WEIGHT, whole.total - total);
    const expected = (PRIOR_WEIGHT * Math.max(0, whole.refused - refused)) / others;
    return (refused + expected) / (total + PRIOR_WEIGHT);
  }

  private decay(now: number): void {
    const factor = 0.5 ** ((now - this.decayedAt) / HALF_LIFE_MS);
    this.refused *= factor;
    this.total *= factor;
    this.decayedAt = now;
  }
}
