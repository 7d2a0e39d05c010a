/**
 * Says when a caller whose request was refused shall come back.
 *
 * The more of the recent requests found no server, the longer the shortage is taken to last: a caller that
 * comes back too soon is refused again, and one that waits a little longer is served. Returns are spread,
 * so that those refused together do not come back together.
 */
import type { Random } from '../../ports/Types.js';

/** Wait while hardly any request is refused, in milliseconds: a server that was full takes more by then. */
const SHORTEST_MS = 500;

/** Wait while all are refused, in milliseconds: lost servers are replaced and links mended in seconds. */
const LONGEST_MS = 6000;

/** Callers follow advice up to a third of the time that they have left. */
const SHARE_OF_TIME_LEFT = 0.3;

/** Returns are spread over this part of the wait on either side. */
const SPREAD = 0.25;

/** Time in which a request's weight falls to half, in milliseconds. */
const HALF_LIFE_MS = 2000;

/** Requests are taken to have been served before the first one, as weight. */
const PRIOR = 3;

export class RetryAfterEstimator {
  private refused = 0;

  private all = PRIOR;

  private at = 0;

  public constructor(private readonly random: Random) {}

  /** Records that a request was refused for want of servers, or was not. */
  public record(isRefused: boolean, now: number): void {
    this.fade(now);
    this.all += 1;
    if (isRefused) this.refused += 1;
  }

  /**
   * When the caller shall come back.
   * @param msLeft - time for which the caller waits in all, in milliseconds
   * @returns milliseconds from now on
   */
  public delayMs(msLeft: number, now: number): number {
    this.fade(now);
    const share = this.refused / Math.max(PRIOR, this.all);
    const usual = SHORTEST_MS + share * (LONGEST_MS - SHORTEST_MS);
    const longest = (Math.max(0, msLeft) * SHARE_OF_TIME_LEFT) / (1 + SPREAD);
    return Math.min(usual, longest) * (1 + SPREAD * (2 * this.random.next() - 1));
  }

  private fade(now: number): void {
    const kept = 0.5 ** ((now - this.at) / HALF_LIFE_MS);
    this.refused *= kept;
    this.all *= kept;
    this.at = now;
  }
}
