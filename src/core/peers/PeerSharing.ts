/**
 * Shares this instance's outstanding work with its peers, and relays what instances read from the store.
 * Digests state which configuration is in force; an instance that has an older one fetches it apart from
 * them, so that a large configuration delays no digest.
 *
 * One instance of each failure domain is its hub. The other instances exchange digests only with their hub,
 * and the hubs exchange digests with each other, so that each instance sends only a few digests per second in
 * a fleet of any size. When a hub stops answering, the instance whose machine can carry most of
 * the others becomes the hub.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { Deployments } from '../deployment/Deployments.js';
import { applyUpdate } from '../deployment/DeploymentUpdate.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { BackendServer } from '../deployment/Types.js';
import type { ServerLimits } from '../limits/ServerLimits.js';
import type { PeerRetryUse, RetryUse } from '../limits/SharedRetryBudget.js';
import type { ServerPace } from '../pace/ServerPace.js';
import type { ProbationTurn, Quarantine } from '../quarantine/Types.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import type { ServerSlowness } from '../routing/ServerSlowness.js';
import { Activity, type ActivityTimer } from '../standstill/StallMonitor.js';
import { describeRevision } from '../store/Revision.js';
import { ChangeSequence, type PeerProcess } from './ChangeSequence.js';
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
  readonly serverLimits: ServerLimits;
  readonly pace: ServerPace;
  readonly slowness: ServerSlowness;
  readonly quarantine: Quarantine;
  readonly decisions: DecisionLog;
  readonly activityTimer: ActivityTimer;
  readonly isLeaving: () => boolean;
  /** Whether this instance has everything that must be known before the first request. */
  readonly isPrepared: () => boolean;
  /** Time since the store last confirmed what this instance read from it, in milliseconds. */
  readonly storeAgeMs: () => number;
  /** Returns this instance's requests and retries in the last window. */
  readonly retryUse: () => RetryUse[];
}

/**
 * Interval between digests, in milliseconds. Servers' own reports are about as old, so that a shorter
 * interval would add little.
 */
const ROUND_MS = 250;

/** Delay of a digest that does not wait for the next round, in milliseconds; it collects further crashes. */
const EARLY_DIGEST_MS = 20;

/** Interval between digests until the first configuration is known, in milliseconds. */
const INITIAL_ROUND_MS = 40;

/** While no peer is known, seeds receive a digest once in this many rounds. */
const ROUNDS_PER_SEED_DIGEST = 3;

/** Digests list the known peers once in this many rounds. */
const ROUNDS_PER_PEER_LIST = 16;

/** Whether a server is in the state that its entry shows. */
function isAsRecorded({ record, leaving, revision }: KnownServer): boolean {
  return leaving === record.leaving && revision === record.revision;
}

/**
 * Returns a server's entry with its current state: a removed entry is relayed as that of a leaving server.
 */
function withCurrentState(server: KnownServer): BackendServer {
  const { record, leaving, revision } = server;
  return isAsRecorded(server) ? record : { ...record, leaving, revision };
}

export class PeerSharing {
  private readonly table: PeerTable;

  private readonly work: WorkAggregator;

  private reportedInstances = 0;

  /** Mean time at which the reports arrived that the work of peers was last added up from. */
  private reportedAt = -Infinity;

  private peerRetries: readonly RetryUse[] = [];

  private readonly serverChanges = new ChangeSequence();

  /** Process of the peer whose server entries are being applied. */
  private changeSource: PeerProcess | undefined;

  /** Time at which everything known here was the newest in the store, as confirmed by peers. */
  private confirmedAt = -Infinity;

  /** Time of the last exchange with a peer that knew nothing newer. */
  private exchangedAt = -Infinity;

  private isFetching = false;

  private preparedByPeer = false;

  private round = 0;

  private timer: Disposable | undefined;

  private earlyTimer: Disposable | undefined;

  private readonly subscriptions: readonly Disposable[];

  public constructor(private readonly dependencies: PeerSharingDependencies) {
    this.table = new PeerTable(dependencies.self);
    this.work = new WorkAggregator(dependencies.load, dependencies.retryUse);
    this.subscriptions = [
      dependencies.directory.onChange((server) =>
        // A peer whose entry is outdated here is told so.
        this.serverChanges.record(server, isAsRecorded(server) ? this.changeSource : undefined),
      ),
      dependencies.quarantine.onCrash(() => this.scheduleEarlyDigest()),
    ];
  }

  /** Whether a peer that may accept requests has told what it knows of crashes and limits. */
  public get isPreparedByPeer(): boolean {
    return this.preparedByPeer;
  }

  /** Number of instances whose work is counted, including this one. */
  public get liveInstances(): number {
    return this.reportedInstances + 1;
  }

  /** Number of known instances, live or not, including this one. */
  public get knownInstances(): number {
    return this.table.size;
  }

  /** Place of this instance by name among all known instances. */
  public get probationTurn(): ProbationTurn {
    const { instance } = this.dependencies.self;
    let rank = 0;
    for (const identity of this.table.identities()) if (identity.instance < instance) rank += 1;
    return { rank, instances: this.table.size };
  }

  /** Whether this instance is the hub of its failure domain. */
  public get isHub(): boolean {
    return this.table.localHub(this.dependencies.clock.now()) === undefined;
  }

  /** Identities of the live instances of the local failure domain, with this one, if this instance is its hub. */
  public get entrustedInstances(): PeerIdentity[] {
    const { self, clock } = this.dependencies;
    return this.isHub ? [self, ...this.table.liveInstances(self.failureDomain, clock.now())] : [];
  }

  /**
   * Time since peers last confirmed that the store has nothing newer than what is known here, in
   * milliseconds: at least the time since the store answered the peer.
   */
  public get peerStoreAgeMs(): number {
    return this.dependencies.clock.now() - this.confirmedAt;
  }

  /** Time since the last exchange with a peer that knew nothing newer, in milliseconds. */
  public get exchangeAgeMs(): number {
    return this.dependencies.clock.now() - this.exchangedAt;
  }

  /**
   * Mean age of the peers' work as it is counted here, in milliseconds. A hub relays it half a round after its
   * arrival on average.
   */
  public get workAgeMs(): number {
    return this.dependencies.clock.now() - this.reportedAt + ROUND_MS / 2;
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
    this.earlyTimer?.dispose();
    for (const subscription of this.subscriptions) subscription.dispose();
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
    const { from } = digest;
    const peer = this.table.get(from.instance);
    const work =
      from.failureDomain === this.dependencies.self.failureDomain
        ? this.work.workExcept(from.instance)
        : this.work.domainWork();
    return this.digestFor(peer, work);
  }

  /**
   * Asks the hubs what has changed, whatever digests are open, and applies the first answers.
   * @throws AggregateError if none answers
   */
  public async ask(): Promise<void> {
    const { port, self } = this.dependencies;
    const asked = this.table.informants().map(async (peer) => {
      const isLocal = peer.identity.failureDomain === self.failureDomain;
      const work = isLocal ? this.work.ownWork() : this.work.domainWork();
      this.applyDigest(await port.send(peer.identity.address, this.digestFor(peer, work)));
    });
    await Promise.any(asked);
  }

  private runRound(): void {
    const now = this.dependencies.clock.now();
    this.updateTotals(now);
    this.sendDigests(now);
    if (this.table.size === 1 && this.round % ROUNDS_PER_SEED_DIGEST === 0) this.sendToSeeds();
    this.round += 1;
    const hasNoConfiguration = this.dependencies.deployments.currentTable === undefined;
    const waitMs = hasNoConfiguration ? INITIAL_ROUND_MS : ROUND_MS;
    this.timer = this.dependencies.clock.schedule(waitMs, () => this.runRound());
  }

  private sendDigests(now: number): void {
    const hub = this.table.localHub(now);
    if (hub !== undefined) this.sendDigest(hub, this.work.ownWork());
    else this.sendToRemoteHubs(now);
  }

  /** Sends digests before the next round is due: more servers may crash until peers know of a crash. */
  private scheduleEarlyDigest(): void {
    this.earlyTimer ??= this.dependencies.clock.schedule(EARLY_DIGEST_MS, () => {
      this.earlyTimer = undefined;
      this.sendDigests(this.dependencies.clock.now());
    });
  }

  private sendToRemoteHubs(now: number): void {
    const work = this.work.domainWork();
    for (const domain of this.table.remoteDomains()) {
      const hub = this.table.hubOf(domain, now);
      if (hub !== undefined) this.sendDigest(hub, work);
    }
  }

  private updateTotals(now: number): void {
    const { instances, work, retries, ageMs } = this.work.totalOfPeers(now);
    this.reportedInstances = instances;
    this.reportedAt = now - ageMs;
    this.peerRetries = retries;
    this.dependencies.load.setPeerWork(work);
  }

  private async sendDigest(peer: Peer, work: WorkReport): Promise<void> {
    if (peer.pendingSince !== undefined) return;
    const { clock, port, self } = this.dependencies;
    peer.pendingSince = clock.now();
    const wasLive = this.table.isLive(peer, peer.pendingSince);
    const sentAt = peer.pendingSince;
    try {
      const reply = await port.send(peer.identity.address, this.digestFor(peer, work));
      this.applyDigest(reply);
      this.confirm(reply, sentAt);
    } catch (error) {
      this.table.avoid(peer, clock.now());
      if (wasLive) this.recordPeerEvent('peer-lost', peer, (error as Error).message);
      // The next hub is asked at once: when many instances end together, several in a row may be lost.
      if (peer.identity.failureDomain === self.failureDomain) this.scheduleEarlyDigest();
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
    const { from, peers, records, ticket } = digest;
    this.applySender(digest);
    for (const identity of peers) this.table.add(identity, false);
    this.changeSource = from;
    try {
      for (const entry of records) this.applyServer(entry, from);
    } finally {
      this.changeSource = undefined;
    }
    if (digest.serverLimits !== undefined)
      this.dependencies.serverLimits.merge(digest.serverLimits, from.instance);
    if (digest.pace !== undefined) this.dependencies.pace.merge(digest.pace, from.instance);
    if (digest.slowServers !== undefined)
      this.dependencies.slowness.merge(digest.slowServers, from.instance);
    if (digest.evidence !== undefined)
      this.dependencies.quarantine.merge(digest.evidence, from.instance);
    this.preparedByPeer ||= digest.isPrepared === true;
    const peer = this.table.get(from.instance);
    if (peer !== undefined && ticket > this.dependencies.deployments.ticket) this.fetchFrom(peer);
  }

  /**
   * Notes that a peer knows nothing newer. The age counts from when the digest was sent, although the peer
   * stated it later: time on the way can make the confirmation look older, but never more recent.
   */
  private confirm({ ticket, storeAgeMs }: PeerDigest, sentAt: number): void {
    if (storeAgeMs === undefined || ticket > this.dependencies.deployments.ticket) return;
    this.confirmedAt = Math.max(this.confirmedAt, sentAt - storeAgeMs);
    this.exchangedAt = this.dependencies.clock.now();
  }

  /** Fetches a newer configuration. After a failure, the next digest of any peer that has it tries again. */
  private async fetchFrom(peer: Peer): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    const { deployments, decisions, clock, port, activityTimer } = this.dependencies;
    const { instance, address } = peer.identity;
    const since = deployments.ticket;
    const startedAt = clock.now();
    try {
      const { update, bytes } = await port.fetchUpdate(address, since);
      const ticket = update?.ticket;
      const applied = activityTimer.time(Activity.ApplyConfiguration, { ticket, bytes }, () => {
        const known = deployments.currentTable?.deployment;
        const deployment = update && applyUpdate(known, update);
        return deployment && deployments.applyIfNewer(deployment) ? deployment : undefined;
      });
      const deployment = applied.value;
      if (deployment === undefined) return;
      decisions.record('configuration', {
        ticket,
        from: instance,
        base: update?.base,
        bytes,
        routes: deployment.routes.length,
        applyMs: applied.ms,
        ms: Math.round(clock.now() - startedAt),
      });
    } catch (error) {
      const { message } = error as Error;
      decisions.record('configuration-missed', { since, from: instance, error: message });
    } finally {
      this.isFetching = false;
    }
  }

  private applyServer(entry: BackendServer, from: PeerIdentity): void {
    const { directory, decisions } = this.dependencies;
    if (!directory.put(entry)) return;
    decisions.record('server', {
      server: entry.id,
      revision: describeRevision(entry.revision),
      leaving: entry.leaving,
      from: entry.span?.from,
      to: entry.span?.to,
      heardFrom: from.instance,
    });
  }

  private applySender({ from, leaving, ticket, changes, applied, work }: PeerDigest): void {
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
    peer.acknowledged = applied;
    this.advanceApplied(peer, from.incarnation, changes);
    if (leaving) this.table.avoid(peer, now);
    else if (!wasLive) this.recordPeerEvent('peer', peer);
    this.work.put(from, work, now);
  }

  /** Notes which of a peer's changes are applied here, unless some before them are missing. */
  private advanceApplied(
    peer: Peer,
    incarnation: number,
    { from, to }: PeerDigest['changes'],
  ): void {
    const { applied } = peer;
    const position = applied?.incarnation === incarnation ? applied.position : 0;
    if (from <= position && to >= position) peer.applied = { incarnation, position: to };
  }

  private digestFor(peer: Peer | undefined, work: WorkReport): PeerDigest {
    const { deployments, self, isLeaving, isPrepared } = this.dependencies;
    const isNew = peer !== undefined && peer.acknowledged === undefined;
    const storeAgeMs = Math.ceil(Math.min(this.dependencies.storeAgeMs(), this.peerStoreAgeMs));
    const serverLimits = this.dependencies.serverLimits.list();
    const pace = this.dependencies.pace.list();
    const slowServers = this.dependencies.slowness.listForPeers();
    const evidence = this.dependencies.quarantine.evidence();
    return {
      from: self,
      leaving: isLeaving(),
      ticket: deployments.ticket,
      ...(isPrepared() && { isPrepared: true }),
      work,
      ...this.changesFor(peer),
      peers: isNew || this.round % ROUNDS_PER_PEER_LIST === 0 ? this.table.identities() : [],
      ...(peer?.applied !== undefined && { applied: peer.applied }),
      ...(Number.isFinite(storeAgeMs) && { storeAgeMs }),
      ...(serverLimits.length > 0 && { serverLimits }),
      ...(pace.length > 0 && { pace }),
      ...(slowServers.length > 0 && { slowServers }),
      ...(evidence !== undefined && { evidence }),
    };
  }

  /** Returns the changed entries that a peer has not applied yet; none for one that is not known. */
  private changesFor(peer: Peer | undefined): Pick<PeerDigest, 'changes' | 'records'> {
    if (peer === undefined) return { changes: { from: 0, to: 0 }, records: [] };
    const { directory, self } = this.dependencies;
    const { acknowledged, identity } = peer;
    const from = acknowledged?.incarnation === self.incarnation ? acknowledged.position : 0;
    const records: BackendServer[] = [];
    for (const id of this.serverChanges.changedAfter(from, identity)) {
      const server = directory.get(id);
      if (server === undefined) this.serverChanges.delete(id);
      // It is not yet known whether a missing server is gone or will return.
      else if (server.missingSince === undefined || server.leaving)
        records.push(withCurrentState(server));
    }
    return { changes: { from, to: this.serverChanges.position }, records };
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
