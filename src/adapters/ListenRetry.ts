/** Binds addresses that another process holds for a moment, such as the one that ran before. */
import { Failure, FailureKind } from '../core/Failure.js';
import type { Clock } from '../ports/Types.js';

/** Delay before an address that is taken is tried again, in milliseconds. */
const RETRY_MS = 100;

export interface ListenRetryOptions {
  readonly clock: Clock;
  readonly address: string;
  /** Time after which an address that is still taken is given up, in milliseconds. */
  readonly limitMs: number;
  /** Called after the first attempt that fails. */
  onRetry(error: Error): void;
}

function isTaken(error: unknown): boolean {
  return /EADDRINUSE|address already in use/i.test((error as Error).message);
}

/**
 * Listens, and tries again while the address is taken.
 * @param listen - one attempt; rejects if the address cannot be bound
 * @throws Failure of kind `AddressTaken` after the limit, or the error of another kind at once
 */
export async function listenWithRetry<T>(
  listen: () => Promise<T>,
  { clock, address, limitMs, onRetry }: ListenRetryOptions,
): Promise<T> {
  const endsAt = clock.now() + limitMs;
  for (let attempt = 1; ; attempt += 1) {
    try {
      return await listen();
    } catch (error) {
      if (!isTaken(error)) throw error;
      if (clock.now() >= endsAt)
        throw new Failure(
          FailureKind.AddressTaken,
          `${address} has been taken by another process for ${limitMs} ms. End that process or change the address in the settings.`,
        );
      if (attempt === 1) onRetry(error as Error);
      await new Promise<void>((resolve) => {
        clock.schedule(RETRY_MS, resolve);
      });
    }
  }
}
