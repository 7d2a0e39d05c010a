/** Limits retries to a fraction of the recorded requests, so that they add little load in a large outage. */

/** The number of retries that a scope may use. */
export interface RetryAllowance {
  /** Retries added for each recorded request. */
  readonly perRequest: number;
  /** Maximum number of saved retries. */
  readonly maxSaved: number;
  /** Number of retries that a new scope starts with. */
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

/**
 * Grants retries by scope, which names what a budget is for: a service, or an account and a pipeline or
 * service.
 */
export interface RetryLimiter {
  /**
   * Records a request that counts towards the budget: the dispatchers of an entry instance record each
   * request that was answered, a relay records the first send of each request.
   */
  recordRequest(scope: string, now: number): void;
  /** Whether a retry is available. */
  hasRetry(scope: string, now: number): boolean;
  /**
   * Consumes one retry.
   * @returns false when none is available
   */
  consumeRetry(scope: string, now: number): boolean;
}

interface SavedRetries {
  retries: number;
  refilledAt: number;
}

/** A token bucket of retries for each scope, which names an account and a pipeline or service. */
export class RetryBudget implements RetryLimiter {
  private readonly saved = new Map<string, SavedRetries>();

  /** @param allowance - returns the allowance now in force; it is the same for all scopes */
  public constructor(private readonly allowance: () => RetryAllowance = () => DEFAULT_ALLOWANCE) {}

  public recordRequest(scope: string, now: number): void {
    const { maxSaved, perRequest } = this.allowance();
    const saved = this.refill(scope, now);
    saved.retries = Math.min(maxSaved, saved.retries + perRequest);
  }

  public hasRetry(scope: string, now: number): boolean {
    return this.refill(scope, now).retries >= 1;
  }

  public consumeRetry(scope: string, now: number): boolean {
    const saved = this.refill(scope, now);
    if (saved.retries < 1) return false;
    saved.retries -= 1;
    return true;
  }

  private refill(scope: string, now: number): SavedRetries {
    const { initial, maxSaved, refillPerS } = this.allowance();
    let saved = this.saved.get(scope);
    if (saved === undefined) {
      saved = { retries: initial, refilledAt: now };
      this.saved.set(scope, saved);
    }
    const refill = ((now - saved.refilledAt) / 1000) * refillPerS;
    saved.retries = Math.min(maxSaved, saved.retries + refill);
    saved.refilledAt = now;
    return saved;
  }
}
