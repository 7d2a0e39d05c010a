/** What this instance knows of its peers: the platform's list joined with what they say themselves. */
import type { ListedInstance } from '../../ports/Types.js';
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

function lastContact({ triedAt, heardAt }: KnownPeer): number {
  return Math.max(triedAt, heardAt);
}

export class Peers {
  private readonly known = new Map<string, KnownPeer>();

  private readonly heirs = new Map<string, string>();

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
  public hear(state: PeerState, now: number): void {
    if (state.instance === this.self) return;
    for (const heir of state.heirs) this.heirs.set(heir.incarnation, heir.instance);
    const { instance: name, address, failureDomain, leaving } = state;
    const triedAt = this.known.get(name)?.triedAt ?? -Infinity;
    this.known.set(name, { name, address, failureDomain, leaving, heardAt: now, triedAt, state });
  }

  /** Records who holds the keys of a stopped incarnation. */
  public inherit(incarnation: string, instance: string): void {
    this.heirs.set(incarnation, instance);
  }

  public heirOf(incarnation: string): string | undefined {
    return this.heirs.get(incarnation);
  }

  public heirList(): Heir[] {
    return [...this.heirs].map(([incarnation, instance]) => ({ incarnation, instance }));
  }

  public find(name: string): KnownPeer | undefined {
    return this.known.get(name);
  }

  public all(): IterableIterator<KnownPeer> {
    return this.known.values();
  }

  /** Peers heard of lately. */
  public live(now: number): KnownPeer[] {
    return [...this.known.values()].filter(
      (peer) => !peer.leaving && now - peer.heardAt <= PEER_LIVE_MS,
    );
  }

  /** Live instances of a failure domain, this one excluded. */
  public liveIn(failureDomain: string, now: number): number {
    return this.live(now).filter((peer) => peer.failureDomain === failureDomain).length;
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
