/**
 * Tells peers of this instance's work at the servers, and passes on what the store said.
 *
 * One instance of each failure domain is its hub: the others exchange digests with it alone, and it
 * with its like elsewhere. An instance thus has a few exchanges a second in a fleet of any size. When it
 * falls silent, the next one by name takes its place.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { BackendServer } from '../deployment/Types.js';
import type { PeerRetryUse, RetryUse } from '../limits/SharedRetryBudget.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import { PeerTable, type Peer } from './PeerTable.js';
import type { PeerAddress, PeerDigest, PeerPort, WorkReport } from './Types.js';
import { WorkAggregator } from './WorkAggregator.js';

export interface PeerSharingDependencies {
  readonly clock: Clock;
  readonly port: PeerPort;
  readonly self: PeerAddress;
  readonly seeds: readonly string[];
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly decisions: DecisionLog;
  readonly isLeaving: () => boolean;
  /** Time since the store last answered this instance, in milliseconds. */
  readonly storeAgeMs: () => number;
  /** This instance's requests and retries of the last window. */
  readonly retryUse: () => RetryUse[];
}

/** Time between digests, in milliseconds: servers' own reports are as old. */
const ROUND_MS = 250;

/** The same until the first configuration is known, in milliseconds. */
const INITIAL_ROUND_MS = 40;

/** Seeds are told in each n-th round while no peer is known. */
const ROUNDS_PER_SEED_DIGEST = 3;

/** Digests name the known peers in each n-th round. */
const ROUNDS_PER_PEER_LIST = 16;

/** Changes of servers are passed on for this time, in milliseconds. */
const RECENT_CHANGE_MS = 4000;

/** A server's entry with what is known beyond it: a removed entry says that the server leaves. */
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

  /** When a server last changed, while that is news. */
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

  /** Instances whose work is counted, this one included. */
  public get liveInstances(): number {
    return this.reportedInstances + 1;
  }

  /** Instances heard of, live or not, this one included. */
  public get knownInstances(): number {
    return this.table.size;
  }

  /** Whether this instance is the hub of its failure domain. */
  public get isHub(): boolean {
    return this.table.localHub(this.dependencies.clock.now()) === undefined;
  }

  /** Time since the store last answered a peer, as far as heard, in milliseconds. */
  public get peerStoreAgeMs(): number {
    return this.dependencies.clock.now() - this.table.storeAnsweredAt;
  }

  /** Requests and retries of all other instances for a service, as far as heard. */
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

  /** Learns of a peer from the store, whose entry is its newest. */
  public addPeer(address: PeerAddress): void {
    this.table.add(address, true);
  }

  /** Takes in a peer's digest. @returns what this instance tells it */
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
    const isNew = this.dependencies.deployments.current === undefined;
    const waitMs = isNew ? INITIAL_ROUND_MS : ROUND_MS;
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
    const wasAlive = this.table.isAlive(peer, peer.pendingSince);
    try {
      this.applyDigest(await port.send(peer.address.address, this.digestFor(peer, work)));
    } catch (error) {
      this.table.avoid(peer, clock.now());
      if (wasAlive) this.recordPeerEvent('peer-lost', peer, (error as Error).message);
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

  /** Takes in what a digest, or the answer to one, says. */
  private applyDigest(digest: PeerDigest): void {
    const { deployments, decisions } = this.dependencies;
    this.applySender(digest);
    for (const address of digest.peers) this.table.add(address, false);
    for (const record of digest.records) this.applyServer(record, digest.from);
    if (digest.deployment === undefined || !deployments.applyIfNewer(digest.deployment)) return;
    decisions.record('configuration', {
      ticket: digest.deployment.ticket,
      from: digest.from.instance,
    });
  }

  private applyServer(record: BackendServer, from: PeerAddress): void {
    const { directory, decisions } = this.dependencies;
    if (!directory.put(record)) return;
    decisions.record('server', {
      server: record.id,
      revision: record.revision,
      leaving: record.leaving,
      from: record.span?.from,
      to: record.span?.to,
      heardFrom: from.instance,
    });
  }

  private applySender({ from, leaving, ticket, revision, storeAgeMs, work }: PeerDigest): void {
    const now = this.dependencies.clock.now();
    if (from.instance === this.dependencies.self.instance) return;
    const known = this.table.get(from.instance);
    // An older process of the same instance; one whose clock went back is heard once that is silent.
    const isOld = known !== undefined && from.incarnation < known.address.incarnation;
    if (isOld && this.table.isAlive(known, now)) return;
    this.table.add(from, true);
    const peer = this.table.get(from.instance) as Peer;
    const wasAlive = this.table.isAlive(peer, now);
    peer.lastDigestAt = now;
    peer.ticket = ticket;
    peer.revision = revision;
    peer.storeAnsweredAt = now - (storeAgeMs ?? Infinity);
    if (leaving) this.table.avoid(peer, now);
    else if (!wasAlive) this.recordPeerEvent('peer', peer);
    this.work.put(from, work, now);
  }

  private digestFor(peer: Peer | undefined, work: WorkReport): PeerDigest {
    const { deployments, directory, self, isLeaving } = this.dependencies;
    const table = deployments.current;
    const isBehind = peer !== undefined && peer.ticket < deployments.ticket;
    const knowsNone = peer !== undefined && peer.revision === 0;
    const storeAgeMs = Math.round(Math.min(this.dependencies.storeAgeMs(), this.peerStoreAgeMs));
    return {
      from: self,
      leaving: isLeaving(),
      ticket: deployments.ticket,
      revision: directory.revision,
      work,
      records: this.recordsSince(peer?.revision ?? Infinity),
      peers: knowsNone || this.round % ROUNDS_PER_PEER_LIST === 0 ? this.table.addresses() : [],
      ...(Number.isFinite(storeAgeMs) && { storeAgeMs }),
      ...(isBehind && table !== undefined && { deployment: table.deployment }),
    };
  }

  /** Entries that changed lately, or after a revision. */
  private recordsSince(revision: number): BackendServer[] {
    const records: BackendServer[] = [];
    for (const server of this.dependencies.directory.all()) {
      // Whether a missing server is gone or returns is not known yet.
      if (server.missingSince !== undefined && !server.leaving) continue;
      const isUnseen = server.revision > revision;
      if (isUnseen || this.recentChanges.has(server.record.id))
        records.push(withCurrentState(server));
    }
    return records;
  }

  private expireRecentChanges(now: number): void {
    for (const [id, at] of this.recentChanges)
      if (now - at > RECENT_CHANGE_MS) this.recentChanges.delete(id);
  }

  private recordPeerEvent(event: string, peer: Peer, error?: string): void {
    const { instance, address, failureDomain } = peer.address;
    this.dependencies.decisions.record(event, {
      peer: instance,
      address,
      domain: failureDomain,
      ticket: peer.ticket,
      error,
    });
  }
}
