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
const FIRST_ROUND_MS = 40;

/** Seeds are told in each n-th round while no peer is known. */
const SEED_ROUNDS = 3;

/** Digests name the known peers in each n-th round. */
const PEER_ROUNDS = 16;

/** Changes of servers are passed on for this time, in milliseconds. */
const NEWS_MS = 4000;

/** A server's entry with what is known beyond it: a removed entry says that the server leaves. */
function asBelieved({ record, leaving, revision }: KnownServer): BackendServer {
  return leaving === record.leaving && revision === record.revision
    ? record
    : { ...record, leaving, revision };
}

export class PeerSharing {
  private readonly table: PeerTable;

  private readonly accounts: WorkAggregator;

  private counted = 0;

  private othersRetries: readonly RetryUse[] = [];

  /** When a server last changed, while that is news. */
  private readonly news = new Map<string, number>();

  private round = 0;

  private timer: Disposable | undefined;

  private readonly subscription: Disposable;

  public constructor(private readonly parts: PeerSharingDependencies) {
    this.table = new PeerTable(parts.self);
    this.accounts = new WorkAggregator(parts.load, parts.retryUse);
    this.subscription = parts.directory.onChange((server) => {
      this.news.set(server.record.id, parts.clock.now());
    });
  }

  /** Instances whose work is counted, this one included. */
  public get liveInstances(): number {
    return this.counted + 1;
  }

  /** Instances heard of, live or not, this one included. */
  public get knownInstances(): number {
    return this.table.size;
  }

  /** Whether this instance is the hub of its failure domain. */
  public get isHub(): boolean {
    return this.table.homeHub(this.parts.clock.now()) === undefined;
  }

  /** Time since the store last answered a peer, as far as heard, in milliseconds. */
  public get peerStoreAgeMs(): number {
    return this.parts.clock.now() - this.table.storeHeardAt;
  }

  /** Requests and retries of all other instances for a service, as far as heard. */
  public peerRetryUse(service: string): PeerRetryUse {
    const use = this.othersRetries.find((known) => known.service === service);
    const { requests = 0, retries = 0 } = use ?? {};
    return { instances: this.counted, requests, retries };
  }

  public start(): void {
    this.tick();
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
    this.subscription.dispose();
  }

  /** Learns of a peer from the store, whose entry is its newest. */
  public addPeer(address: PeerAddress): void {
    this.table.meet(address, true);
  }

  /** Takes in a peer's digest. @returns what this instance tells it */
  public receiveDigest(digest: PeerDigest): PeerDigest {
    this.learn(digest);
    const peer = this.table.get(digest.from.instance);
    const { from } = digest;
    const work =
      from.failureDomain === this.parts.self.failureDomain
        ? this.accounts.workForAllBut(from.instance)
        : this.accounts.workOfDomain();
    return this.digestFor(peer, work);
  }

  private tick(): void {
    const now = this.parts.clock.now();
    this.forgetNews(now);
    this.count(now);
    const hub = this.table.homeHub(now);
    if (hub !== undefined) this.tell(hub, this.accounts.ownWork());
    else this.tellOtherDomains(now);
    if (this.table.size === 1 && this.round % SEED_ROUNDS === 0) this.tellSeeds();
    this.round += 1;
    const isNew = this.parts.deployments.current === undefined;
    const waitMs = isNew ? FIRST_ROUND_MS : ROUND_MS;
    this.timer = this.parts.clock.schedule(waitMs, () => this.tick());
  }

  private tellOtherDomains(now: number): void {
    const work = this.accounts.workOfDomain();
    for (const domain of this.table.otherDomains()) {
      const hub = this.table.hubOf(domain, now);
      if (hub !== undefined) this.tell(hub, work);
    }
  }

  private count(now: number): void {
    const { instances, work, retries } = this.accounts.count(now);
    this.counted = instances;
    this.othersRetries = retries;
    this.parts.load.setPeerWork(work);
  }

  private async tell(peer: Peer, work: WorkReport): Promise<void> {
    if (peer.askedAt !== undefined) return;
    const { clock, port } = this.parts;
    peer.askedAt = clock.now();
    const wasAlive = this.table.isAlive(peer, peer.askedAt);
    try {
      this.learn(await port.send(peer.address.address, this.digestFor(peer, work)));
    } catch (error) {
      this.table.distrust(peer, clock.now());
      if (wasAlive) this.note('peer-lost', peer, (error as Error).message);
    } finally {
      peer.askedAt = undefined;
    }
  }

  private tellSeeds(): void {
    for (const seed of this.parts.seeds) {
      if (seed !== this.parts.self.address) this.tellSeed(seed);
    }
  }

  private async tellSeed(seed: string): Promise<void> {
    try {
      this.learn(
        await this.parts.port.send(seed, this.digestFor(undefined, this.accounts.ownWork())),
      );
    } catch (error) {
      this.parts.decisions.record('seed-lost', { seed, error: (error as Error).message });
    }
  }

  /** Takes in what a digest, or the answer to one, says. */
  private learn(digest: PeerDigest): void {
    const { deployments, decisions } = this.parts;
    this.hear(digest);
    for (const address of digest.peers) this.table.meet(address, false);
    for (const record of digest.records) this.learnServer(record, digest.from);
    if (digest.deployment === undefined || !deployments.applyIfNewer(digest.deployment)) return;
    decisions.record('configuration', {
      ticket: digest.deployment.ticket,
      from: digest.from.instance,
    });
  }

  private learnServer(record: BackendServer, from: PeerAddress): void {
    const { directory, decisions } = this.parts;
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

  private hear({ from, leaving, ticket, revision, storeAgeMs, work }: PeerDigest): void {
    const now = this.parts.clock.now();
    if (from.instance === this.parts.self.instance) return;
    const known = this.table.get(from.instance);
    // An older process of the same instance; one whose clock went back is heard once that is silent.
    const isOld = known !== undefined && from.incarnation < known.address.incarnation;
    if (isOld && this.table.isAlive(known, now)) return;
    this.table.meet(from, true);
    const peer = this.table.get(from.instance) as Peer;
    const wasAlive = this.table.isAlive(peer, now);
    peer.heardAt = now;
    peer.ticket = ticket;
    peer.revision = revision;
    peer.storeHeardAt = now - (storeAgeMs ?? Infinity);
    if (leaving) this.table.distrust(peer, now);
    else if (!wasAlive) this.note('peer', peer);
    this.accounts.put(from, work, now);
  }

  private digestFor(peer: Peer | undefined, work: WorkReport): PeerDigest {
    const { deployments, directory, self, isLeaving } = this.parts;
    const table = deployments.current;
    const isBehind = peer !== undefined && peer.ticket < deployments.ticket;
    const knowsNone = peer !== undefined && peer.revision === 0;
    const storeAgeMs = Math.round(Math.min(this.parts.storeAgeMs(), this.peerStoreAgeMs));
    return {
      from: self,
      leaving: isLeaving(),
      ticket: deployments.ticket,
      revision: directory.revision,
      work,
      records: this.recordsSince(peer?.revision ?? Infinity),
      peers: knowsNone || this.round % PEER_ROUNDS === 0 ? this.table.addresses() : [],
      ...(Number.isFinite(storeAgeMs) && { storeAgeMs }),
      ...(isBehind && table !== undefined && { deployment: table.deployment }),
    };
  }

  /** Entries that changed lately, or after a revision. */
  private recordsSince(revision: number): BackendServer[] {
    const records: BackendServer[] = [];
    for (const server of this.parts.directory.all()) {
      // Whether a missing server is gone or returns is not known yet.
      if (server.missingSince !== undefined && !server.leaving) continue;
      const isMissed = server.revision > revision;
      if (isMissed || this.news.has(server.record.id)) records.push(asBelieved(server));
    }
    return records;
  }

  private forgetNews(now: number): void {
    for (const [id, at] of this.news) if (now - at > NEWS_MS) this.news.delete(id);
  }

  private note(event: string, peer: Peer, error?: string): void {
    const { instance, address, failureDomain } = peer.address;
    this.parts.decisions.record(event, {
      peer: instance,
      address,
      domain: failureDomain,
      ticket: peer.ticket,
      error,
    });
  }
}
