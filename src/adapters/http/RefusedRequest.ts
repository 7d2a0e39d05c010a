import type { Refusal } from '../../core/Outcome.js';

/** Ends a caller's request with a refusal. */
export class RefusedRequest extends Error {
  public constructor(public readonly refused: Refusal) {
    super(refused.message);
  }
}
