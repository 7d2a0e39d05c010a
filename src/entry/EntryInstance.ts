/** Connects the decision logic of one entry instance to sockets, and owns the listeners. */
import { PeerClient } from '../adapters/grpc/PeerClient.js';
import { PeerServer } from '../adapters/grpc/PeerServer.js';
import { CallerServer } from '../adapters/http/CallerServer.js';
import { HttpClient } from '../adapters/http/HttpClient.js';
import { HttpEngine } from '../adapters/http/HttpEngine.js';
import { HttpPlainTransport } from '../adapters/http/HttpPlainTransport.js';
import { OperatorServer } from '../adapters/http/OperatorServer.js';
import { PlatformClient } from '../adapters/http/PlatformClient.js';
import { logFor } from '../adapters/logs/Log.js';
import { Metrics } from '../adapters/metrics/Metrics.js';
import { SystemClock } from '../adapters/SystemClock.js';
import { SystemRandom } from '../adapters/SystemRandom.js';
import { EntryCore, ServicePhase } from '../core/EntryCore.js';
import { Invariants } from '../core/Invariant.js';
import type { EntrySettings } from './Settings.js';
import { statusOf } from './StatusReport.js';

/** Addresses that the listeners are bound to. */
export interface EntryAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

export class EntryInstance {
  public readonly metrics = new Metrics();

  public readonly invariants: Invariants;

  public readonly core: EntryCore;

  private readonly client = new HttpClient();

  private readonly log = logFor('entry');

  private readonly peerClient: PeerClient;

  private readonly peerServer: PeerServer;

  private readonly callers: CallerServer;

  private readonly operators: OperatorServer;

  /** @param strict - whether a violated invariant throws */
  public constructor(
    private readonly settings: EntrySettings,
    strict = false,
  ) {
    const { metrics, log } = this;
    const clock = new SystemClock();
    const random = new SystemRandom();
    const platform = new PlatformClient(this.client, settings.platform.address);
    this.invariants = new Invariants(strict, log);
    this.peerClient = new PeerClient(settings.peers.secret);
    this.core = new EntryCore(
      {
        clock,
        random,
        table: platform,
        objects: platform,
        list: platform,
        link: this.peerClient,
        engine: new HttpEngine(this.client),
        transport: new HttpPlainTransport(),
        counters: metrics,
        invariants: this.invariants,
        wallClock: () => new Date().toISOString(),
        runForwarded: (call) => this.callers.runForwarded(call),
        logFor,
      },
      {
        instance: settings.instance,
        failureDomain: settings.failureDomain,
        balancerDelayMs: settings.stop.balancerMs,
      },
    );
    const { core } = this;
    const { configuration, completions, plainCalls, keyedRequests, keyMint, ticketCommitter } =
      core;
    this.callers = new CallerServer({
      clock,
      random,
      configuration,
      completions,
      plainCalls,
      keyedRequests,
      keyMint,
      metrics,
      isReady: () => core.ticketFollower.isReady,
      isLeaving: () => core.phase !== ServicePhase.Serving,
      isStopping: () => core.phase === ServicePhase.Refusing,
      maxBodyBytes: settings.callers.maxBodyBytes,
    });
    this.operators = new OperatorServer({
      token: settings.operators.token,
      random,
      table: platform,
      configuration,
      ticketCommitter,
      metrics,
      invariants: this.invariants,
      status: () => statusOf(core, clock.now()),
      onTicketAccepted: () => core.propagateTicket(),
    });
    this.peerServer = new PeerServer(core, settings.peers.secret, () =>
      log('Refused a peer that sent a wrong secret. Set the same peers.secret on every instance.'),
    );
    this.addGauges();
  }

  /** Opens the listeners, then starts following tickets and exchanging state with peers. */
  public async start(): Promise<EntryAddresses> {
    const { settings } = this;
    const addresses = {
      callers: await this.callers.listen(settings.callers.address),
      operators: await this.operators.listen(settings.operators.address),
      peers: await this.peerServer.listen(settings.peers.address),
    };
    this.core.start(addresses.peers);
    this.log(`Instance ${settings.instance} listens for callers at ${addresses.callers}.`);
    return addresses;
  }

  /** Drains the instance without interrupting a request, then closes it. */
  public async stop(): Promise<void> {
    this.log('Stopping: waiting for the load balancer to notice that this instance is not ready.');
    await this.core.drain(() => this.callers.activeRequests);
    await this.dispose();
    this.log('Stopped.');
  }

  /**
   * Returns the number of requests in progress and of unsettled claims, one line per kind. Printed when a
   * second stop signal arrives.
   */
  public openWork(): string[] {
    return [
      `completions: ${this.core.completions.active}`,
      `plain calls: ${this.core.plainCalls.active}`,
      `requests: ${this.callers.activeRequests}`,
      `claims to settle: ${this.core.keyedRequests.unsettled}`,
    ];
  }

  /** Closes everything immediately; open requests are aborted. */
  public async dispose(): Promise<void> {
    this.core.dispose();
    this.peerServer.close();
    this.peerClient.dispose();
    await Promise.all([this.callers.close(), this.operators.close()]);
    this.client.dispose();
  }

  private addGauges(): void {
    const { metrics, core } = this;
    metrics.addGauge(
      'acaciadrum_ticket',
      'Number of the ticket in force here.',
      () => core.configuration.ticketNumber,
    );
    metrics.addGauge(
      'acaciadrum_open_requests',
      'Requests in progress.',
      () => this.callers.activeRequests,
    );
    metrics.addGauge(
      'acaciadrum_unsettled_claims',
      'Claims whose record is not final.',
      () => core.keyedRequests.unsettled,
    );
    metrics.addGauge(
      'acaciadrum_lease_fence',
      'Fencing number held; 0 when the lease is not held.',
      () => core.lease.heldFence,
    );
  }
}
