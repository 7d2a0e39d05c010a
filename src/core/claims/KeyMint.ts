import type { HandOver, MintedKey } from '../../ports/Peer.js';
import type { StoredAnswer } from './Types.js';

/** What a minted key stands for when it is used. */
export enum MintVerdict {
  /** First use: the request may run now, and only here. */
  Run = 'run',
  /** The same request is running here. */
  Running = 'running',
  /** The answer is known. */
  Replay = 'replay',
  /** The key stands for another request. */
  Mismatch = 'mismatch',
  /** This incarnation did not mint the key, or the key has expired. */
  Foreign = 'foreign',
  /** The instance stops and runs no keys any more. */
  Stopping = 'stopping',
}

interface MintedKeyEntry {
  readonly account: string;
  readonly mintedAt: number;
  digest: string;
  answer: StoredAnswer | undefined;
  waiters: ((answer: StoredAnswer | undefined) => void)[];
  ended: boolean;
}

/** Keys are remembered this long after minting, in milliseconds. */
export const MINTED_KEY_LIFETIME_MS = 15 * 60_000;

const MAX_KEYS = 100_000;
const PREFIX = 'minted.';

/** Name and incarnation of the instance that minted a key. */
export interface KeyOrigin {
  readonly instance: string;
  readonly incarnation: string;
}

/** Reads the origin from a minted key; undefined for a caller's own key. */
export function parseKeyOrigin(key: string): KeyOrigin | undefined {
  if (!key.startsWith(PREFIX)) return undefined;
  const [, instance, incarnation, serial] = key.split('~');
  if (instance === undefined || incarnation === undefined || serial === undefined) return undefined;
  return { instance, incarnation };
}

/**
 * Request keys that are bound to one incarnation of one instance, so that at most one run needs no
 * store write. Losing the instance loses the keys: their fate is then unknown, never repeated.
 */
export class KeyMint {
  private readonly keys = new Map<string, MintedKeyEntry>();

  private stopping = false;

  private serial = 0;

  /** Incarnations whose keys are held here. */
  private readonly incarnations: Set<string>;

  public constructor(
    private readonly origin: KeyOrigin,
    private readonly nonce: () => string,
  ) {
    this.incarnations = new Set([origin.incarnation]);
  }

  /** Mints a key; undefined when the instance stops or holds too many. */
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

  /** Uses a key. After `Run`, the caller runs the request and then calls `finish`. */
  public use(key: string, account: string, digest: string): MintVerdict {
    const entry = this.keys.get(key);
    if (entry === undefined || entry.account !== account) return MintVerdict.Foreign;
    if (entry.digest !== '' && entry.digest !== digest) return MintVerdict.Mismatch;
    if (entry.answer !== undefined) return MintVerdict.Replay;
    if (entry.digest !== '') return entry.ended ? MintVerdict.Foreign : MintVerdict.Running;
    if (this.stopping) return MintVerdict.Stopping;
    entry.digest = digest;
    return MintVerdict.Run;
  }

  /** The stored answer of a key. */
  public answerOf(key: string): StoredAnswer | undefined {
    return this.keys.get(key)?.answer;
  }

  /** Waits for the end of a running key. */
  public wait(key: string): Promise<StoredAnswer | undefined> {
    const entry = this.keys.get(key);
    if (entry === undefined || entry.ended) return Promise.resolve(entry?.answer);
    return new Promise((resolve) => {
      entry.waiters.push(resolve);
    });
  }

  /**
   * Ends a run.
   * @param answer - undefined when the request may have run without an answer
   */
  public finish(key: string, answer: StoredAnswer | undefined): void {
    const entry = this.keys.get(key);
    if (entry === undefined) return;
    entry.answer = answer;
    entry.ended = true;
    this.resolveWaiters(entry);
  }

  /** Makes a key usable again after a run that was never dispatched. */
  public reset(key: string): void {
    const entry = this.keys.get(key);
    if (entry === undefined) return;
    entry.digest = '';
    this.resolveWaiters(entry);
  }

  /** Stops running keys for good, before they are handed over. */
  public stop(): void {
    this.stopping = true;
  }

  /** Everything that an heir must know. Call after `stop` and after the last run ended. */
  public handOver(): HandOver {
    const keys: MintedKey[] = [];
    for (const [key, entry] of this.keys) {
      const { account, digest, answer } = entry;
      keys.push({ key, account, digest, ...(answer && { answer }) });
    }
    return { incarnations: [...this.incarnations], keys };
  }

  /** Takes over the keys of a stopped instance. Taking the same set twice changes nothing. */
  public inherit(handOver: HandOver, now: number): void {
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

  /** Drops keys past their lifetime, oldest first; keys in use stay. */
  private removeExpired(now: number): void {
    for (const [key, entry] of this.keys) {
      if (now - entry.mintedAt < MINTED_KEY_LIFETIME_MS) return;
      if (entry.digest === '' || entry.ended) this.keys.delete(key);
    }
  }
}
