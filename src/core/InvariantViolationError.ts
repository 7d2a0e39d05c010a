/** Thrown for a violated invariant when checks are strict. */
export class InvariantViolationError extends Error {}
