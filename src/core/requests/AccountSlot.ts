import type { AccountLimiter } from '../limits/AccountLimiter.js';
import { Outcome, refusal, RefusalReason, type Refusal } from '../Outcome.js';
import type { ClientAccount } from '../tickets/Types.js';

/**
 * Acquires a request slot within an account's limits.
 * @param state - the account's current state; undefined if the account was removed
 * @returns a refusal, or undefined if the slot was acquired
 */
export function acquireAccountSlot(
  limiter: AccountLimiter,
  account: string,
  state: ClientAccount | undefined,
  now: number,
): Refusal | undefined {
  if (state === undefined) {
    return refusal(
      Outcome.NotRun,
      RefusalReason.Unauthorized,
      'The account no longer exists. Ask the operators for a new key.',
    );
  }
  const limited = limiter.acquire(account, state, now);
  if (limited === undefined) return undefined;
  return refusal(
    Outcome.NotRun,
    limited,
    `Account ${account} has reached its limit on the request rate or on concurrent requests. Retry after the delay given in Retry-After.`,
  );
}
