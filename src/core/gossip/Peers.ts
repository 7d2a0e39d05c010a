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
  triedAt: number;
  state: PeerState | undefined;
}

/** A peer not heard of for this long is not counted as live, in milliseconds. */
export const PEER_LIVE_MS = 5000;

/** A peer missing from the list and silent for this long is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

interface KnownHeir {
  readonly instance: string;
  readonly until: number;
}

/** Times that peers pass on differ by less than this, in milliseconds. */
const HEIR_TOLERANCE_MS = 1000;

function lastContact({ triedAt, heardAt }: KnownPeer): number {
  return Math.max(triedAt, heardAt);
}

export class Peers {
  private readonly known = new Map<string, KnownPeer>();

  private readonly heirs = new Map<string, KnownHeir>();

  public constructor(private readonly self: string) {}

  /** Takes the platform's list. */
  public takeList(list: readonly ListedInstance[], now: number): void {
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
        triedAt: -Infinity,
        state: undefined,
      });
    }
    for (const [name, peer] of this.known) {
      if (!listed.has(name) && now - peer.heardAt > FORGET_MS) this.known.delete(name);
    }
  }

  /** Takes what a peer says of itself. */
  public applyState(state: PeerState, now: number): void {
    if (state.instance === this.self) return;
    for (const { incarnation, instance, remainingMs } of state.heirs) {
      this.takeHeir(incarnation, instance, now + remainingMs);
    }
    const { instance: name, address, failureDomain, leaving } = state;
    const triedAt = this.known.get(name)?.triedAt ?? -Infinity;
    this.known.set(name, { name, address, failureDomain, leaving, heardAt: now, triedAt, state });
  }

  /** Records who holds the keys of stopped incarnations. */
  public recordKeyHandOver(incarnations: readonly string[], instance: string, now: number): void {
    for (const incarnation of incarnations)
      this.takeHeir(incarnation, instance, now + MINTED_KEY_LIFETIME_MS);
  }

  /** The instance that holds the keys of an incarnation that stopped. */
  public keyHolderOf(incarnation: string, now: number): string | undefined {
    const heir = this.heirs.get(incarnation);
    return heir !== undefined && heir.until > now ? heir.instance : undefined;
  }

  /** Every heir whose keys have not expired. */
  public heirList(now: number): Heir[] {
    const list: Heir[] = [];
    for (const [incarnation, { instance, until }] of this.heirs) {
      if (until <= now) this.heirs.delete(incarnation);
      else list.push({ incarnation, instance, remainingMs: until - now });
    }
    return list;
  }

  /** The latest hand-over of an incarnation's keys counts. */
  private takeHeir(incarnation: string, instance: string, until: number): void {
    const known = this.heirs.get(incarnation);
    if (known === undefined || until > known.until + HEIR_TOLERANCE_MS)
      this.heirs.set(incarnation, { instance, until });
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
  public domains(homeDomain: string): number {
    const names = new Set([homeDomain]);
    for (const peer of this.known.values()) names.add(peer.failureDomain);
    return names.size;
  }

  /** The peer that was not tried or heard for longest, at home or elsewhere. */
  public nextPartner(homeDomain: string, atHome: boolean): KnownPeer | undefined {
    let best: KnownPeer | undefined;
    for (const peer of this.known.values()) {
      if ((peer.failureDomain === homeDomain) !== atHome) continue;
      if (best === undefined || lastContact(peer) < lastContact(best)) best = peer;
    }
    return best;
  }
}
