/** Limits retries to a fraction of recent successful requests, so that they add no load in a large outage. */

/** The number of retries that a key may use. */
export interface RetryAllowance {
  /** Retries added for each recorded request. */
  readonly perRequest: number;
  /** Maximum number of saved retries. */
  readonly maxSaved: number;
  /** Number of retries that a new key starts with. */
  readonly initial: number;
  /** Retries added per second even without requests, so that waiting streams make progress. */
  readonly refillPerS: number;
}

/** One retry per five successful requests, with enough saved to handle the loss of one server. */
const DEFAULT_ALLOWANCE: RetryAllowance = {
  perRequest: 0.2,
  maxSaved: 100,
  initial: 30,
  refillPerS: 2,
};

/** Grants retries by key. */
export interface RetryLimiter {
  /** Records a request that counts towards the budget. */
  recordRequest(key: string, now: number): void;
  /** Whether a retry is available. */
  hasRetry(key: string, now: number): boolean;
  /**
   * Consumes one retry.
   * @returns false when none is available
   */
  consumeRetry(key: string, now: number): boolean;
}

interface SavedRetries {
  retries: number;
  refilledAt: number;
}

/** A token bucket of retries for each key, which names an account and a pipeline or service. */
export class RetryBudget implements RetryLimiter {
  private readonly saved = new Map<string, SavedRetries>();

  /** @param allowance - returns the allowance now in force; it is the same for all keys */
  public constructor(private readonly allowance: () => RetryAllowance = () => DEFAULT_ALLOWANCE) {}

  public recordRequest(key: string, now: number): void {
    const { maxSaved, perRequest } = this.allowance();
    const saved = this.refill(key, now);
    saved.retries = Math.min(maxSaved, saved.retries + perRequest);
  }

  public hasRetry(key: string, now: number): boolean {
    return this.refill(key, now).retries >= 1;
  }

  public consumeRetry(key: string, now: number): boolean {
    const saved = this.refill(key, now);
    if (saved.retries < 1) return false;
    saved.retries -= 1;
    return true;
  }

  private refill(key: string, now: number): SavedRetries {
    const { initial, maxSaved, refillPerS } = this.allowance();
    let saved = this.saved.get(key);
    if (saved === undefined) {
      saved = { retries: initial, refilledAt: now };
      this.saved.set(key, saved);
    }
    const refill = ((now - saved.refilledAt) / 1000) * refillPerS;
    saved.retries = Math.min(maxSaved, saved.retries + refill);
    saved.refilledAt = now;
    return saved;
  }
}
