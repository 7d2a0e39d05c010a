/**
 * Decides whether unexpected failures come so often that a process had better restart. A single one concerns a
 * single request or message mostly, while ending the process would cut off all others.
 */

/** Failures within `WINDOW_MS` from which on the process restarts. */
const MAX_FAILURES = 5;

const WINDOW_MS = 10_000;

export class FailureRate {
  /** Times of the failures within the window, in milliseconds, oldest first. */
  private readonly times: number[] = [];

  /**
   * Records a failure.
   * @param now - time on the monotonic clock, in milliseconds
   * @returns whether there were too many
   */
  public record(now: number): boolean {
    this.times.push(now);
    while (this.times[0] < now - WINDOW_MS) this.times.shift();
    return this.times.length >= MAX_FAILURES;
  }
}
