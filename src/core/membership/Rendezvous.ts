import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/**
 * Returns whether `self` is among the `count` members that rank highest for `key`, by rendezvous hashing.
 * @param members - all members; may or may not include `self`
 */
export function ranksAmong(
  key: string,
  self: string,
  members: readonly string[],
  count: number,
): boolean {
  const ownScore = h64(`${key}/${self}`);
  let higherRanked = 0;
  for (const member of members) {
    if (member !== self && h64(`${key}/${member}`) > ownScore) higherRanked += 1;
    if (higherRanked >= count) return false;
  }
  return true;
}
