/** Limits retries to a share of recent successes, so that a wide outage adds no load. */

/** Retries allowed for each success. */
const RETRIES_PER_SUCCESS = 0.2;

/** Retries that may be saved up. */
const MAX_SAVED = 50;

/** Retries a key starts with. */
const INITIAL = 10;

/** Saved retries by key, where a key names an account and a pipeline. */
export class RetryBudget {
  private readonly saved = new Map<string, number>();

  /** Records a request that ended well. */
  public succeed(key: string): void {
    this.saved.set(key, Math.min(MAX_SAVED, this.savedFor(key) + RETRIES_PER_SUCCESS));
  }

  /** Takes one retry; false when none is left. */
  public take(key: string): boolean {
    const saved = this.savedFor(key);
    if (saved < 1) return false;
    this.saved.set(key, saved - 1);
    return true;
  }

  private savedFor(key: string): number {
    return this.saved.get(key) ?? INITIAL;
  }
}
