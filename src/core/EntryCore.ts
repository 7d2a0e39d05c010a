/** Decision logic of one entry instance, which reaches everything outside it through ports. */
import { ClaimStore } from './claims/ClaimStore.js';
import { KeyedRequestRunner } from './claims/KeyedRequestRunner.js';
import { KeyMint, type KeyOrigin } from './claims/KeyMint.js';
import { PeerKeys } from './claims/PeerKeys.js';
import { Gossip } from './gossip/Gossip.js';
import { Peers } from './gossip/Peers.js';
import type { Invariants } from './Invariant.js';
import { LeaseKeeper } from './leases/LeaseKeeper.js';
import { AccountLimiter } from './limits/AccountLimiter.js';
import { RetryBudget } from './limits/RetryBudget.js';
import { Prober } from './membership/Prober.js';
import { ranksAmong } from './membership/Rendezvous.js';
import type { ProbationTurn } from './quarantine/Types.js';
import { ServerHealth } from './membership/ServerHealth.js';
import { REROUTE_REASONS, CompletionDispatcher } from './requests/CompletionDispatcher.js';
import { OrderDriver } from './placement/OrderDriver.js';
import { PartQuarantine } from './quarantine/PartQuarantine.js';
import { PlainDispatcher } from './requests/PlainDispatcher.js';
import type { PlainTransport } from './requests/PlainTransport.js';
import { LoadTable } from './routing/LoadTable.js';
import { PipelineRouting } from './routing/PipelineRouting.js';
import { Topology } from './routing/Topology.js';
import { pause } from './settle/SettleableWrite.js';
import type { StreamCounters } from './streams/StreamSession.js';
import { PromptQuarantine } from './streams/PromptQuarantine.js';
import type { Engine } from './streams/Types.js';
import { Configuration } from './tickets/Configuration.js';
import { TicketCommitter } from './tickets/TicketCommitter.js';
import { TicketFollower } from './tickets/TicketFollower.js';
import type { ForwardedAnswer, ForwardedCall, PeerLink, PeerService } from '../ports/Peer.js';
import type { Clock, InstanceList, ObjectStore, Random, TableService } from '../ports/Types.js';

/** Ports, counters and callbacks that an entry instance works with. */
export interface EntryCoreDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly list: InstanceList;
  readonly link: PeerLink;
  readonly engine: Engine;
  readonly transport: PlainTransport;
  readonly counters: StreamCounters;
  readonly invariants: Invariants;
  /** Wall-clock time, ISO 8601. */
  readonly wallClock: () => string;
  /** Runs a keyed request that a peer forwarded to this instance. */
  readonly runForwarded: (call: ForwardedCall) => Promise<ForwardedAnswer>;
  /** Returns the log function of a component. */
  readonly logFor: (component: string) => (message: string) => void;
}

/** Name, failure domain and stop delay of an entry instance. */
export interface EntryOptions {
  readonly instance: string;
  readonly failureDomain: string;
  /** Time for the load balancer to notice that the instance is not ready, in milliseconds. */
  readonly balancerDelayMs: number;
}

/** Phases from normal service to a planned stop, in the order in which an instance passes through them. */
export enum ServicePhase {
  /** Accepts and runs requests. */
  Serving,
  /** Reports itself as not ready, but still accepts what the load balancer sends. */
  Leaving,
  /** New work is refused as not run. */
  Refusing,
}

const INCARNATION_BYTES = 6;
const ATTEMPT_BYTES = 10;
const NONCE_BYTES = 8;

/** Time after which a write whose answer was lost is reported as unknown, in milliseconds. */
const SETTLE_TIMEOUT_MS = 5000;

/** Instances in each failure domain that poll the ticket head. */
const POLLERS_PER_DOMAIN = 2;

/** Instances that probe each server of their failure domain. */
const PROBERS_PER_SERVER = 2;

/** Interval between checks for open work during a drain, in milliseconds. */
const DRAIN_POLL_MS = 50;

export class EntryCore implements PeerService {
  public readonly configuration: Configuration;

  public readonly completions: CompletionDispatcher;

  public readonly plainCalls: PlainDispatcher;

  public readonly keyedRequests: KeyedRequestRunner;

  public readonly keyMint: KeyMint;

  public readonly ticketFollower: TicketFollower;

  public readonly ticketCommitter: TicketCommitter;

  public readonly health = new ServerHealth();

  public readonly load = new LoadTable();

  public readonly peers: Peers;

  public readonly lease: LeaseKeeper;

  public readonly quarantine: PartQuarantine;

  private readonly limiter = new AccountLimiter({ domains: 1, localInstances: 1 });

  private readonly prober: Prober;

  private readonly orders: OrderDriver;

  private readonly peerKeys: PeerKeys;

  private readonly origin: KeyOrigin;

  private startedGossip: Gossip | undefined;

  private currentPhase = ServicePhase.Serving;

  public constructor(
    private readonly dependencies: EntryCoreDependencies,
    private readonly options: EntryOptions,
  ) {
    const { clock, random, table, objects, engine, invariants, logFor } = dependencies;
    const { failureDomain: localDomain, instance } = options;
    const { health, load, limiter } = this;
    const configuration = new Configuration(invariants);
    const topology = new Topology(configuration);
    const retryBudget = new RetryBudget();
    this.configuration = configuration;
    this.peers = new Peers(instance);
    this.quarantine = new PartQuarantine(clock, () => this.probationTurn());
    this.origin = { instance, incarnation: random.id(INCARNATION_BYTES) };
    this.ticketFollower = new TicketFollower({
      clock,
      configuration,
      table,
      objects,
      isPoller: () =>
        ranksAmong(`poller/${localDomain}`, instance, this.localInstances(), POLLERS_PER_DOMAIN),
      log: logFor('tickets'),
    });
    const isAssigned = (server: string, domain: string) => this.isProberOf(server, domain);
    this.prober = new Prober({
      clock,
      engine,
      configuration,
      load,
      health,
      isAssigned,
      log: logFor('probe'),
    });
    const routing = new PipelineRouting({
      clock,
      engine,
      configuration,
      topology,
      load,
      health,
      retryBudget,
      localDomain,
    });
    this.completions = new CompletionDispatcher({
      sessionDependencies: {
        clock,
        engine,
        routing,
        counters: dependencies.counters,
        quarantine: new PromptQuarantine({
          clock,
          engine,
          configuration,
          quarantine: this.quarantine,
        }),
        invariants,
      },
      clock,
      configuration,
      topology,
      limiter,
      retryBudget,
      localDomain,
      isUsable: (server) => routing.isUsable(server, clock.now()),
      countLocalInstances: () => 1 + this.peers.countLiveIn(localDomain, clock.now()),
    });
    this.plainCalls = new PlainDispatcher({
      clock,
      random,
      configuration,
      transport: dependencies.transport,
      limiter,
      retryBudget,
      health,
      localDomain,
      countRetry: (reason) => dependencies.counters.countRetry(reason),
    });
    const holder = `${this.origin.instance}~${this.origin.incarnation}`;
    this.keyMint = new KeyMint(this.origin, () => random.id(NONCE_BYTES));
    this.peerKeys = new PeerKeys({
      clock,
      link: dependencies.link,
      peers: this.peers,
      keyMint: this.keyMint,
      origin: this.origin,
      localDomain,
      isRunningLocally: (attempt) => this.keyedRequests.isRunning(attempt),
      broadcast: () => this.gossip.broadcast(),
      log: logFor('entry'),
    });
    this.keyedRequests = new KeyedRequestRunner(
      new ClaimStore({ table, clock }, holder, SETTLE_TIMEOUT_MS),
      this.keyMint,
      this.peerKeys,
      this.origin,
      clock,
      () => random.id(ATTEMPT_BYTES),
    );
    this.ticketCommitter = new TicketCommitter(
      { table, clock },
      dependencies.wallClock,
      SETTLE_TIMEOUT_MS,
    );
    this.lease = new LeaseKeeper({
      clock,
      table,
      name: `orders/${localDomain}`,
      holder,
      log: logFor('lease'),
    });
    this.orders = new OrderDriver({
      clock,
      engine,
      configuration,
      lease: this.lease,
      failureDomain: localDomain,
      invariants,
      log: logFor('orders'),
    });
    this.quarantine.onChange(({ quarantined: { part, crashes }, isHeld }) =>
      logFor('quarantine')(
        isHeld
          ? `Prompt ${part} is held back: ${crashes} servers ended before they began to answer it. Find its sender by the requests refused as quarantined.`
          : `Prompt ${part} is released.`,
      ),
    );
    health.onMark((server, mark) => {
      logFor('servers')(
        `Server ${server} is marked ${mark}; it is avoided for new work until the mark expires or is cleared.`,
      );
      const reason = REROUTE_REASONS[mark];
      if (reason !== undefined) this.completions.rerouteFrom(server, reason);
    });
  }

  public get phase(): ServicePhase {
    return this.currentPhase;
  }

  /** Available after `start`. */
  public get gossip(): Gossip {
    return this.startedGossip as Gossip;
  }

  /**
   * Starts following tickets, exchanging state with peers, probing servers and sending orders.
   * @param address - address at which peers reach this instance
   */
  public start(address: string): void {
    const { dependencies, options } = this;
    this.startedGossip = new Gossip({
      clock: dependencies.clock,
      link: dependencies.link,
      list: dependencies.list,
      peers: this.peers,
      configuration: this.configuration,
      ticketFollower: this.ticketFollower,
      load: this.load,
      health: this.health,
      quarantine: this.quarantine,
      limiter: this.limiter,
      identity: { ...this.origin, failureDomain: options.failureDomain, address },
      isLeaving: () => this.phase !== ServicePhase.Serving,
      log: dependencies.logFor('peers'),
    });
    this.startedGossip.start();
    this.ticketFollower.start();
    this.prober.start();
    this.lease.start();
    this.orders.start();
  }

  /** Stops all timers immediately. */
  public dispose(): void {
    this.startedGossip?.dispose();
    this.ticketFollower.dispose();
    this.prober.dispose();
    this.lease.dispose();
    this.orders.dispose();
    this.keyedRequests.dispose();
  }

  /**
   * Drains the instance without interrupting a request: it first reports itself as not ready, then
   * refuses new work, then waits until every open request has ended. Finally it hands over the keys
   * that it minted and releases its lease.
   * @param openInListeners - returns the number of requests that the listeners still serve
   */
  public async drain(openInListeners: () => number = () => 0): Promise<void> {
    this.currentPhase = ServicePhase.Leaving;
    await this.gossip.broadcast();
    await pause(this.dependencies.clock, this.options.balancerDelayMs);
    this.currentPhase = ServicePhase.Refusing;
    this.keyMint.stop();
    while (this.openWorkCount + openInListeners() > 0)
      await pause(this.dependencies.clock, DRAIN_POLL_MS);
    await this.peerKeys.handOverKeys();
    await this.lease.release();
  }

  /** Number of requests in progress and of claims that are running or not yet settled. */
  public get openWorkCount(): number {
    return this.completions.active + this.plainCalls.active + this.keyedRequests.unsettled;
  }

  /** Applies a ticket that this instance just accepted, and announces it to the peers. */
  public async propagateTicket(): Promise<void> {
    await this.ticketFollower.poll();
    await this.gossip.broadcast();
  }

  public exchange(
    message: Parameters<PeerService['exchange']>[0],
  ): ReturnType<PeerService['exchange']> {
    return this.gossip.handleExchange(message);
  }

  public snapshot(): ReturnType<PeerService['snapshot']> {
    return this.configuration.snapshot();
  }

  public isRunning(attempt: string): boolean {
    return this.keyedRequests.isRunning(attempt);
  }

  public forward(call: ForwardedCall): Promise<ForwardedAnswer> {
    return this.dependencies.runForwarded(call);
  }

  public handOver(keys: Parameters<PeerService['handOver']>[0]): void {
    const now = this.dependencies.clock.now();
    this.keyMint.importKeys(keys, now);
    this.peers.recordKeyHandOver(keys.incarnations, this.origin.instance, now);
  }

  private probationTurn(): ProbationTurn {
    const others = this.peers.livePeers(this.dependencies.clock.now());
    const rank = others.filter(({ name }) => name < this.options.instance).length;
    return { rank, instances: others.length + 1 };
  }

  private localInstances(): string[] {
    const live = this.peers.livePeers(this.dependencies.clock.now());
    const localPeers = live.filter((peer) => peer.failureDomain === this.options.failureDomain);
    return [...localPeers.map((peer) => peer.name), this.options.instance];
  }

  private isProberOf(server: string, domain: string): boolean {
    if (domain !== this.options.failureDomain) return false;
    return ranksAmong(
      `probe/${server}`,
      this.options.instance,
      this.localInstances(),
      PROBERS_PER_SERVER,
    );
  }
}
