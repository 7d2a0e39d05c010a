/** What this instance knows of its peers: the platform's list joined with what they say themselves. */
import type { ListedInstance } from '../../ports/Types.js';
import { MINTED_KEY_LIFETIME_MS } from '../claims/KeyMint.js';
import type { Heir, PeerState } from '../../ports/Peer.js';

/** A peer as last heard of. */
export interface KnownPeer {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  leaving: boolean;
  /** Last exchange; -Infinity before the first. */
  heardAt: number;
  /** Last attempt to exchange. */
  lastAttemptAt: number;
  state: PeerState | undefined;
}

/** A peer not heard of for this long is not counted as live, in milliseconds. */
export const PEER_LIVE_MS = 5000;

/** A peer missing from the list and silent for this long is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 60_000;

interface KeyHolder {
  readonly instance: string;
  readonly until: number;
}

/** Times that peers pass on differ by less than this, in milliseconds. */
const KEY_HOLDER_TOLERANCE_MS = 1000;

function lastContactAt({ lastAttemptAt, heardAt }: KnownPeer): number {
  return Math.max(lastAttemptAt, heardAt);
}

export class Peers {
  private readonly known = new Map<string, KnownPeer>();

  private readonly keyHolders = new Map<string, KeyHolder>();

  public constructor(private readonly self: string) {}

  /** Takes the platform's list. */
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
        heardAt: -Infinity,
        lastAttemptAt: -Infinity,
        state: undefined,
      });
    }
    for (const [name, peer] of this.known) {
      if (!listed.has(name) && now - peer.heardAt > FORGET_AFTER_MS) this.known.delete(name);
    }
  }

  /** Takes what a peer says of itself. */
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
      heardAt: now,
      lastAttemptAt,
      state,
    });
  }

  /** Records who holds the keys of stopped incarnations. */
  public recordKeyHandOver(incarnations: readonly string[], instance: string, now: number): void {
    for (const incarnation of incarnations)
      this.setKeyHolder(incarnation, instance, now + MINTED_KEY_LIFETIME_MS);
  }

  /** The instance that holds the keys of an incarnation that stopped. */
  public keyHolderOf(incarnation: string, now: number): string | undefined {
    const holder = this.keyHolders.get(incarnation);
    return holder !== undefined && holder.until > now ? holder.instance : undefined;
  }

  /** Every heir whose keys have not expired. */
  public listKeyHolders(now: number): Heir[] {
    const list: Heir[] = [];
    for (const [incarnation, { instance, until }] of this.keyHolders) {
      if (until <= now) this.keyHolders.delete(incarnation);
      else list.push({ incarnation, instance, remainingMs: until - now });
    }
    return list;
  }

  /** The latest hand-over of an incarnation's keys counts. */
  private setKeyHolder(incarnation: string, instance: string, until: number): void {
    const current = this.keyHolders.get(incarnation);
    if (current === undefined || until > current.until + KEY_HOLDER_TOLERANCE_MS)
      this.keyHolders.set(incarnation, { instance, until });
  }

  /** Peers known, live or not. */
  public get count(): number {
    return this.known.size;
  }

  public find(name: string): KnownPeer | undefined {
    return this.known.get(name);
  }

  public all(): IterableIterator<KnownPeer> {
    return this.known.values();
  }

  /** Peers heard of lately. */
  public livePeers(now: number): KnownPeer[] {
    return [...this.known.values()].filter(
      (peer) => !peer.leaving && now - peer.heardAt <= PEER_LIVE_MS,
    );
  }

  /** Live instances of a failure domain, this one excluded. */
  public countLiveIn(failureDomain: string, now: number): number {
    return this.livePeers(now).filter((peer) => peer.failureDomain === failureDomain).length;
  }

  /** Failure domains that have instances, cut off or not. */
  public countDomains(localDomain: string): number {
    const names = new Set([localDomain]);
    for (const peer of this.known.values()) names.add(peer.failureDomain);
    return names.size;
  }

  /** The peer that was not tried or heard for longest, at home or elsewhere. */
  public nextExchangePeer(localDomain: string, isLocal: boolean): KnownPeer | undefined {
    let oldest: KnownPeer | undefined;
    for (const peer of this.known.values()) {
      if ((peer.failureDomain === localDomain) !== isLocal) continue;
      if (oldest === undefined || lastContactAt(peer) < lastContactAt(oldest)) oldest = peer;
    }
    return oldest;
  }
}
