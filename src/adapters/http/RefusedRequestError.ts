import type { Refusal } from '../../core/Outcome.js';

/** Thrown to end a caller's request with a refusal. */
export class RefusedRequestError extends Error {
  public constructor(public readonly refusal: Refusal) {
    super(refusal.message);
  }
}
