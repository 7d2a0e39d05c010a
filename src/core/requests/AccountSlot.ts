import type { AccountLimiter } from '../limits/AccountLimiter.js';
import { Outcome, refusal, RefusalReason, type Refusal } from '../Outcome.js';
import type { ClientAccount } from '../tickets/Types.js';

/**
 * Takes a place under an account's limits.
 * @param state - the account in force; undefined when it is gone
 * @returns a refusal, or undefined when the request has its place
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
      'The account is gone. Ask your operators for a key.',
    );
  }
  const limited = limiter.acquire(account, state, now);
  if (limited === undefined) return undefined;
  return refusal(
    Outcome.NotRun,
    limited,
    `Account ${account} is at its limit. Send the request again after the time in Retry-After.`,
  );
}
