/** Limits retries to a share of recent successes, so that a wide outage adds no load. */

/** Retries allowed for each success. */
const RETRIES_PER_SUCCESS = 0.2;

/** Retries that may be saved up. */
const MAX_SAVED = 100;

/** Retries a key starts with. */
const INITIAL = 30;

/** Retries that come back each second even without successes, so that waiting streams get on. */
const REFILL_PER_S = 2;

interface Saved {
  retries: number;
  at: number;
}

/** Saved retries by key, where a key names an account and a pipeline. */
export class RetryBudget {
  private readonly saved = new Map<string, Saved>();

  /** Records a request that ended well. */
  public succeed(key: string, now: number): void {
    const saved = this.refilled(key, now);
    saved.retries = Math.min(MAX_SAVED, saved.retries + RETRIES_PER_SUCCESS);
  }

  /** Takes one retry; false when none is left. */
  public take(key: string, now: number): boolean {
    const saved = this.refilled(key, now);
    if (saved.retries < 1) return false;
    saved.retries -= 1;
    return true;
  }

  private refilled(key: string, now: number): Saved {
    let saved = this.saved.get(key);
    if (saved === undefined) {
      saved = { retries: INITIAL, at: now };
      this.saved.set(key, saved);
    }
    saved.retries = Math.min(MAX_SAVED, saved.retries + ((now - saved.at) / 1000) * REFILL_PER_S);
    saved.at = now;
    return saved;
  }
}
