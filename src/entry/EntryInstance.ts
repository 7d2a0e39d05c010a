/** Builds the parts of one entry instance, owns them and stops them in order. */
import { PeerClient } from '../adapters/grpc/PeerClient.js';
import { PeerServer } from '../adapters/grpc/PeerServer.js';
import { CallerServer } from '../adapters/http/CallerServer.js';
import { HttpClient } from '../adapters/http/HttpClient.js';
import { HttpEngine } from '../adapters/http/HttpEngine.js';
import { HttpPlainTransport } from '../adapters/http/HttpPlainTransport.js';
import {
  OperatorServer,
  type InstanceStatus,
  type Status,
} from '../adapters/http/OperatorServer.js';
import { PlatformClient } from '../adapters/http/PlatformClient.js';
import { logFor } from '../adapters/logs/Log.js';
import { Metrics } from '../adapters/metrics/Metrics.js';
import { ranksAmong } from '../adapters/Rendezvous.js';
import { SystemClock } from '../adapters/SystemClock.js';
import { SystemRandom } from '../adapters/SystemRandom.js';
import { ClaimDriver } from '../core/claims/ClaimDriver.js';
import { KeyedCalls, type KeyedRequest, type RunResult } from '../core/claims/KeyedCalls.js';
import { KeyMint, type KeyOrigin } from '../core/claims/KeyMint.js';
import { Gossip } from '../core/gossip/Gossip.js';
import { Peers, type KnownPeer } from '../core/gossip/Peers.js';
import { Invariants } from '../core/Invariant.js';
import { AccountLimiter } from '../core/limits/AccountLimiter.js';
import { RetryBudget } from '../core/limits/RetryBudget.js';
import { Prober } from '../core/membership/Prober.js';
import { ServerHealth, ServerMark } from '../core/membership/ServerHealth.js';
import { CompletionDesk } from '../core/requests/CompletionDesk.js';
import { PlainDesk } from '../core/requests/PlainDesk.js';
import { LoadTable } from '../core/routing/LoadTable.js';
import { PipelineRouting } from '../core/routing/PipelineRouting.js';
import { Topology } from '../core/routing/Topology.js';
import { pause } from '../core/settle/SettledWrite.js';
import { Configuration } from '../core/tickets/Configuration.js';
import { TicketCommit } from '../core/tickets/TicketCommit.js';
import { TicketFeed } from '../core/tickets/TicketFeed.js';
import { ObjectKind } from '../core/tickets/Types.js';
import type { ForwardedCall, PeerService } from '../ports/Peer.js';
import type { EntrySettings } from './Settings.js';

const INCARNATION_BYTES = 6;
const ATTEMPT_BYTES = 10;
const NONCE_BYTES = 8;

/** Longest time a lost store answer is settled before it is called unknown, in milliseconds. */
const SETTLE_LIMIT_MS = 5000;

/** Pollers of the ticket head in each failure domain. */
const POLLERS = 2;

/** Instances that probe each server of their failure domain. */
const PROBERS = 2;

/** Time between looks at what is still open while stopping, in milliseconds. */
const DRAIN_LOOK_MS = 50;

/** Hand-over attempts to the same peer before the keys are lost. */
const HAND_OVER_ATTEMPTS = 20;

/** How far a planned stop has come. */
enum Phase {
  Serving,
  /** Not ready for the balancer, but still taking what it sends. */
  Leaving,
  /** New work is refused as not run. */
  Refusing,
}

/** Addresses that the listeners were given. */
export interface EntryAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

export class EntryInstance implements PeerService {
  public readonly clock = new SystemClock();

  public readonly metrics = new Metrics();

  public readonly invariants: Invariants;

  public readonly configuration: Configuration;

  public readonly completions: CompletionDesk;

  public readonly plain: PlainDesk;

  public readonly health = new ServerHealth();

  private readonly random = new SystemRandom();

  private readonly client = new HttpClient();

  private readonly log = logFor('entry');

  private readonly peerClient: PeerClient;

  private readonly peerServer: PeerServer;

  private readonly callers: CallerServer;

  private readonly operators: OperatorServer;

  private readonly peers: Peers;

  private readonly load = new LoadTable();

  private readonly limiter = new AccountLimiter({ domains: 1, homeInstances: 1 });

  private readonly feed: TicketFeed;

  private readonly prober: Prober;

  private readonly mint: KeyMint;

  private readonly keyed: KeyedCalls;

  private readonly origin: KeyOrigin;

  private readonly platform: PlatformClient;

  private gossip: Gossip | undefined;

  private phase = Phase.Serving;

  private addresses: EntryAddresses | undefined;

  public constructor(
    private readonly settings: EntrySettings,
    strict = false,
  ) {
    const { clock, random, metrics, log } = this;
    const now = () => clock.now();
    this.invariants = new Invariants(strict, log);
    this.configuration = new Configuration(this.invariants);
    this.platform = new PlatformClient(this.client, settings.platform.address);
    this.peers = new Peers(settings.instance);
    this.origin = { instance: settings.instance, incarnation: random.id(INCARNATION_BYTES) };
    const engine = new HttpEngine(this.client);
    const topology = new Topology(this.configuration);
    const budget = new RetryBudget();
    const { configuration, load, health, limiter } = this;
    const homeDomain = settings.failureDomain;
    this.feed = new TicketFeed({
      clock,
      configuration,
      table: this.platform,
      objects: this.platform,
      isPoller: () =>
        ranksAmong(`poller/${homeDomain}`, settings.instance, this.homeInstances(), POLLERS),
      log: logFor('tickets'),
    });
    this.prober = new Prober({
      clock,
      engine,
      configuration,
      load,
      health,
      isMine: (server, domain) => this.probes(server, domain),
      log: logFor('probe'),
    });
    const routing = new PipelineRouting({
      clock,
      engine,
      configuration,
      topology,
      load,
      health,
      budget,
      homeDomain,
    });
    this.completions = new CompletionDesk({
      session: { clock, engine, routing, counters: metrics, invariants: this.invariants },
      clock,
      configuration,
      topology,
      limiter,
      budget,
      instances: () => 1 + this.peers.live(now()).length,
    });
    this.plain = new PlainDesk({
      clock,
      random,
      configuration,
      transport: new HttpPlainTransport(),
      limiter,
      budget,
      health,
      homeDomain,
      countRetry: (reason) => metrics.retry(reason),
    });
    this.peerClient = new PeerClient(settings.peers.secret);
    this.mint = new KeyMint(this.origin, () => random.id(NONCE_BYTES));
    const ports = { table: this.platform, clock };
    const holder = `${this.origin.instance}~${this.origin.incarnation}`;
    this.keyed = new KeyedCalls(
      new ClaimDriver(ports, holder, SETTLE_LIMIT_MS),
      this.mint,
      {
        isRunning: (claimHolder, attempt) => this.askHolder(claimHolder, attempt),
        forward: (origin, request) => this.forwardKeyed(origin, request),
      },
      this.origin,
      clock,
      () => random.id(ATTEMPT_BYTES),
    );
    this.callers = new CallerServer({
      clock,
      random,
      configuration,
      completions: this.completions,
      plain: this.plain,
      keyed: this.keyed,
      mint: this.mint,
      metrics,
      isReady: () => this.feed.isReady,
      isLeaving: () => this.phase !== Phase.Serving,
      isStopping: () => this.phase === Phase.Refusing,
      maxBodyBytes: settings.callers.maxBodyBytes,
    });
    this.operators = new OperatorServer({
      token: settings.operators.token,
      random,
      table: this.platform,
      configuration,
      commit: new TicketCommit(ports, () => new Date().toISOString(), SETTLE_LIMIT_MS),
      metrics,
      invariants: this.invariants,
      self: () => (this.gossip as Gossip).state(),
      status: () => this.status(),
      onAccepted: () => this.spreadTicket(),
    });
    this.peerServer = new PeerServer(this, settings.peers.secret, () =>
      log('A peer came with a wrong secret.'),
    );
    health.onMark((server, mark) => {
      log(`Server ${server} is ${mark}.`);
      if (mark === ServerMark.Leaving) this.completions.moveFrom(server);
    });
    this.addGauges();
  }

  /** Opens the listeners and begins to follow tickets and peers. */
  public async start(): Promise<EntryAddresses> {
    const { settings } = this;
    this.addresses = {
      callers: await this.callers.listen(settings.callers.address),
      operators: await this.operators.listen(settings.operators.address),
      peers: await this.peerServer.listen(settings.peers.address),
    };
    this.gossip = new Gossip({
      clock: this.clock,
      link: this.peerClient,
      list: this.platform,
      peers: this.peers,
      configuration: this.configuration,
      feed: this.feed,
      load: this.load,
      health: this.health,
      limiter: this.limiter,
      identity: {
        ...this.origin,
        failureDomain: settings.failureDomain,
        address: this.addresses.peers,
      },
      isLeaving: () => this.phase !== Phase.Serving,
      log: logFor('peers'),
    });
    this.gossip.start();
    this.feed.start();
    this.prober.start();
    this.log(`Instance ${settings.instance} listens for callers at ${this.addresses.callers}.`);
    return this.addresses;
  }

  /** Stops without cutting a request: not ready first, then no new work, then every open request ends. */
  public async stop(): Promise<void> {
    this.phase = Phase.Leaving;
    this.log('Stopping: the balancer is given time to notice.');
    await this.gossip?.broadcast();
    await pause(this.clock, this.settings.stop.balancerMs);
    this.phase = Phase.Refusing;
    this.mint.stop();
    await this.untilIdle();
    await this.handOverKeys();
    await this.dispose();
    this.log('Stopped.');
  }

  /** Whether a head that this instance holds has been confirmed. */
  public get isReady(): boolean {
    return this.feed.isReady;
  }

  /** What is still open, one line each; for a second signal. */
  public openWork(): string[] {
    return [
      `completions: ${this.completions.active}`,
      `plain calls: ${this.plain.active}`,
      `requests: ${this.callers.active}`,
      `claims to settle: ${this.keyed.unsettled}`,
    ];
  }

  /** Closes everything at once; open requests break. */
  public async dispose(): Promise<void> {
    this.gossip?.dispose();
    this.feed.dispose();
    this.prober.dispose();
    this.keyed.dispose();
    this.peerServer.close();
    this.peerClient.dispose();
    await Promise.all([this.callers.close(), this.operators.close()]);
    this.client.dispose();
  }

  public exchange(
    message: Parameters<PeerService['exchange']>[0],
  ): ReturnType<PeerService['exchange']> {
    return (this.gossip as Gossip).answer(message);
  }

  public snapshot(): ReturnType<PeerService['snapshot']> {
    return this.configuration.snapshot();
  }

  public isRunning(attempt: string): boolean {
    return this.keyed.isRunning(attempt);
  }

  public forward(call: ForwardedCall): ReturnType<PeerService['forward']> {
    return this.callers.runForwarded(call);
  }

  public handOver(keys: Parameters<PeerService['handOver']>[0]): void {
    this.mint.inherit(keys, this.clock.now());
    this.peers.inherit(keys.incarnation, this.origin.instance);
  }

  private async untilIdle(): Promise<void> {
    while (
      this.completions.active + this.plain.active + this.callers.active + this.keyed.unsettled >
      0
    ) {
      await pause(this.clock, DRAIN_LOOK_MS);
    }
  }

  /** Hands the minted keys to one peer, and to no other once the first attempt was made. */
  private async handOverKeys(): Promise<void> {
    const handed = this.mint.handOver();
    if (handed.keys.length === 0) return;
    const heir = this.peers
      .live(this.clock.now())
      .sort((a, b) => this.closeness(b) - this.closeness(a))[0];
    if (heir === undefined) return;
    for (let attempt = 0; attempt < HAND_OVER_ATTEMPTS; attempt += 1) {
      try {
        await this.peerClient.handOver(heir.address, handed);
        this.peers.inherit(this.origin.incarnation, heir.name);
        await this.gossip?.broadcast();
        return;
      } catch {
        await pause(this.clock, DRAIN_LOOK_MS);
      }
    }
    this.log(`Peer ${heir.name} did not take the minted keys; their fate is unknown to callers.`);
  }

  private closeness(peer: KnownPeer): number {
    return peer.failureDomain === this.settings.failureDomain ? 1 : 0;
  }

  private homeInstances(): string[] {
    const live = this.peers.live(this.clock.now());
    const home = live.filter((peer) => peer.failureDomain === this.settings.failureDomain);
    return [...home.map((peer) => peer.name), this.settings.instance];
  }

  private probes(server: string, domain: string): boolean {
    if (domain !== this.settings.failureDomain) return false;
    return ranksAmong(`probe/${server}`, this.settings.instance, this.homeInstances(), PROBERS);
  }

  private async askHolder(holder: string, attempt: string): Promise<boolean> {
    const [instance = '', incarnation = ''] = holder.split('~');
    if (instance === this.origin.instance)
      return incarnation === this.origin.incarnation && this.isRunning(attempt);
    const peer = this.peers.find(instance);
    if (peer === undefined) return false;
    return this.peerClient.isRunning(peer.address, attempt).catch(() => false);
  }

  private async forwardKeyed(
    origin: KeyOrigin,
    request: KeyedRequest,
  ): Promise<RunResult | undefined> {
    const heir = this.peers.heirOf(origin.incarnation);
    const peer = this.peers.find(heir ?? origin.instance);
    if (peer === undefined) return undefined;
    try {
      const result = await this.peerClient.forward(
        peer.address,
        request as KeyedRequest & ForwardedCall,
      );
      return result.answer === undefined && result.refusal === undefined ? undefined : result;
    } catch {
      return undefined;
    }
  }

  private async spreadTicket(): Promise<void> {
    await this.feed.poll();
    await this.gossip?.broadcast();
  }

  private status(): Status {
    const now = this.clock.now();
    const self = (this.gossip as Gossip).state();
    const own: InstanceStatus = { ...self, heardMsAgo: 0 };
    const others = [...this.peers.all()].map((peer) => ({
      instance: peer.name,
      failureDomain: peer.failureDomain,
      applied: peer.state?.applied ?? 0,
      ready: peer.state?.ready ?? false,
      leaving: peer.leaving,
      heardMsAgo: peer.heardAt === -Infinity ? -1 : Math.round(now - peer.heardAt),
    }));
    const servers = this.configuration.list(ObjectKind.BackendServer).map(({ name, state }) => ({
      server: name,
      failureDomain: state.failureDomain,
      mark: state.leaving ? ServerMark.Leaving : (this.health.markOf(name, now) ?? 'live'),
      busyMs: Math.round(this.load.busyMs(name, now) * 100) / 100,
    }));
    return {
      instance: self.instance,
      ticket: self.applied,
      instances: [own, ...others],
      servers,
      queues: this.completions.queueLengths(),
    };
  }

  private addGauges(): void {
    this.metrics.gauge(
      'acaciadrum_ticket',
      'Number of the ticket in force here.',
      () => this.configuration.number,
    );
    this.metrics.gauge(
      'acaciadrum_open_requests',
      'Requests in progress.',
      () => this.callers.active,
    );
    this.metrics.gauge(
      'acaciadrum_unsettled_claims',
      'Claims whose record is not final.',
      () => this.keyed.unsettled,
    );
  }
}
