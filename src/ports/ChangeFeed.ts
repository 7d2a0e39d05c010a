/** Feed of the changes to one table of the platform's store. */
import type { Revision } from '../core/store/Revision.js';

/** One entry of the table, as the store holds it. */
export interface StoreEntry<T> {
  readonly key: string;
  /** Increases with each change of any entry, also when the store comes back from an older copy. */
  readonly revision: Revision;
  /** Undefined when the entry was removed or cannot be decoded. */
  readonly value: T | undefined;
}

/** Entries, or changes of entries, up to one revision. */
export interface StoreEntries<T> {
  readonly entries: readonly StoreEntry<T>[];
  /** Newest revision up to which all changes are included; some later ones may be included too. */
  readonly revision: Revision;
}

/** All entries of a table. */
export interface StoreSnapshot<T> extends StoreEntries<T> {
  /** Time on the store's steady clock at which they were read, in milliseconds. */
  readonly storeTimeMs: number;
}

/**
 * Feed of the changes to one table. Every method rejects with a `Failure` of kind `PlatformUnavailable` when
 * the call fails.
 */
export interface ChangeFeed<T> {
  /** Reads every entry. */
  readAll(): Promise<StoreSnapshot<T>>;
  /**
   * Waits for changes after a revision.
   * @param waitMs - time after which an answer without changes is returned, in milliseconds
   * @returns undefined when the store no longer has the changes since then, or has come back from a copy
   */
  changesSince(revision: Revision, waitMs: number): Promise<StoreEntries<T> | undefined>;
}
