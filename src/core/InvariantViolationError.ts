/** Thrown when an invariant is broken while checks are strict. */
export class InvariantViolationError extends Error {}
