/** The known peers, and which of them is the hub of each failure domain. */
import type { ChangePosition, PeerIdentity } from './Types.js';

/** A peer that failed to answer or is leaving is not chosen as hub for this time, in milliseconds. */
const AVOID_MS = 3000;

/** A peer that takes longer than this to answer is not chosen as hub until it answers, in milliseconds. */
const SLOW_ANSWER_MS = 200;

/** A peer without a digest for this time is not counted as live, in milliseconds. */
const LIVE_MS = 3000;

export interface Peer {
  identity: PeerIdentity;
  lastDigestAt: number;
  avoidedUntil: number;
  /** Time at which the digest that awaits an answer was sent; undefined when none does. */
  pendingSince: number | undefined;
  /** Version of the configuration in force at the peer, as last reported. */
  ticket: number;
  /** The peer's changes of server entries that are applied here. */
  applied: ChangePosition | undefined;
  /** This instance's changes of server entries that the peer has applied, as last reported. */
  acknowledged: ChangePosition | undefined;
}

/**
 * Whether an instance is preferred to another one as hub: the one that can carry more, or, if both can carry the
 * same, the first by name.
 */
function isPreferredHub(one: PeerIdentity, other: PeerIdentity): boolean {
  // Instances of builds that do not state their capacity come last.
  const { capacity = 0 } = one;
  const { capacity: otherCapacity = 0 } = other;
  if (capacity !== otherCapacity) return capacity > otherCapacity;
  return one.instance < other.instance;
}

export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  public constructor(private readonly self: PeerIdentity) {}

  /** Number of known instances, live or not, including this one. */
  public get size(): number {
    return this.peers.size + 1;
  }

  public get(instance: string): Peer | undefined {
    return this.peers.get(instance);
  }

  public identities(): PeerIdentity[] {
    return [...this.peers.values()].map(({ identity }) => identity);
  }

  /** Returns the identities of the live peers of a failure domain. */
  public liveInstances(failureDomain: string, now: number): PeerIdentity[] {
    const identities: PeerIdentity[] = [];
    for (const peer of this.peers.values()) {
      if (peer.identity.failureDomain === failureDomain && this.isLive(peer, now))
        identities.push(peer.identity);
    }
    return identities;
  }

  /** Returns the failure domains of peers, except the local one. */
  public remoteDomains(): Set<string> {
    const domains = new Set<string>();
    for (const { identity } of this.peers.values()) domains.add(identity.failureDomain);
    domains.delete(this.self.failureDomain);
    return domains;
  }

  /**
   * Adds a peer or updates its address and incarnation.
   * @param isCurrent - whether the identity is known to be the newest, whatever its incarnation
   */
  public add(identity: PeerIdentity, isCurrent: boolean): void {
    if (identity.instance === this.self.instance) return;
    const peer = this.peers.get(identity.instance);
    if (peer === undefined) {
      this.peers.set(identity.instance, {
        identity,
        lastDigestAt: -Infinity,
        avoidedUntil: -Infinity,
        pendingSince: undefined,
        ticket: 0,
        applied: undefined,
        acknowledged: undefined,
      });
      return;
    }
    if (!isCurrent && identity.incarnation <= peer.identity.incarnation) return;
    if (peer.identity.address !== identity.address) peer.avoidedUntil = -Infinity;
    peer.identity = identity;
  }

  public isLive(peer: Peer, now: number): boolean {
    return now - peer.lastDigestAt < LIVE_MS;
  }

  /** Excludes a peer from being chosen as hub for a while. */
  public avoid(peer: Peer, now: number): void {
    peer.avoidedUntil = now + AVOID_MS;
  }

  /**
   * Returns the hub of a failure domain among the peers: the one that can carry most of those that answer. All
   * instances choose the same hub as long as they reach the same peers.
   */
  public hubOf(failureDomain: string, now: number): Peer | undefined {
    let hub: Peer | undefined;
    for (const peer of this.peers.values()) {
      const { identity, pendingSince, avoidedUntil } = peer;
      if (identity.failureDomain !== failureDomain || avoidedUntil > now) continue;
      if (pendingSince !== undefined && now - pendingSince > SLOW_ANSWER_MS) continue;
      if (hub === undefined || isPreferredHub(identity, hub.identity)) hub = peer;
    }
    return hub;
  }

  /**
   * Returns the peers that tell what is new: the first choice as hub of the local failure domain, or, if that is
   * this instance, those of the others. How they answered lately does not count: after a standstill of this
   * instance, that says nothing.
   */
  public informants(): Peer[] {
    const choices = new Map<string, Peer>();
    for (const peer of this.peers.values()) {
      const { failureDomain } = peer.identity;
      const best = choices.get(failureDomain);
      if (best === undefined || isPreferredHub(peer.identity, best.identity))
        choices.set(failureDomain, peer);
    }
    const local = choices.get(this.self.failureDomain);
    // Hubs of other domains would send all that they know to an instance that is no hub.
    if (local !== undefined && !isPreferredHub(this.self, local.identity)) return [local];
    choices.delete(this.self.failureDomain);
    return [...choices.values()];
  }

  /** Returns the hub of the local failure domain; undefined when it is this instance. */
  public localHub(now: number): Peer | undefined {
    const hub = this.hubOf(this.self.failureDomain, now);
    return hub === undefined || isPreferredHub(this.self, hub.identity) ? undefined : hub;
  }
}
