/** Connects the core of one router instance to the platform, and owns every listener and timer. */
import { SharingService } from '../adapters/grpc/SharingService.js';
import { listenWithRetry } from '../adapters/ListenRetry.js';
import type { ConnectionGuardDependencies } from '../adapters/http/ConnectionGuard.js';
import { HttpClient } from '../adapters/http/HttpClient.js';
import type { StructuredLog } from '../adapters/logs/StructuredLog.js';
import { SystemClock } from '../adapters/SystemClock.js';
import { SystemRandom } from '../adapters/SystemRandom.js';
import { RankedAdmission } from '../core/admission/RankedAdmission.js';
import { Deployments } from '../core/deployment/Deployments.js';
import { ServerDirectory } from '../core/deployment/ServerDirectory.js';
import { ServerNotices } from '../core/deployment/ServerNotices.js';
import { Invariants } from '../core/Invariant.js';
import { LeaseKeeper } from '../core/leases/LeaseKeeper.js';
import { RetryAfterEstimator } from '../core/limits/RetryAfterEstimator.js';
import { InputTurns } from '../core/limits/InputTurns.js';
import { MemoryBudget } from '../core/limits/MemoryBudget.js';
import { HeldServers } from '../core/limits/HeldServers.js';
import { SharedRetryBudget, type SharedRetryLimits } from '../core/limits/SharedRetryBudget.js';
import { StartWindows } from '../core/limits/StartWindows.js';
import { ServerLimits } from '../core/limits/ServerLimits.js';
import { ServerPace } from '../core/pace/ServerPace.js';
import { PeerSharing } from '../core/peers/PeerSharing.js';
import { decodePeerIdentity, InstanceRegistration } from '../core/peers/InstanceRegistration.js';
import {
  decodeKnowledgeRow,
  KNOWLEDGE_TABLE,
  KnowledgeArchive,
} from '../core/store/KnowledgeArchive.js';
import { StoreEra, type EraRise } from '../core/store/StoreEra.js';
import { StoreFollowController } from '../core/store/StoreFollowController.js';
import { CrashWitness } from '../core/quarantine/CrashWitness.js';
import { InputQuarantine } from '../core/quarantine/InputQuarantine.js';
import { PlacementDriver } from '../core/placement/PlacementDriver.js';
import { SilenceDetector } from '../core/relay/SilenceDetector.js';
import { SlowStreamProbe } from '../core/relay/SlowStreamProbe.js';
import { RelayDispatcher } from '../core/relay/RelayDispatcher.js';
import { EngineRoutes } from '../core/routing/EngineRoutes.js';
import { DomainLinks } from '../core/routing/DomainLinks.js';
import { ServerAdmission } from '../core/routing/ServerAdmission.js';
import { ServerLoad } from '../core/routing/ServerLoad.js';
import { Activity, StallMonitor } from '../core/standstill/StallMonitor.js';
import { StandstillGuard } from '../core/standstill/StandstillGuard.js';
import { RemoteRouteLog } from '../core/routing/RemoteRouteLog.js';
import { ServerSlowness } from '../core/routing/ServerSlowness.js';
import { UnreportedWork } from '../core/routing/UnreportedWork.js';
import { Ingress } from '../platform/Ingress.js';
import { Readiness } from '../platform/Readiness.js';
import { ServerClient } from '../platform/ServerClient.js';
import { StoreClient } from '../platform/StoreClient.js';
import type { Disposable } from '../ports/Types.js';
import { connectionBudgets, Listener, type ConnectionBudgets } from './ConnectionBudgets.js';
import { ChangeLog } from './ChangeLog.js';
import { hubCapacity, messageBytes } from './MachineLimits.js';
import { RouterMetrics } from './RouterMetrics.js';
import type { RouterSettings } from './Settings.js';
import { StoreTablesFollower } from './StoreTablesFollower.js';

/**
 * Interval of directory sweeps, in milliseconds: a fraction of the time within which entries that expired
 * during a store outage reappear.
 */
const SWEEP_MS = 500;

/**
 * Time until the load balancer has removed this instance, in milliseconds. It probes every second and
 * removes an instance after two failed probes.
 */
const BALANCER_REMOVAL_MS = 3000;

/**
 * Time after the stop signal from which on no request is taken any more, in milliseconds. A signal is handled a
 * little after it was sent, and what comes later than the removal may not end in time.
 */
const LAST_REQUEST_MS = BALANCER_REMOVAL_MS - 100;

/** Time for which the address of a listener is tried while it is taken, in milliseconds. */
const LISTEN_LIMIT_MS = 30_000;

/** The same for the metrics, without which an instance serves as well. */
const METRICS_LIMIT_MS = Infinity;

/** Time reserved for ending requests and closing connections before the process is killed, in milliseconds. */
const EXIT_MARGIN_MS = 400;

/** Time within which the refusals of the last requests are written, in milliseconds. */
const LAST_REFUSALS_MS = 100;

/**
 * Minimum number of instances that shared budgets are divided among. Peers become known one by one, so a new
 * instance knows too few of them and would take too large a share.
 */
const MIN_INSTANCES_IN_BUDGET = 6;

/**
 * Fraction of a leaving server's drain after which its remaining streams are rerouted; most streams end
 * before.
 */
const REROUTE_DRAIN_FRACTION = 0.6;

export class RouterInstance {
  public readonly metrics = new RouterMetrics();

  private readonly clock = new SystemClock();

  private readonly memory: MemoryBudget;

  private readonly inputTurns = new InputTurns(this.clock, (step) => setImmediate(step));

  private readonly http: HttpClient;

  private readonly storeEra = new StoreEra();

  private readonly deployments = new Deployments();

  private readonly directory = new ServerDirectory(this.clock);

  private readonly load = new ServerLoad();

  private readonly slowness = new ServerSlowness(this.clock);

  private readonly servers: ServerClient;

  private readonly retryBudget = new SharedRetryBudget(
    () => this.retryLimits,
    (service) => this.sharing.peerRetryUse(service),
  );

  private readonly serverLimits = new ServerLimits(
    this.clock,
    new SystemRandom(),
    () => this.sharing.knownInstances,
  );

  private readonly domainLinks = new DomainLinks(
    this.clock,
    new SystemRandom(),
    () => this.sharing.knownInstances,
  );

  private readonly startWindows = new StartWindows(this.clock);

  private readonly heldServers = new HeldServers(this.clock);

  private readonly serverAdmission = new ServerAdmission(
    this.clock,
    this.serverLimits,
    this.heldServers,
  );

  private readonly pace = new ServerPace({
    clock: this.clock,
    directory: this.directory,
    load: this.load,
    deployments: this.deployments,
    turn: () => this.sharing.probationTurn,
  });

  private readonly quarantine = new InputQuarantine(this.clock, () => this.sharing.probationTurn);

  private readonly silenceDetector: SilenceDetector;

  private readonly stalls: StallMonitor;

  private readonly standstill: StandstillGuard;

  private readonly admission: RankedAdmission;

  private readonly slowStreamProbe: SlowStreamProbe;

  private readonly remoteRoutes: RemoteRouteLog;

  private readonly dispatcher: RelayDispatcher;

  private readonly ingress: Ingress;

  private readonly connections: ConnectionBudgets;

  private readonly readiness: Readiness;

  private readonly lease: LeaseKeeper;

  private readonly placement: PlacementDriver;

  private readonly peers: SharingService;

  private readonly sharing: PeerSharing;

  private readonly registration: InstanceRegistration;

  private readonly knowledge: KnowledgeArchive;

  private readonly storeFollower: StoreTablesFollower;

  private readonly storeFollowController: StoreFollowController;

  private readonly changeLog: ChangeLog;

  private leaving = false;

  private sweepTimer: Disposable | undefined;

  public constructor(
    private settings: RouterSettings,
    private readonly log: StructuredLog,
  ) {
    const { clock, deployments, directory, load } = this;
    this.memory = new MemoryBudget(clock, messageBytes(settings.machine));
    this.connections = connectionBudgets(clock, settings.machine);
    this.readiness = new Readiness(() => this.isReady, this.protection(Listener.Readiness));
    this.metrics.protect(this.protection(Listener.Metrics));
    this.peers = new SharingService(
      {
        receiveDigest: (digest) => this.sharing.receiveDigest(digest),
        updateSince: (since) =>
          this.stalls.time(Activity.CompareConfigurations, { since }, () =>
            deployments.updateSince(since),
          ).value,
        handleFailure: ({ message }) => log.record('digest-rejected', { error: message }),
      },
      this.protection(Listener.Peers),
    );
    this.http = new HttpClient(this.memory);
    const servers = new ServerClient(
      this.http,
      new ServerNotices({ directory, heldServers: this.heldServers, decisions: log }),
    );
    this.servers = servers;
    const { failureDomain, bounds, instance } = settings;
    const random = new SystemRandom();
    const store = new StoreClient(this.http, settings.store.address, this.storeEra);
    const invariants = new Invariants(false, (message) => log.record('invariant', { message }));
    this.silenceDetector = new SilenceDetector({
      clock,
      directory,
      port: servers,
      decisions: log,
      rerouteLeavingAfterMs: bounds.drainMs * REROUTE_DRAIN_FRACTION,
    });
    this.stalls = new StallMonitor({ clock, decisions: log, counters: this.metrics });
    this.standstill = new StandstillGuard({
      clock,
      decisions: log,
      ask: () => Promise.any([this.sharing.ask(), this.storeFollower.readServersNow()]),
      onTimer: (latenessMs) => this.stalls.recordTimer(latenessMs),
    });
    this.admission = new RankedAdmission({
      clock,
      random,
      deployments,
      directory,
      load,
      decisions: log,
      counters: this.metrics,
    });
    this.remoteRoutes = new RemoteRouteLog({
      clock,
      directory,
      load,
      slowness: this.slowness,
      serverAdmission: this.serverAdmission,
      decisions: log,
      localDomain: failureDomain,
    });
    const routes = new EngineRoutes(directory, load, failureDomain, {
      serverAdmission: this.serverAdmission,
      links: this.domainLinks,
      pace: this.pace,
      slowness: this.slowness,
      unreported: new UnreportedWork(random, {
        requestsPerMs: (service) =>
          this.sharing.peerRetryUse(service).requests / this.retryLimits.windowMs,
        reportAgeMs: () => this.sharing.workAgeMs,
      }),
      remoteRoutes: this.remoteRoutes,
    });
    this.slowStreamProbe = new SlowStreamProbe({
      clock,
      directory,
      routes,
      slowness: this.slowness,
      port: servers,
    });
    this.dispatcher = new RelayDispatcher({
      clock,
      random,
      deployments,
      directory,
      load,
      routes,
      port: servers,
      // The detector monitors the streams that the dispatcher registers with it.
      streamRegistry: this.silenceDetector,
      slowStreamProbe: this.slowStreamProbe,
      retryBudget: this.retryBudget,
      retryAfterEstimator: new RetryAfterEstimator(random),
      admission: this.admission,
      serverLimits: this.serverLimits,
      startWindows: this.startWindows,
      serverAdmission: this.serverAdmission,
      standstill: this.standstill,
      pace: this.pace,
      quarantine: this.quarantine,
      crashWitness: new CrashWitness({
        directory,
        port: servers,
        quarantine: this.quarantine,
        decisions: log,
      }),
      decisions: log,
      counters: this.metrics,
      invariants,
      localDomain: failureDomain,
      isPrepared: () => this.knowledge.isPrepared,
    });
    this.ingress = new Ingress({
      clock,
      ...this.protection(Listener.Callers),
      accept: (request, reply) => this.dispatcher.accept(request, reply),
      judgeHead: (request) => this.dispatcher.judgeHead(request),
      refuse: (request, reply, refused) => this.dispatcher.refuse(request, reply, refused),
      isLeaving: () => this.leaving,
      handleError: (id, { message, stack }) => {
        this.metrics.countError('unknown');
        log.record('request-error', { id, error: message, stack });
      },
      limits: () => deployments.currentTable?.deployment.limits,
    });
    this.lease = new LeaseKeeper({
      clock,
      table: store,
      name: `placement/${failureDomain}`,
      holder: `${instance}/${random.id(4)}`,
      predecessorPrefix: `${instance}/`,
      isFirstStart: settings.isFirstStart,
      isCandidate: () => this.sharing.isHub,
      log: (message) => log.record('lease', { message }),
    });
    this.placement = new PlacementDriver({
      clock,
      deployments,
      directory,
      lease: this.lease,
      port: servers,
      decisions: log,
      failureDomain,
      serverAdmission: this.serverAdmission,
    });
    const self = {
      instance,
      address: settings.peers.address,
      failureDomain,
      incarnation: Date.now(),
      capacity: hubCapacity(settings.machine),
    };
    this.sharing = new PeerSharing({
      clock,
      self,
      deployments,
      directory,
      load,
      serverLimits: this.serverLimits,
      pace: this.pace,
      slowness: this.slowness,
      quarantine: this.quarantine,
      port: this.peers,
      seeds: settings.peers.seeds,
      decisions: log,
      activityTimer: this.stalls,
      isLeaving: () => this.leaving,
      isPrepared: () => deployments.currentTable !== undefined && this.knowledge.isPrepared,
      storeAgeMs: () => this.storeFollower.ageMs,
      retryUse: () => this.retryBudget.currentUse(clock.now()),
    });
    const instances = store.ownFeed('instances', (_key, _revision, value) =>
      decodePeerIdentity(value),
    );
    this.registration = new InstanceRegistration({
      clock,
      table: store,
      instances,
      self,
      addPeer: (identity) => this.sharing.addPeer(identity),
      entrusted: () => this.sharing.entrustedInstances,
      decisions: log,
    });
    this.knowledge = new KnowledgeArchive({
      clock,
      table: store,
      rows: store.ownFeed(KNOWLEDGE_TABLE, (_key, _revision, value) => decodeKnowledgeRow(value)),
      failureDomain,
      quarantine: this.quarantine,
      serverLimits: this.serverLimits,
      decisions: log,
      isHub: () => this.sharing.isHub,
      isPreparedByPeer: () => this.sharing.isPreparedByPeer,
    });
    this.storeFollower = new StoreTablesFollower({
      clock,
      store,
      instances,
      deployments,
      directory,
      sharing: this.sharing,
      decisions: log,
      activityTimer: this.stalls,
    });
    this.storeFollowController = new StoreFollowController({
      clock,
      peers: this.sharing,
      follower: this.storeFollower,
      decisions: log,
    });
    this.storeEra.onRise((rise) => this.handleRestoredStore(rise));
    deployments.onChange(() => this.ingress.applyLimits());
    servers.onReport(({ server, report }) => this.slowness.record(server, report.slowness));
    this.changeLog = new ChangeLog({
      clock,
      log,
      metrics: this.metrics,
      slowness: this.slowness,
      serverLimits: this.serverLimits,
      startWindows: this.startWindows,
      pace: this.pace,
      quarantine: this.quarantine,
    });
    this.addGauges();
  }

  /**
   * Opens the listeners and begins to follow the store. Rejects if an address cannot be bound; only the metrics
   * are then served later.
   */
  public async start(): Promise<void> {
    const { settings } = this;
    this.listen('metrics', settings.metrics.address, METRICS_LIMIT_MS, (address) =>
      this.metrics.listen(address),
    ).catch(({ message }: Error) => this.log.record('metrics-unavailable', { error: message }));
    await Promise.all([
      this.listen('callers', settings.callers.address, LISTEN_LIMIT_MS, (address) =>
        this.ingress.listen(address),
      ),
      this.listen('readiness', settings.readiness.address, LISTEN_LIMIT_MS, (address) =>
        this.readiness.listen(address),
      ),
      this.listen('peers', settings.peers.address, LISTEN_LIMIT_MS, (address) =>
        this.peers.listen(address),
      ),
    ]);
    this.standstill.start();
    this.sharing.start();
    this.registration.start();
    this.knowledge.start();
    this.storeFollowController.start();
    this.lease.start();
    this.placement.start();
    this.sweep();
    this.log.record('start', {
      domain: settings.failureDomain,
      callers: settings.callers.address,
      node: process.version,
    });
  }

  /**
   * Stops gracefully: waits until the load balancer has removed the instance, then until all requests have
   * ended. Requests that are still in progress shortly before the process would be killed are refused, or aborted if
   * their answers have begun.
   */
  public async stop(): Promise<void> {
    const startedAt = this.clock.now();
    const endsAt = startedAt + this.settings.bounds.stopGraceS * 1000 - EXIT_MARGIN_MS;
    this.leaving = true;
    this.log.record('stop', { active: this.ingress.active });
    this.dispatcher.closeAt(startedAt + LAST_REQUEST_MS);
    this.attempt('placement', () => this.placement.dispose());
    this.attempt('lease', () => this.lease.release());
    await this.waitUntil(() => this.clock.now() - startedAt >= BALANCER_REMOVAL_MS, endsAt);
    await this.ingress
      .stopListening()
      .catch((error: Error) =>
        this.log.record('stop-error', { part: 'callers', error: error.message }),
      );
    await this.waitUntil(() => this.ingress.active === 0, endsAt);
    if (this.ingress.active > 0) await this.refuseLastRequests();
    this.log.record('stopped', { active: this.ingress.active });
    this.dispose();
  }

  /** Tells the callers of requests that cannot end in time what became of them. */
  private async refuseLastRequests(): Promise<void> {
    this.log.record('stop-unfinished', { active: this.ingress.active });
    this.attempt('admission', () => this.admission.dispose());
    this.attempt('requests', () => this.ingress.refuseOpenRequests());
    const endsAt = this.clock.now() + LAST_REFUSALS_MS;
    await this.waitUntil(() => this.ingress.active === 0, endsAt);
  }

  /** Runs one part of a stop; the others follow even if it fails. */
  private attempt(part: string, step: () => void): void {
    try {
      step();
    } catch (error) {
      this.log.record('stop-error', { part, error: (error as Error).message });
    }
  }

  /**
   * Applies the changed retry share, retry slack and stop grace period. A changed retry window applies only
   * to services without requests so far; other settings, such as addresses, need a restart.
   */
  public reload(settings: RouterSettings): void {
    this.settings = settings;
    this.log.record('reload', { outcome: 'in force', stopGraceS: settings.bounds.stopGraceS });
  }

  /** Closes everything immediately; requests in progress are aborted. */
  public dispose(): void {
    this.attempt('sweep', () => this.sweepTimer?.dispose());
    this.attempt('standstill', () => this.standstill.dispose());
    this.attempt('admission', () => this.admission.dispose());
    this.attempt('dispatcher', () => this.dispatcher.dispose());
    this.attempt('silence', () => this.silenceDetector.dispose());
    this.attempt('placement', () => this.placement.dispose());
    this.attempt('lease', () => this.lease.dispose());
    this.attempt('follow', () => this.storeFollowController.dispose());
    this.attempt('store', () => this.storeFollower.stop());
    this.attempt('registration', () => this.registration.dispose());
    this.attempt('knowledge', () => this.knowledge.dispose());
    this.attempt('sharing', () => this.sharing.dispose());
    this.attempt('changes', () => this.changeLog.dispose());
    this.attempt('pace', () => this.pace.dispose());
    this.attempt('peers', () => this.peers.dispose());
    this.attempt('callers', () => this.ingress.close());
    this.attempt('readiness', () => this.readiness.close());
    this.attempt('metrics', () => this.metrics.close());
    this.attempt('servers', () => this.servers.dispose());
    this.attempt('http', () => this.http.dispose());
  }

  private listen(
    listener: string,
    address: string,
    limitMs: number,
    bind: (address: string) => Promise<unknown>,
  ): Promise<unknown> {
    return listenWithRetry(() => bind(address), {
      clock: this.clock,
      address,
      limitMs,
      onRetry: ({ message }) =>
        this.log.record('address-taken', { listener, address, error: message }),
    });
  }

  private get isReady(): boolean {
    if (this.leaving) return false;
    return (
      this.deployments.currentTable !== undefined &&
      this.directory.revision > 0 &&
      this.knowledge.isPrepared
    );
  }

  /** Limits on the retries of all instances together. */
  private get retryLimits(): SharedRetryLimits {
    const { retryShare, retrySlack, retryWindowS } = this.settings.bounds;
    return {
      perRequest: retryShare,
      slack: retrySlack,
      windowMs: retryWindowS * 1000,
      instances: Math.max(MIN_INSTANCES_IN_BUDGET, this.sharing.knownInstances),
    };
  }

  /** Writes anew what the store has lost of what this instance keeps there. */
  private handleRestoredStore({ era, before }: EraRise): void {
    this.log.record('store-era', { era, before });
    this.knowledge.rewrite();
    this.registration.rewrite();
  }

  private sweep(): void {
    this.directory.sweep();
    this.slowStreamProbe.sweep();
    if (this.sharing.isHub) this.slowStreamProbe.refresh(this.settings.failureDomain);
    this.sweepTimer = this.clock.schedule(SWEEP_MS, () => this.sweep());
  }

  /** Returns what keeps the clients of a listener within bounds. */
  private protection(listener: Listener): ConnectionGuardDependencies {
    return {
      connections: this.connections[listener],
      memory: this.memory,
      turns: this.inputTurns,
      onConnectionEnd: (reason, peer) => {
        this.metrics.countConnectionEnd(listener, reason);
        this.log.record('connection-closed', {
          listener,
          reason,
          peer,
          open: this.connections[listener].size,
          limit: this.connections[listener].limit,
        });
      },
    };
  }

  private waitUntil(isDone: () => boolean, endsAt: number): Promise<void> {
    return new Promise((resolve) => {
      const check = (): void => {
        if (isDone() || this.clock.now() >= endsAt) resolve();
        else this.clock.schedule(50, check);
      };
      check();
    });
  }

  private addGauges(): void {
    const { metrics } = this;
    metrics.addGauge('acaciadrum_live_instances', () => this.sharing.liveInstances);
    metrics.addGauge('acaciadrum_quarantined_parts', () => this.quarantine.size);
    metrics.addGauge('acaciadrum_limited_servers', () => this.serverLimits.size);
    metrics.addGauge('acaciadrum_overloaded_services', () => this.startWindows.limitedServices);
    metrics.addGauge('acaciadrum_links_withheld', () => this.domainLinks.withheld);
    metrics.addGauge('acaciadrum_held_servers', () => this.heldServers.size);
    metrics.addGauge('acaciadrum_leaving_servers', () => this.directory.leavingCount);
    metrics.addGauge('acaciadrum_paced_servers', () => this.pace.size);
    metrics.addGauge('acaciadrum_remote_routes', () => this.remoteRoutes.remoteCount);
    metrics.addGauge('acaciadrum_domain_crossings', () => this.remoteRoutes.crossingCount);
    metrics.addGauge('acaciadrum_slow_servers', () => this.slowness.size);
    metrics.addGauge('acaciadrum_message_bytes', () => this.memory.used);
    metrics.addGauge('acaciadrum_evictions', () => this.memory.evictions);
    metrics.addGauge('acaciadrum_waiting_inputs', () => this.inputTurns.size);
    metrics.addGauge('acaciadrum_costly_inputs_ended', () => this.inputTurns.evictions);
    for (const listener of Object.values(Listener)) {
      const connections = this.connections[listener];
      metrics.addGauge(`acaciadrum_connections{listener="${listener}"}`, () => connections.size);
    }
    metrics.addGauge('acaciadrum_longest_stall_ms', () => Math.round(this.stalls.longestMs));
    metrics.addGauge('acaciadrum_store_era', () => this.storeEra.current);
    metrics.addGauge('acaciadrum_ticket', () => this.deployments.ticket);
    metrics.addGauge('acaciadrum_open_requests', () => this.dispatcher.active);
    metrics.addGauge('acaciadrum_waiting_requests', () => this.admission.waiting);
    metrics.addGauge('acaciadrum_lease_fence', () => this.lease.heldFence);
    metrics.addGauge('acaciadrum_store_age_ms', () =>
      Math.round(Math.min(this.storeFollower.ageMs, this.sharing.peerStoreAgeMs)),
    );
  }
}
