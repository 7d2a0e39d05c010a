/**
 * Shares this instance's outstanding work with its peers, and relays what instances read from the store.
 *
 * One instance of each failure domain is its hub. The other instances exchange digests only with their hub,
 * and the hubs exchange digests with each other, so that each instance sends only a few digests per second in
 * a fleet of any size. When a hub stops answering, the next instance by name becomes the hub.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { BackendServer } from '../deployment/Types.js';
import type { PeerRetryUse, RetryUse } from '../limits/SharedRetryBudget.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import { PeerTable, type Peer } from './PeerTable.js';
import type { PeerIdentity, PeerDigest, PeerPort, WorkReport } from './Types.js';
import { WorkAggregator } from './WorkAggregator.js';

export interface PeerSharingDependencies {
  readonly clock: Clock;
  readonly port: PeerPort;
  readonly self: PeerIdentity;
  readonly seeds: readonly string[];
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly decisions: DecisionLog;
  readonly isLeaving: () => boolean;
  /** Time since the store last answered this instance, in milliseconds. */
  readonly storeAgeMs: () => number;
  /** Returns this instance's requests and retries in the last window. */
  readonly retryUse: () => RetryUse[];
}

/**
 * Interval between digests, in milliseconds. Servers' own reports are about as old, so that a shorter
 * interval would add little.
 */
const ROUND_MS = 250;

/** Interval between digests until the first configuration is known, in milliseconds. */
const INITIAL_ROUND_MS = 40;

/** While no peer is known, seeds receive a digest once in this many rounds. */
const ROUNDS_PER_SEED_DIGEST = 3;

/** Digests list the known peers once in this many rounds. */
const ROUNDS_PER_PEER_LIST = 16;

/** A server's change is included in digests for this time, in milliseconds. */
const RECENT_CHANGE_MS = 4000;

/**
 * Returns a server's entry with its current state: a removed entry is relayed as that of a leaving server.
 */
function withCurrentState({ record, leaving, revision }: KnownServer): BackendServer {
  return leaving === record.leaving && revision === record.revision
    ? record
    : { ...record, leaving, revision };
}

export class PeerSharing {
  private readonly table: PeerTable;

  private readonly work: WorkAggregator;

  private reportedInstances = 0;

  private peerRetries: readonly RetryUse[] = [];

  /** Time of the last change of each server that changed recently. */
  private readonly recentChanges = new Map<string, number>();

  private round = 0;

  private timer: Disposable | undefined;

  private readonly subscription: Disposable;

  public constructor(private readonly dependencies: PeerSharingDependencies) {
    this.table = new PeerTable(dependencies.self);
    this.work = new WorkAggregator(dependencies.load, dependencies.retryUse);
    this.subscription = dependencies.directory.onChange((server) => {
      this.recentChanges.set(server.record.id, dependencies.clock.now());
    });
  }

  /** Number of instances whose work is counted, including this one. */
  public get liveInstances(): number {
    return this.reportedInstances + 1;
  }

  /** Number of known instances, live or not, including this one. */
  public get knownInstances(): number {
    return this.table.size;
  }

  /** Whether this instance is the hub of its failure domain. */
  public get isHub(): boolean {
    return this.table.localHub(this.dependencies.clock.now()) === undefined;
  }

  /** Time since the store last answered a peer, as reported by peers, in milliseconds. */
  public get peerStoreAgeMs(): number {
    return this.dependencies.clock.now() - this.table.storeAnsweredAt;
  }

  /** Returns the requests and retries of all other instances for a service, as reported by peers. */
  public peerRetryUse(service: string): PeerRetryUse {
    const use = this.peerRetries.find((known) => known.service === service);
    const { requests = 0, retries = 0 } = use ?? {};
    return { instances: this.reportedInstances, requests, retries };
  }

  public start(): void {
    this.runRound();
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
    this.subscription.dispose();
  }

  /** Adds a peer from the store; the address in the store is the newest one. */
  public addPeer(identity: PeerIdentity): void {
    this.table.add(identity, true);
  }

  /**
   * Applies a peer's digest.
   * @returns the digest of this instance in reply
   */
  public receiveDigest(digest: PeerDigest): PeerDigest {
    this.applyDigest(digest);
    const peer = this.table.get(digest.from.instance);
    const { from } = digest;
    const work =
      from.failureDomain === this.dependencies.self.failureDomain
        ? this.work.workExcept(from.instance)
        : this.work.domainWork();
    return this.digestFor(peer, work);
  }

  private runRound(): void {
    const now = this.dependencies.clock.now();
    this.expireRecentChanges(now);
    this.updateTotals(now);
    const hub = this.table.localHub(now);
    if (hub !== undefined) this.sendDigest(hub, this.work.ownWork());
    else this.sendToRemoteHubs(now);
    if (this.table.size === 1 && this.round % ROUNDS_PER_SEED_DIGEST === 0) this.sendToSeeds();
    this.round += 1;
    const hasNoConfiguration = this.dependencies.deployments.currentTable === undefined;
    const waitMs = hasNoConfiguration ? INITIAL_ROUND_MS : ROUND_MS;
    this.timer = this.dependencies.clock.schedule(waitMs, () => this.runRound());
  }

  private sendToRemoteHubs(now: number): void {
    const work = this.work.domainWork();
    for (const domain of this.table.remoteDomains()) {
      const hub = this.table.hubOf(domain, now);
      if (hub !== undefined) this.sendDigest(hub, work);
    }
  }

  private updateTotals(now: number): void {
    const { instances, work, retries } = this.work.totalOfPeers(now);
    this.reportedInstances = instances;
    this.peerRetries = retries;
    this.dependencies.load.setPeerWork(work);
  }

  private async sendDigest(peer: Peer, work: WorkReport): Promise<void> {
    if (peer.pendingSince !== undefined) return;
    const { clock, port } = this.dependencies;
    peer.pendingSince = clock.now();
    const wasLive = this.table.isLive(peer, peer.pendingSince);
    try {
      this.applyDigest(await port.send(peer.identity.address, this.digestFor(peer, work)));
    } catch (error) {
      this.table.avoid(peer, clock.now());
      if (wasLive) this.recordPeerEvent('peer-lost', peer, (error as Error).message);
    } finally {
      peer.pendingSince = undefined;
    }
  }

  private sendToSeeds(): void {
    for (const seed of this.dependencies.seeds) {
      if (seed !== this.dependencies.self.address) this.sendToSeed(seed);
    }
  }

  private async sendToSeed(seed: string): Promise<void> {
    try {
      this.applyDigest(
        await this.dependencies.port.send(seed, this.digestFor(undefined, this.work.ownWork())),
      );
    } catch (error) {
      this.dependencies.decisions.record('seed-lost', { seed, error: (error as Error).message });
    }
  }

  /** Applies a digest, or the reply to one. */
  private applyDigest(digest: PeerDigest): void {
    const { deployments, decisions } = this.dependencies;
    this.applySender(digest);
    for (const identity of digest.peers) this.table.add(identity, false);
    for (const entry of digest.records) this.applyServer(entry, digest.from);
    if (digest.deployment === undefined || !deployments.applyIfNewer(digest.deployment)) return;
    decisions.record('configuration', {
      ticket: digest.deployment.ticket,
      from: digest.from.instance,
    });
  }

  private applyServer(entry: BackendServer, from: PeerIdentity): void {
    const { directory, decisions } = this.dependencies;
    if (!directory.put(entry)) return;
    decisions.record('server', {
      server: entry.id,
      revision: entry.revision,
      leaving: entry.leaving,
      from: entry.span?.from,
      to: entry.span?.to,
      heardFrom: from.instance,
    });
  }

  private applySender({ from, leaving, ticket, revision, storeAgeMs, work }: PeerDigest): void {
    const now = this.dependencies.clock.now();
    if (from.instance === this.dependencies.self.instance) return;
    const known = this.table.get(from.instance);
    // An earlier process of the same instance is ignored. A new process with a lower incarnation, after its
    // clock went back, is accepted once the earlier one is silent.
    const isOld = known !== undefined && from.incarnation < known.identity.incarnation;
    if (isOld && this.table.isLive(known, now)) return;
    this.table.add(from, true);
    const peer = this.table.get(from.instance) as Peer;
    const wasLive = this.table.isLive(peer, now);
    peer.lastDigestAt = now;
    peer.ticket = ticket;
    peer.revision = revision;
    peer.storeAnsweredAt = now - (storeAgeMs ?? Infinity);
    if (leaving) this.table.avoid(peer, now);
    else if (!wasLive) this.recordPeerEvent('peer', peer);
    this.work.put(from, work, now);
  }

  private digestFor(peer: Peer | undefined, work: WorkReport): PeerDigest {
    const { deployments, directory, self, isLeaving } = this.dependencies;
    const { currentTable: current } = deployments;
    const isBehind = peer !== undefined && peer.ticket < deployments.ticket;
    const knowsNone = peer !== undefined && peer.revision === 0;
    const storeAgeMs = Math.round(Math.min(this.dependencies.storeAgeMs(), this.peerStoreAgeMs));
    return {
      from: self,
      leaving: isLeaving(),
      ticket: deployments.ticket,
      revision: directory.revision,
      work,
      records: this.entriesSince(peer?.revision ?? Infinity),
      peers: knowsNone || this.round % ROUNDS_PER_PEER_LIST === 0 ? this.table.identities() : [],
      ...(Number.isFinite(storeAgeMs) && { storeAgeMs }),
      ...(isBehind && current !== undefined && { deployment: current.deployment }),
    };
  }

  /** Returns the entries that changed recently, or after a revision. */
  private entriesSince(revision: number): BackendServer[] {
    const entries: BackendServer[] = [];
    for (const server of this.dependencies.directory.all()) {
      // It is not yet known whether a missing server is gone or will return.
      if (server.missingSince !== undefined && !server.leaving) continue;
      const isUnseen = server.revision > revision;
      if (isUnseen || this.recentChanges.has(server.record.id))
        entries.push(withCurrentState(server));
    }
    return entries;
  }

  private expireRecentChanges(now: number): void {
    for (const [id, at] of this.recentChanges)
      if (now - at > RECENT_CHANGE_MS) this.recentChanges.delete(id);
  }

  private recordPeerEvent(event: string, peer: Peer, error?: string): void {
    const { instance, address, failureDomain } = peer.identity;
    this.dependencies.decisions.record(event, {
      peer: instance,
      address,
      domain: failureDomain,
      ticket: peer.ticket,
      error,
    });
  }
}
