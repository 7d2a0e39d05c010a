/** Knows the other instances, and which of them is asked first in each failure domain. */
import type { PeerAddress } from './Types.js';

/** A peer without an answer, or one that stops, is not chosen for this time, in milliseconds. */
const DISTRUST_MS = 3000;

/** A peer that takes longer to answer is passed over until it does, in milliseconds. */
const ANSWER_MS = 200;

/** A peer that was not heard of for this time is not counted as live, in milliseconds. */
const ALIVE_MS = 3000;

export interface Peer {
  address: PeerAddress;
  heardAt: number;
  distrustedUntil: number;
  /** When a digest was sent to the peer that has no answer yet; undefined when there is none. */
  askedAt: number | undefined;
  /** Time of the store's last answer of which the peer knows. */
  storeHeardAt: number;
  /** Ticket and revision that the peer last said it holds. */
  ticket: number;
  revision: number;
}

export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  public constructor(private readonly self: PeerAddress) {}

  /** Instances known, live or not, this one included. */
  public get size(): number {
    return this.peers.size + 1;
  }

  public get(instance: string): Peer | undefined {
    return this.peers.get(instance);
  }

  public addresses(): PeerAddress[] {
    return [...this.peers.values()].map(({ address }) => address);
  }

  /** Failure domains of peers, but for the own one. */
  public otherDomains(): Set<string> {
    const domains = new Set<string>();
    for (const { address } of this.peers.values()) domains.add(address.failureDomain);
    domains.delete(this.self.failureDomain);
    return domains;
  }

  /**
   * Learns where a peer is reached.
   * @param isCurrent - whether the address is known to be the newest, whatever its incarnation
   */
  public meet(address: PeerAddress, isCurrent: boolean): void {
    if (address.instance === this.self.instance) return;
    const peer = this.peers.get(address.instance);
    if (peer === undefined) {
      this.peers.set(address.instance, {
        address,
        heardAt: -Infinity,
        distrustedUntil: -Infinity,
        askedAt: undefined,
        storeHeardAt: -Infinity,
        ticket: 0,
        revision: 0,
      });
      return;
    }
    if (!isCurrent && address.incarnation <= peer.address.incarnation) return;
    if (peer.address.address !== address.address) peer.distrustedUntil = -Infinity;
    peer.address = address;
  }

  /** Time of the store's last answer of which any peer knows. */
  public get storeHeardAt(): number {
    let heardAt = -Infinity;
    for (const peer of this.peers.values()) heardAt = Math.max(heardAt, peer.storeHeardAt);
    return heardAt;
  }

  public isAlive(peer: Peer, now: number): boolean {
    return now - peer.heardAt < ALIVE_MS;
  }

  /** Keeps a peer from being chosen for a while. */
  public distrust(peer: Peer, now: number): void {
    peer.distrustedUntil = now + DISTRUST_MS;
  }

  /**
   * The hub of a failure domain among the peers: the first by name that answers. All instances
   * choose alike as long as they reach the same peers.
   */
  public hubOf(failureDomain: string, now: number): Peer | undefined {
    let hub: Peer | undefined;
    for (const peer of this.peers.values()) {
      const { address, askedAt, distrustedUntil } = peer;
      if (address.failureDomain !== failureDomain || distrustedUntil > now) continue;
      if (askedAt !== undefined && now - askedAt > ANSWER_MS) continue;
      if (hub === undefined || address.instance < hub.address.instance) hub = peer;
    }
    return hub;
  }

  /** The hub of the own failure domain; undefined when it is this instance. */
  public homeHub(now: number): Peer | undefined {
    const hub = this.hubOf(this.self.failureDomain, now);
    return hub === undefined || this.self.instance < hub.address.instance ? undefined : hub;
  }
}
