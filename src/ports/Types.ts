/** Types shared by every port. */

/** A listener, timer or other resource, which its owner releases once; a second call need not be safe. */
export interface Disposable {
  dispose(): void;
}

/** Source of time. Core code never reads the machine's clock itself. */
export interface Clock {
  /** Milliseconds on a monotonic scale. */
  now(): number;
  /** Runs `callback` after `delayMs`; disposing the result cancels it. */
  schedule(delayMs: number, callback: () => void): Disposable;
}

/** Source of randomness. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A fresh identifier of `bytes` random bytes, in hex. */
  id(bytes: number): string;
}

/**
 * One row of the table service. A version is never reused within an era; 0 means that the row is absent.
 */
export interface Row<T = unknown> {
  readonly key: string;
  readonly version: number;
  readonly value: T;
}

/** Requires that `key` is still at `version`; version 0 requires that it is absent. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** Stores `value` at `key`. */
export interface Write {
  readonly key: string;
  readonly value: unknown;
}

/** Applies all writes and removals if all conditions hold, and none otherwise. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /** Keys of rows to remove. */
  readonly removes?: readonly string[];
  /**
   * Era in which the conditions were read. The result is a conflict if the transaction was carried out in
   * another one, since a version that is given out again makes a condition hold by chance; the writes are
   * then there nevertheless.
   */
  readonly era?: number;
}

export enum CommitStatus {
  Committed = 'committed',
  Conflict = 'conflict',
}

/** The table service's answer to a transaction. */
export interface TransactionResult {
  readonly status: CommitStatus;
  /** Keys whose conditions did not hold. */
  readonly conflicts: readonly string[];
}

/**
 * The platform's transactional table service. Every method rejects with a `Failure` of kind
 * `PlatformUnavailable` when the call fails.
 */
export interface TableService {
  /**
   * Era of the newest answer; it rises when the service comes back from an older copy and has lost what was
   * written since. Undefined for a service that loses nothing.
   */
  readonly era?: number;
  /** @returns the rows found, in the order of `keys`; absent rows are undefined. */
  read(keys: readonly string[]): Promise<(Row | undefined)[]>;
  /** A rejected call may still take effect later. */
  transact(transaction: Transaction): Promise<TransactionResult>;
}

/**
 * The platform's object store. Every method rejects with a `Failure` of kind `PlatformUnavailable`
 * when the call fails.
 */
export interface ObjectStore {
  get(name: string): Promise<string | undefined>;
  put(name: string, body: string): Promise<void>;
}

/** One entry of the platform's instance list. */
export interface ListedInstance {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
}

/** The platform's list of live and leaving instances. It lags behind their actual state. */
export interface InstanceList {
  list(): Promise<readonly ListedInstance[]>;
}
