/** A simulated fleet of entry instances and backend servers in virtual time, with its invariants. */
import { EntryCore, ServicePhase } from '../../core/EntryCore.js';
import { InvariantKind, Invariants } from '../../core/Invariant.js';
import type { ServerOrder } from '../../core/streams/Types.js';
import { holdsAllRanges } from '../../core/placement/OrderDriver.js';
import { HEAD_KEY, type HeadRow } from '../../core/tickets/TicketCommitter.js';
import { ObjectKind, type ChangeTicket } from '../../core/tickets/Types.js';
import { PlainRequestHandler } from '../../adapters/http/PlainRequestHandler.js';
import { SeededRandom } from '../SeededRandom.js';
import { VirtualClock } from '../VirtualClock.js';
import { FaultyPlatform } from './FaultyPlatform.js';
import { Network } from './Network.js';
import { SoakEngine } from './SoakEngine.js';
import { SoakHost } from './SoakHost.js';
import { SoakPeerLink } from './SoakPeerLink.js';
import { SoakServer } from './SoakServer.js';
import { SoakPlainTransport } from './SoakPlainTransport.js';

export interface SoakInstance {
  readonly host: SoakHost;
  readonly core: EntryCore;
  readonly address: string;
}

export const DOMAINS = ['d1', 'd2', 'd3'];
export const PIPELINE = 'model';
export const SERVICE = 'orders';
export const ACCOUNT = 'account';
export const LAYERS = 8;

const INSTANCES_PER_DOMAIN = 2;
const BALANCER_MS = 500;
const START_UNTIL_MS = 6000;

/** Time for which a disturbance still counts after its end, in milliseconds. */
const DISTURBANCE_RECOVERY_MS = 12_000;

/** Time within which new work must stop after a drain ticket is accepted, in milliseconds. */
const LEAVING_BOUND_MS = 3000;

const LAYOUT = [
  { suffix: 'a', from: 0, to: 5, checksFence: true },
  { suffix: 'b', from: 3, to: 8, checksFence: false },
  { suffix: 'c', from: 0, to: 8, checksFence: true },
];

export class SoakEnvironment {
  public readonly clock = new VirtualClock();

  public readonly random: SeededRandom;

  public readonly network = new Network();

  public readonly platform: FaultyPlatform;

  public readonly servers: SoakServer[] = [];

  public readonly instances: SoakInstance[] = [];

  public readonly violationMessages: string[] = [];

  public readonly invariants = new Invariants(false, (message) =>
    this.violationMessages.push(message),
  );

  /** Probability that an answer between peers is lost. */
  public peerLossProbability = 0.02;

  /** Number of active disturbances, that is, of faults that suspend the check for drained servers. */
  public activeDisturbances = 0;

  private lastDisturbedAt = -Infinity;

  private readonly plainRuns = new Map<string, number>();

  private readonly ranAttempts = new Set<string>();

  private readonly notRunAttempts = new Set<string>();

  private startedInstances = 0;

  public constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.platform = new FaultyPlatform(this.clock, this.random, this.network);
    for (const domain of DOMAINS) this.addServers(domain);
    for (const domain of DOMAINS) {
      for (let index = 0; index < INSTANCES_PER_DOMAIN; index += 1) this.addInstance(domain);
    }
  }

  /** Files the first ticket and runs until `START_UNTIL_MS`, so that it takes effect. */
  public async start(): Promise<void> {
    await this.clock.runUntil(100);
    this.instances[0].core.ticketCommitter.file(this.firstTicket(), 'first-ticket');
    await this.clock.runUntil(START_UNTIL_MS);
  }

  public server(name: string): SoakServer {
    return this.servers.find((server) => server.name === name) as SoakServer;
  }

  public instanceAt(address: string): SoakInstance | undefined {
    return this.instances.find((instance) => instance.address === address && instance.host.alive);
  }

  /**
   * Instances that the balancer sends requests to.
   * @param includeLeaving - whether the balancer may still send to an instance that has begun to leave
   */
  public instancesInRotation(includeLeaving = false): SoakInstance[] {
    return this.instances.filter(({ host, core }) => {
      if (!host.alive || !core.ticketFollower.isReady) return false;
      return (
        core.phase === ServicePhase.Serving ||
        (includeLeaving && core.phase === ServicePhase.Leaving)
      );
    });
  }

  public addInstance(failureDomain: string): SoakInstance {
    this.startedInstances += 1;
    const name = `${failureDomain}-${this.startedInstances}`;
    const host = new SoakHost(name, failureDomain, this.clock);
    const platform = this.platform.clientFor(host);
    const random = new SeededRandom(Math.floor(this.random.next() * 2 ** 31));
    const counters = { countRetry: () => {}, countToken: () => {} };
    const core: EntryCore = new EntryCore(
      {
        clock: host,
        random,
        table: platform,
        objects: platform,
        list: platform,
        link: new SoakPeerLink(this, host),
        engine: new SoakEngine(this, host),
        transport: new SoakPlainTransport(this, host),
        counters,
        invariants: this.invariants,
        wallClock: () => new Date(0).toISOString(),
        runForwarded: async (call) => {
          const requestHandler = new PlainRequestHandler({
            plainCalls: core.plainCalls,
            metrics: { countCompleted: () => {} },
          });
          const run = () =>
            requestHandler.runBuffered(
              call.account,
              call.method,
              call.path,
              { ...call.headers },
              Buffer.from(call.body, 'base64'),
            );
          return (await core.keyedRequests.executeLocally(call, run)) ?? {};
        },
        logFor: () => () => {},
      },
      { instance: name, failureDomain, balancerDelayMs: BALANCER_MS },
    );
    const instance = { host, core, address: `peer-${name}` };
    this.instances.push(instance);
    this.platform.memory.instances.set(name, {
      name,
      address: instance.address,
      failureDomain,
      leaving: false,
    });
    core.start(instance.address);
    return instance;
  }

  public removeInstance(instance: SoakInstance): void {
    this.platform.memory.instances.delete(instance.host.name);
    instance.core.dispose();

    instance.host.alive = false;
    this.instances.splice(this.instances.indexOf(instance), 1);
  }

  /** Records the begin or the end of a disturbance. */
  public recordDisturbance(begins: boolean): void {
    this.activeDisturbances += begins ? 1 : -1;
    this.lastDisturbedAt = this.clock.now();
  }

  /**
   * Whether no disturbance is active and the last one began or ended over `DISTURBANCE_RECOVERY_MS`
   * before `time`.
   */
  public isUndisturbedSince(time: number): boolean {
    return this.activeDisturbances === 0 && this.lastDisturbedAt < time - DISTURBANCE_RECOVERY_MS;
  }

  /**
   * Checks, while any server is drained by ticket, that drained servers get no new request later than
   * `LEAVING_BOUND_MS` after their ticket. Does not apply to servers whose drain was disturbed.
   */
  public checkAdmission(server: SoakServer, host: SoakHost): void {
    const drained = this.servers.filter((item) => item.drainedAt !== Infinity);
    if (!drained.some((item) => this.isUndisturbedSince(item.drainedAt))) return;
    const elapsedMs = this.clock.now() - server.drainedAt;
    this.invariants.check(
      InvariantKind.LeavingGetsNoWork,
      elapsedMs <= LEAVING_BOUND_MS || !this.isUndisturbedSince(server.drainedAt),
      () => `${host.name} sent new work to ${server.name} ${elapsedMs} ms after the ticket`,
    );
  }

  /**
   * Checks that an order names only layers that the tickets give the server and has a positive fencing
   * number; for a server that does not check the number itself, also that the number does not decrease.
   */
  public checkOrder(server: SoakServer, order: ServerOrder): void {
    this.invariants.check(
      InvariantKind.FenceOrder,
      holdsAllRanges(server.ranges, order.ranges) && order.fence > 0,
      () =>
        `${server.name} was ordered to load layers that no ticket gives it, or without a positive fencing number`,
    );
    if (server.checksFence) return;
    this.invariants.check(
      InvariantKind.FenceOrder,
      order.fence >= server.highestFence,
      () => `${server.name} accepted fence ${order.fence} after ${server.highestFence}`,
    );
  }

  /** Records that a completion or call ran; its caller must not have been told not-run. */
  public recordRun(attempt: string): void {
    this.ranAttempts.add(attempt);
    this.invariants.check(
      InvariantKind.NotRunIsFinal,
      !this.notRunAttempts.has(attempt),
      () => `${attempt} ran after its caller was told not-run`,
    );
  }

  /** Records that a caller was told not-run. */
  public recordNotRun(attempt: string): void {
    this.notRunAttempts.add(attempt);
    this.invariants.check(
      InvariantKind.NotRunIsFinal,
      !this.ranAttempts.has(attempt),
      () => `${attempt} had run when its caller was told not-run`,
    );
  }

  /** Records a run of a plain call, which may run at most once. */
  public recordPlainRun(call: string, attempt: string): void {
    const runs = (this.plainRuns.get(call) ?? 0) + 1;
    this.plainRuns.set(call, runs);
    this.invariants.check(
      InvariantKind.AtMostOnce,
      runs === 1,
      () => `call ${call} ran ${runs} times`,
    );
    this.recordRun(attempt);
  }

  public plainRunsOf(call: string): number {
    return this.plainRuns.get(call) ?? 0;
  }

  public get headTicketNumber(): number {
    const [row] = this.platform.memory.readSync([HEAD_KEY]);
    return (row?.value as HeadRow | undefined)?.number ?? 0;
  }

  private addServers(failureDomain: string): void {
    for (const { suffix, from, to, checksFence } of LAYOUT) {
      const ranges = [{ pipeline: PIPELINE, from, to }];
      this.servers.push(
        new SoakServer(
          `${failureDomain}-${suffix}`,
          failureDomain,
          ranges,
          checksFence,
          this.clock,
        ),
      );
    }
    this.servers.push(
      new SoakServer(`${failureDomain}-plain`, failureDomain, [], true, this.clock),
    );
  }

  private firstTicket(): ChangeTicket {
    const account = { keyHashes: [], weight: 1, requestsPerSecond: 10_000, concurrency: 10_000 };
    const pipeline = {
      layers: LAYERS,
      idempotent: true,
      maxTokens: 64,
      deadlineMs: 30_000,
      firstTokenMs: 1300,
      tokenGapMs: 59,
      layerMs: { any: 1 },
    };
    return {
      author: 'soak',
      reason: 'First configuration.',
      changes: [
        { kind: ObjectKind.ClientAccount, name: ACCOUNT, base: 0, state: account },
        { kind: ObjectKind.Pipeline, name: PIPELINE, base: 0, state: pipeline },
        {
          kind: ObjectKind.PlainService,
          name: SERVICE,
          base: 0,
          state: { rules: [], timeoutMs: 5000 },
        },
        ...this.servers.map((server) => ({
          kind: ObjectKind.BackendServer,
          name: server.name,
          base: 0,
          state: this.serverState(server, false),
        })),
      ],
    };
  }

  /** Returns the state of a server for a ticket. */
  public serverState(server: SoakServer, leaving: boolean) {
    return {
      address: server.name,
      failureDomain: server.failureDomain,
      accelerator: 'any',
      layerRanges: server.ranges,
      services: server.ranges.length === 0 ? [SERVICE] : [],
      maxSequences: 32,
      linkMs: 0,
      leaving,
      checksFence: server.checksFence,
    };
  }
}
