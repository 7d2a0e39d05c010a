/**
 * Says when a caller whose request was refused shall come back.
 *
 * The more of the recent requests found no server, the longer the shortage is taken to last: a caller that
 * comes back too soon is refused again, and one that waits a little longer is served. Returns are spread,
 * so that those refused together do not come back together.
 */
import type { Random } from '../../ports/Types.js';

/** Wait while hardly any request is refused, in milliseconds: a server that was full takes more by then. */
const MIN_DELAY_MS = 500;

/** Wait while all are refused, in milliseconds: lost servers are replaced and links mended in seconds. */
const MAX_DELAY_MS = 6000;

/** Callers follow advice up to a third of the time that they have left. */
const MAX_DELAY_FRACTION = 0.3;

/** Returns are spread over this part of the wait on either side. */
const JITTER = 0.25;

/** Time in which a request's weight falls to half, in milliseconds. */
const HALF_LIFE_MS = 2000;

/** Requests are taken to have been served before the first one, as weight. */
const PRIOR_WEIGHT = 3;

export class RetryAfterEstimator {
  private refused = 0;

  private total = PRIOR_WEIGHT;

  private decayedAt = 0;

  public constructor(private readonly random: Random) {}

  /** Records that a request was refused for want of servers, or was not. */
  public record(isRefused: boolean, now: number): void {
    this.decay(now);
    this.total += 1;
    if (isRefused) this.refused += 1;
  }

  /**
   * When the caller shall come back.
   * @param msLeft - time for which the caller waits in all, in milliseconds
   * @returns milliseconds from now on
   */
  public delayMs(msLeft: number, now: number): number {
    this.decay(now);
    const refusedFraction = this.refused / Math.max(PRIOR_WEIGHT, this.total);
    const baseMs = MIN_DELAY_MS + refusedFraction * (MAX_DELAY_MS - MIN_DELAY_MS);
    const limitMs = (Math.max(0, msLeft) * MAX_DELAY_FRACTION) / (1 + JITTER);
    return Math.min(baseMs, limitMs) * (1 + JITTER * (2 * this.random.next() - 1));
  }

  private decay(now: number): void {
    const factor = 0.5 ** ((now - this.decayedAt) / HALF_LIFE_MS);
    this.refused *= factor;
    this.total *= factor;
    this.decayedAt = now;
  }
}
