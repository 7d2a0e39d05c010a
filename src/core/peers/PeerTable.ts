/** Knows the other instances, and which of them is asked first in each failure domain. */
import type { PeerAddress } from './Types.js';

/** A peer without an answer, or one that stops, is not chosen for this time, in milliseconds. */
const AVOID_MS = 3000;

/** A peer that takes longer to answer is passed over until it does, in milliseconds. */
const SLOW_ANSWER_MS = 200;

/** A peer that was not heard of for this time is not counted as live, in milliseconds. */
const ALIVE_MS = 3000;

export interface Peer {
  address: PeerAddress;
  lastDigestAt: number;
  avoidedUntil: number;
  /** When a digest was sent to the peer that has no answer yet; undefined when there is none. */
  pendingSince: number | undefined;
  /** Time of the store's last answer of which the peer knows. */
  storeAnsweredAt: number;
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
  public remoteDomains(): Set<string> {
    const domains = new Set<string>();
    for (const { address } of this.peers.values()) domains.add(address.failureDomain);
    domains.delete(this.self.failureDomain);
    return domains;
  }

  /**
   * Learns where a peer is reached.
   * @param isCurrent - whether the address is known to be the newest, whatever its incarnation
   */
  public add(address: PeerAddress, isCurrent: boolean): void {
    if (address.instance === this.self.instance) return;
    const peer = this.peers.get(address.instance);
    if (peer === undefined) {
      this.peers.set(address.instance, {
        address,
        lastDigestAt: -Infinity,
        avoidedUntil: -Infinity,
        pendingSince: undefined,
        storeAnsweredAt: -Infinity,
        ticket: 0,
        revision: 0,
      });
      return;
    }
    if (!isCurrent && address.incarnation <= peer.address.incarnation) return;
    if (peer.address.address !== address.address) peer.avoidedUntil = -Infinity;
    peer.address = address;
  }

  /** Time of the store's last answer of which any peer knows. */
  public get storeAnsweredAt(): number {
    let newest = -Infinity;
    for (const peer of this.peers.values()) newest = Math.max(newest, peer.storeAnsweredAt);
    return newest;
  }

  public isAlive(peer: Peer, now: number): boolean {
    return now - peer.lastDigestAt < ALIVE_MS;
  }

  /** Keeps a peer from being chosen for a while. */
  public avoid(peer: Peer, now: number): void {
    peer.avoidedUntil = now + AVOID_MS;
  }

  /**
   * The hub of a failure domain among the peers: the first by name that answers. All instances
   * choose alike as long as they reach the same peers.
   */
  public hubOf(failureDomain: string, now: number): Peer | undefined {
    let hub: Peer | undefined;
    for (const peer of this.peers.values()) {
      const { address, pendingSince, avoidedUntil } = peer;
      if (address.failureDomain !== failureDomain || avoidedUntil > now) continue;
      if (pendingSince !== undefined && now - pendingSince > SLOW_ANSWER_MS) continue;
      if (hub === undefined || address.instance < hub.address.instance) hub = peer;
    }
    return hub;
  }

  /** The hub of the own failure domain; undefined when it is this instance. */
  public localHub(now: number): Peer | undefined {
    const hub = this.hubOf(this.self.failureDomain, now);
    return hub === undefined || this.self.instance < hub.address.instance ? undefined : hub;
  }
}
