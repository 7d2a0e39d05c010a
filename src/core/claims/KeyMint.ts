import type { HandOver, MintedKey } from '../../ports/Peer.js';
import type { StoredAnswer } from './Types.js';

/** Result of using a minted key. */
export enum MintVerdict {
  /** First use: the request may run now, and only on this instance. */
  Run = 'run',
  /** The same request is running on this instance. */
  Running = 'running',
  /** The request has ended, and its answer is stored. */
  Replay = 'replay',
  /** The key was used for a different request. */
  Mismatch = 'mismatch',
  /**
   * This instance does not hold the key for this account, for example because the key has expired, or the
   * request of the key ended without an answer.
   */
  NotUsable = 'foreign',
  /** The instance is stopping and starts no further requests of minted keys. */
  Stopping = 'stopping',
}

interface MintedKeyEntry {
  readonly account: string;
  readonly mintedAt: number;
  /** Digest of the request that uses the key; empty while none does. */
  digest: string;
  answer: StoredAnswer | undefined;
  waiters: ((answer: StoredAnswer | undefined) => void)[];
  ended: boolean;
}

/** Keys are kept for this long after they were minted or imported, in milliseconds. */
export const MINTED_KEY_LIFETIME_MS = 15 * 60_000;

const MAX_KEYS = 100_000;
const PREFIX = 'minted.';

/** Name and incarnation of the instance that minted a key. */
export interface KeyOrigin {
  readonly instance: string;
  readonly incarnation: string;
}

/** Parses the origin from a minted key; undefined for a key that the caller chose. */
export function parseKeyOrigin(key: string): KeyOrigin | undefined {
  if (!key.startsWith(PREFIX)) return undefined;
  const [, instance, incarnation, serial] = key.split('~');
  if (instance === undefined || incarnation === undefined || serial === undefined) return undefined;
  return { instance, incarnation };
}

/**
 * Mints request keys that are bound to one incarnation of one instance, so that running a request at
 * most once needs no store write. If the instance is lost, so are its keys: the outcome of their
 * requests is then unknown, and the requests are never repeated.
 */
export class KeyMint {
  private readonly keys = new Map<string, MintedKeyEntry>();

  private stopping = false;

  private serial = 0;

  /** Incarnations whose keys this instance holds. */
  private readonly incarnations: Set<string>;

  /** @param nonce - returns the random part of a new key */
  public constructor(
    private readonly origin: KeyOrigin,
    private readonly nonce: () => string,
  ) {
    this.incarnations = new Set([origin.incarnation]);
  }

  /** Mints a key; undefined when the instance is stopping or holds `MAX_KEYS` keys. */
  public mint(account: string, now: number): string | undefined {
    this.removeExpired(now);
    if (this.stopping || this.keys.size >= MAX_KEYS) return undefined;
    this.serial += 1;
    const key = `${PREFIX}~${this.origin.instance}~${this.origin.incarnation}~${this.serial}-${this.nonce()}`;
    this.keys.set(key, {
      account,
      mintedAt: now,
      digest: '',
      answer: undefined,
      waiters: [],
      ended: false,
    });
    return key;
  }

  /**
   * Uses a key for a request. After `Run`, the caller runs the request and then calls `finish` or
   * `reset`.
   */
  public use(key: string, account: string, digest: string): MintVerdict {
    const entry = this.keys.get(key);
    if (entry === undefined || entry.account !== account) return MintVerdict.NotUsable;
    if (entry.digest !== '' && entry.digest !== digest) return MintVerdict.Mismatch;
    if (entry.answer !== undefined) return MintVerdict.Replay;
    if (entry.digest !== '') return entry.ended ? MintVerdict.NotUsable : MintVerdict.Running;
    if (this.stopping) return MintVerdict.Stopping;
    entry.digest = digest;
    return MintVerdict.Run;
  }

  /** The stored answer of a key. */
  public answerOf(key: string): StoredAnswer | undefined {
    return this.keys.get(key)?.answer;
  }

  /**
   * Waits until the request of a running key ends.
   * @returns the answer; undefined when the request ended without one
   */
  public wait(key: string): Promise<StoredAnswer | undefined> {
    const entry = this.keys.get(key);
    if (entry === undefined || entry.ended) return Promise.resolve(entry?.answer);
    return new Promise((resolve) => {
      entry.waiters.push(resolve);
    });
  }

  /**
   * Records that the request of a key has ended.
   * @param answer - undefined when the request may have run without an answer
   */
  public finish(key: string, answer: StoredAnswer | undefined): void {
    const entry = this.keys.get(key);
    if (entry === undefined) return;
    entry.answer = answer;
    entry.ended = true;
    this.resolveWaiters(entry);
  }

  /** Makes a key usable again when its request was never dispatched. */
  public reset(key: string): void {
    const entry = this.keys.get(key);
    if (entry === undefined) return;
    entry.digest = '';
    this.resolveWaiters(entry);
  }

  /** Permanently stops minting keys and starting their requests, before the keys are handed over. */
  public stop(): void {
    this.stopping = true;
  }

  /**
   * Exports all keys, to hand them over to another instance. Call it after `stop`, when the last request
   * has ended.
   */
  public exportKeys(): HandOver {
    const keys: MintedKey[] = [];
    for (const [key, entry] of this.keys) {
      const { account, digest, answer } = entry;
      keys.push({ key, account, digest, ...(answer && { answer }) });
    }
    return { incarnations: [...this.incarnations], keys };
  }

  /** Imports the keys that a stopping instance hands over. Importing the same set twice has no further effect. */
  public importKeys(handOver: HandOver, now: number): void {
    for (const incarnation of handOver.incarnations) this.incarnations.add(incarnation);
    for (const { key, account, digest, answer } of handOver.keys) {
      if (this.keys.has(key)) continue;
      this.keys.set(key, {
        account,
        mintedAt: now,
        digest,
        answer,
        waiters: [],
        ended: digest !== '',
      });
    }
  }

  private resolveWaiters(entry: MintedKeyEntry): void {
    const { waiters } = entry;
    entry.waiters = [];
    for (const waiter of waiters) waiter(entry.answer);
  }

  /** Removes keys past their lifetime, oldest first; keys whose request is running stay. */
  private removeExpired(now: number): void {
    for (const [key, entry] of this.keys) {
      if (now - entry.mintedAt < MINTED_KEY_LIFETIME_MS) return;
      if (entry.digest === '' || entry.ended) this.keys.delete(key);
    }
  }
}
