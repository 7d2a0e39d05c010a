/** Thrown when an invariant is broken while checks are strict. */
export class BrokenInvariant extends Error {}
