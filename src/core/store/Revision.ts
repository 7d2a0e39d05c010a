/**
 * Positions in the history of the store, and the only place that orders them.
 *
 * The store numbers its changes. When it comes back from an older copy, it gives numbers out again and begins a
 * new era. A revision holds both, the era first, so that `<` and `Math.max` order any two revisions. Revisions of
 * a store that states no era are of era 0.
 */
export type Revision = number;

/** Versions that an era can have: at 400 writes a second they last for 87 years. */
const VERSIONS_PER_ERA = 2 ** 40;

/** Highest era, so that every revision is a safe integer. */
export const MAX_ERA = 2 ** 13 - 1;

export function toRevision(era: number, version: number): Revision {
  return era * VERSIONS_PER_ERA + version;
}

export function eraOf(revision: Revision): number {
  return Math.floor(revision / VERSIONS_PER_ERA);
}

/** Returns the number under which the store knows a revision in its era. */
export function versionOf(revision: Revision): number {
  return revision % VERSIONS_PER_ERA;
}

/** Returns `ERA:VERSION` for log lines, or the version alone if the store states no era. */
export function describeRevision(revision: Revision): string {
  const era = eraOf(revision);
  return era === 0 ? `${versionOf(revision)}` : `${era}:${versionOf(revision)}`;
}
