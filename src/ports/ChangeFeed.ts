/** Follows the entries of one table of the platform's store. */

/** One entry as the store holds it. */
export interface StoreEntry<T> {
  readonly key: string;
  /** Grows with each change of any entry. */
  readonly revision: number;
  /** Undefined when the entry was removed, or cannot be read as what it should be. */
  readonly value: T | undefined;
}

/** Entries as of one revision. */
export interface StoreEntries<T> {
  readonly entries: readonly StoreEntry<T>[];
  /** Newest revision that the answer accounts for. */
  readonly revision: number;
}

/** Every method rejects with `PlatformUnavailable`. */
export interface ChangeFeed<T> {
  /** Reads every entry. */
  readAll(): Promise<StoreEntries<T>>;
  /**
   * Waits for changes after a revision.
   * @param waitMs - answers without changes after this time, in milliseconds
   * @returns undefined when the store no longer has the changes since then
   */
  changesSince(revision: number, waitMs: number): Promise<StoreEntries<T> | undefined>;
}
