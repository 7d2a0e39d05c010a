/** The known entry instances: the platform's instance list combined with the state that peers report. */
import type { ListedInstance } from '../../ports/Types.js';
import { MINTED_KEY_LIFETIME_MS } from '../claims/KeyMint.js';
import type { Heir, PeerState } from '../../ports/Peer.js';

/** A peer with its last known state. */
export interface KnownPeer {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  leaving: boolean;
  /** Time of the last exchange; -Infinity before the first. */
  lastExchangeAt: number;
  /** Time of the last attempted exchange; -Infinity before the first. */
  lastAttemptAt: number;
  state: PeerState | undefined;
}

/** A peer without an exchange for this time is not counted as live, in milliseconds. */
export const PEER_LIVE_MS = 5000;

/** A peer that is missing from the list is removed after this time without an exchange, in milliseconds. */
const FORGET_AFTER_MS = 60_000;

interface KeyHolder {
  readonly instance: string;
  readonly until: number;
}

/** Expiry times of the same hand-over, as relayed by peers, differ by less than this, in milliseconds. */
const KEY_HOLDER_TOLERANCE_MS = 1000;

function lastContactAt({ lastAttemptAt, lastExchangeAt }: KnownPeer): number {
  return Math.max(lastAttemptAt, lastExchangeAt);
}

export class Peers {
  private readonly known = new Map<string, KnownPeer>();

  private readonly keyHolders = new Map<string, KeyHolder>();

  public constructor(private readonly self: string) {}

  /** Applies the platform's instance list. */
  public applyInstanceList(list: readonly ListedInstance[], now: number): void {
    const listed = new Set(list.map((instance) => instance.name));
    for (const instance of list) {
      if (instance.name === this.self) continue;
      const peer = this.known.get(instance.name);
      if (peer !== undefined && peer.address === instance.address) {
        peer.leaving ||= instance.leaving;
        continue;
      }
      this.known.set(instance.name, {
        ...instance,
        lastExchangeAt: -Infinity,
        lastAttemptAt: -Infinity,
        state: undefined,
      });
    }
    for (const [name, peer] of this.known) {
      if (!listed.has(name) && now - peer.lastExchangeAt > FORGET_AFTER_MS) this.known.delete(name);
    }
  }

  /** Applies the state that a peer reports about itself. */
  public applyState(state: PeerState, now: number): void {
    if (state.instance === this.self) return;
    for (const { incarnation, instance, remainingMs } of state.heirs) {
      this.setKeyHolder(incarnation, instance, now + remainingMs);
    }
    const { instance: name, address, failureDomain, leaving } = state;
    const lastAttemptAt = this.known.get(name)?.lastAttemptAt ?? -Infinity;
    this.known.set(name, {
      name,
      address,
      failureDomain,
      leaving,
      lastExchangeAt: now,
      lastAttemptAt,
      state,
    });
  }

  /** Records that an instance now holds the keys minted by stopped incarnations. */
  public recordKeyHandOver(incarnations: readonly string[], instance: string, now: number): void {
    for (const incarnation of incarnations)
      this.setKeyHolder(incarnation, instance, now + MINTED_KEY_LIFETIME_MS);
  }

  /** Returns the instance that holds the keys of a stopped incarnation, until those keys have expired. */
  public keyHolderOf(incarnation: string, now: number): string | undefined {
    const holder = this.keyHolders.get(incarnation);
    return holder !== undefined && holder.until > now ? holder.instance : undefined;
  }

  /** Returns the instances that hold the keys of stopped incarnations, until those keys expire. */
  public listKeyHolders(now: number): Heir[] {
    const list: Heir[] = [];
    for (const [incarnation, { instance, until }] of this.keyHolders) {
      if (until <= now) this.keyHolders.delete(incarnation);
      else list.push({ incarnation, instance, remainingMs: until - now });
    }
    return list;
  }

  /** Only the latest hand-over of an incarnation's keys is kept. */
  private setKeyHolder(incarnation: string, instance: string, until: number): void {
    const current = this.keyHolders.get(incarnation);
    if (current === undefined || until > current.until + KEY_HOLDER_TOLERANCE_MS)
      this.keyHolders.set(incarnation, { instance, until });
  }

  /** Number of known peers, live or not. */
  public get count(): number {
    return this.known.size;
  }

  public find(name: string): KnownPeer | undefined {
    return this.known.get(name);
  }

  public all(): IterableIterator<KnownPeer> {
    return this.known.values();
  }

  /** Returns the peers that had an exchange recently and are not leaving. */
  public livePeers(now: number): KnownPeer[] {
    return [...this.known.values()].filter(
      (peer) => !peer.leaving && now - peer.lastExchangeAt <= PEER_LIVE_MS,
    );
  }

  /** Returns the number of live peers in a failure domain. */
  public countLiveIn(failureDomain: string, now: number): number {
    return this.livePeers(now).filter((peer) => peer.failureDomain === failureDomain).length;
  }

  /** Returns the number of failure domains that have instances, reachable or not. */
  public countDomains(localDomain: string): number {
    const names = new Set([localDomain]);
    for (const peer of this.known.values()) names.add(peer.failureDomain);
    return names.size;
  }

  /**
   * Returns the peer whose last contact, including failed attempts, is the longest ago.
   * @param isLocal - whether to choose among peers in the local failure domain or in remote ones
   */
  public nextExchangePeer(localDomain: string, isLocal: boolean): KnownPeer | undefined {
    let oldest: KnownPeer | undefined;
    for (const peer of this.known.values()) {
      if ((peer.failureDomain === localDomain) !== isLocal) continue;
      if (oldest === undefined || lastContactAt(peer) < lastContactAt(oldest)) oldest = peer;
    }
    return oldest;
  }
}
