/** Limits retries to a share of recent successes, so that a wide outage adds no load. */

/** How many retries a key may use. */
export interface RetryAllowance {
  /** Retries allowed for each request that counts. */
  readonly perRequest: number;
  /** Retries that may be saved up. */
  readonly maxSaved: number;
  /** Retries a key starts with. */
  readonly initial: number;
  /** Retries that come back each second even without requests, so that waiting streams get on. */
  readonly refillPerS: number;
}

/** A fifth of the successes, with enough saved for the loss of one server. */
const DEFAULT_ALLOWANCE: RetryAllowance = {
  perRequest: 0.2,
  maxSaved: 100,
  initial: 30,
  refillPerS: 2,
};

/** Says whether retries are left, by key. */
export interface RetryLimiter {
  /** Records a request that counts towards the budget. */
  recordRequest(key: string, now: number): void;
  /** Whether a retry is left. */
  hasRetry(key: string, now: number): boolean;
  /** Takes one retry; false when none is left. */
  consumeRetry(key: string, now: number): boolean;
}

interface SavedRetries {
  retries: number;
  refilledAt: number;
}

/** Saved retries by key, where a key names an account and a pipeline. */
export class RetryBudget implements RetryLimiter {
  private readonly saved = new Map<string, SavedRetries>();

  /** @param allowance - says how many retries each key may use now */
  public constructor(private readonly allowance: () => RetryAllowance = () => DEFAULT_ALLOWANCE) {}

  /** Records a request that counts towards the budget. */
  public recordRequest(key: string, now: number): void {
    const { maxSaved, perRequest } = this.allowance();
    const saved = this.refill(key, now);
    saved.retries = Math.min(maxSaved, saved.retries + perRequest);
  }

  /** Whether a retry is left. */
  public hasRetry(key: string, now: number): boolean {
    return this.refill(key, now).retries >= 1;
  }

  /** Takes one retry; false when none is left. */
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
