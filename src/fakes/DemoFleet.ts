/** A whole fleet in one process on loopback. */
import { createHash } from 'node:crypto';
import { stringify } from 'yaml';
import { HttpClient } from '../adapters/http/HttpClient.js';
import type { FilingResult } from '../core/tickets/TicketCommitter.js';
import { ObjectKind, type Change } from '../core/tickets/Types.js';
import { EntryInstance, type EntryAddresses } from '../entry/EntryInstance.js';
import { ENTRY_SETTINGS } from '../entry/Settings.js';
import { BackendDaemon } from './BackendDaemon.js';
import { PartitionProxy } from './PartitionProxy.js';
import { PlatformServer } from './PlatformServer.js';

/** A running entry instance of the fleet. */
export interface FleetEntry {
  readonly name: string;
  readonly failureDomain: string;
  readonly entry: EntryInstance;
  readonly addresses: EntryAddresses;
}

/** A running backend server of the fleet. */
export interface FleetServer {
  readonly name: string;
  readonly failureDomain: string;
  readonly daemon: BackendDaemon;
  readonly address: string;
}

export const DEMO_LAYERS = 24;
export const DEMO_PIPELINE = 'glue-schedules';
export const DEMO_SERVICE = 'orders';
export const DEMO_KEYS: Readonly<Record<string, string>> = {
  workshop: 'demo-workshop-key',
  buyers: 'demo-buyers-key',
};
export const OPERATOR_TOKEN = 'demo-operator-token';

const PEER_SECRET = 'demo-peer-secret-0';
const ANY_PORT = '127.0.0.1:0';
const DOMAINS = ['almaty-1', 'almaty-2', 'almaty-3'];
const ENTRIES_PER_DOMAIN = 2;
const LOAD_MS = 200;
const LAYER_MS: Readonly<Record<string, number>> = { fast: 0.02, slow: 0.06 };

/** Servers of each failure domain: accelerator kind and layers, which overlap. */
const LAYOUT = [
  { suffix: 'a', accelerator: 'fast', from: 0, to: 16 },
  { suffix: 'b', accelerator: 'slow', from: 8, to: 24 },
  { suffix: 'c', accelerator: 'fast', from: 12, to: 24 },
  { suffix: 'd', accelerator: 'slow', from: 0, to: 12 },
];

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Options of a fleet; the defaults are those of the demo. */
export interface FleetOptions {
  /** Whether a violated invariant throws; false by default. */
  readonly throwOnViolation?: boolean;
  /** Time for the balancer to notice that an instance is not ready, in milliseconds; 100 by default. */
  readonly balancerMs?: number;
  /** Fixed cost of a step of a backend server, in milliseconds; 1 by default. */
  readonly stepMs?: number;
}

export class DemoFleet {
  public readonly platform = new PlatformServer();

  public readonly entries: FleetEntry[] = [];

  public readonly servers: FleetServer[] = [];

  public platformAddress = '';

  /** The proxies through which instances reach the platform, by failure domain. */
  public readonly platformProxies = new Map<string, PartitionProxy>();

  private readonly proxyAddresses = new Map<string, string>();

  private readonly client = new HttpClient();

  private constructor(private readonly options: FleetOptions) {}

  /**
   * Starts the fleet, files the first ticket through the administration API and waits until it is in force.
   * @throws Error if the ticket is not accepted or the fleet does not become ready in time
   */
  public static async start(options: FleetOptions = {}): Promise<DemoFleet> {
    const fleet = new DemoFleet(options);
    fleet.platformAddress = await fleet.platform.listen(ANY_PORT);
    for (const domain of DOMAINS) await fleet.startServers(domain);
    for (const domain of DOMAINS) {
      for (let index = 1; index <= ENTRIES_PER_DOMAIN; index += 1)
        await fleet.startEntry(`${domain}-entry-${index}`, domain);
    }
    await fleet.waitUntilReady();
    const filing = await fleet.file(firstTicket(fleet.servers));
    if (filing.number === 0)
      throw new Error(`The first ticket was not accepted: ${filing.message}`);
    await fleet.waitUntilInForce(filing.number);
    await fleet.waitUntilLoaded();
    return fleet;
  }

  /** Starts an entry instance and adds it to the platform's instance list. */
  public async startEntry(name: string, failureDomain: string): Promise<FleetEntry> {
    const settings = ENTRY_SETTINGS.parse({
      instance: name,
      failureDomain,
      callers: { address: ANY_PORT },
      operators: { address: ANY_PORT, token: OPERATOR_TOKEN },
      peers: { address: ANY_PORT, secret: PEER_SECRET },
      platform: { address: await this.proxyAddressOf(failureDomain) },
      stop: { balancerMs: this.options.balancerMs ?? 100 },
    });
    const entry = new EntryInstance(settings, this.options.throwOnViolation ?? false);
    const addresses = await entry.start();
    this.platform.memory.instances.set(name, {
      name,
      address: addresses.peers,
      failureDomain,
      leaving: false,
    });
    const running = { name, failureDomain, entry, addresses };
    this.entries.push(running);
    return running;
  }

  /** Files a ticket at the first entry instance. */
  public async file(text: string, submission = ''): Promise<FilingResult> {
    const query = submission === '' ? '' : `?submission=${submission}`;
    const [first] = this.entries as [FleetEntry];
    const answer = await this.client.call({
      address: first.addresses.operators,
      method: 'POST',
      path: `/tickets${query}`,
      body: text,
      timeoutMs: 10_000,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
    return JSON.parse(answer.body.toString()) as FilingResult;
  }

  /** Waits until every entry instance has applied a ticket. */
  public async waitUntilInForce(number: number): Promise<void> {
    await waitUntil(() =>
      this.entries.every(({ entry }) => entry.core.configuration.ticketNumber >= number),
    );
  }

  /**
   * Waits until every server except the plain ones has loaded layers, and no instance regards a server as
   * unhealthy.
   */
  public async waitUntilLoaded(): Promise<void> {
    await waitUntil(() =>
      this.entries.every(({ entry }) => {
        const now = performance.now();
        const { core } = entry;
        return this.servers.every(
          ({ name, daemon }) =>
            core.health.markOf(name, now) === undefined &&
            (name.endsWith('-plain') || (daemon.sequences.loaded ?? []).length > 0),
        );
      }),
    );
  }

  /** Sum of the violations counted by the instances and the servers. */
  public countViolations(): number {
    let sum = 0;
    for (const { entry } of this.entries) sum += entry.invariants.violationCount();
    for (const { daemon } of this.servers) sum += daemon.sequences.repeatedLayerRuns;
    return sum;
  }

  private async proxyAddressOf(failureDomain: string): Promise<string> {
    const known = this.proxyAddresses.get(failureDomain);
    if (known !== undefined) return known;
    const proxy = new PartitionProxy(this.platformAddress);
    const address = await proxy.listen();
    this.platformProxies.set(failureDomain, proxy);
    this.proxyAddresses.set(failureDomain, address);
    return address;
  }

  public async close(): Promise<void> {
    await Promise.all(this.entries.map(({ entry }) => entry.dispose()));
    await Promise.all(this.servers.map(({ daemon }) => daemon.close()));
    for (const proxy of this.platformProxies.values()) proxy.close();
    await this.platform.close();
    this.client.dispose();
  }

  private async startServers(failureDomain: string): Promise<void> {
    for (const { suffix, accelerator } of LAYOUT) {
      const name = `${failureDomain}-${suffix}`;
      const layerMs = LAYER_MS[accelerator];
      await this.startServer(name, failureDomain, layerMs);
    }
    await this.startServer(`${failureDomain}-plain`, failureDomain, LAYER_MS.fast);
  }

  private async startServer(name: string, failureDomain: string, layerMs: number): Promise<void> {
    const daemon = new BackendDaemon({
      name,
      layerMs,
      stepMs: this.options.stepMs ?? 1,
      checksFence: true,
      loadMs: LOAD_MS,
    });
    this.servers.push({ name, failureDomain, daemon, address: await daemon.listen(ANY_PORT) });
  }

  private waitUntilReady(): Promise<void> {
    return waitUntil(() => this.entries.every(({ entry }) => entry.core.ticketFollower.isReady));
  }
}

const POLL_INTERVAL_MS = 20;
const DEFAULT_WAIT_MS = 20_000;

/**
 * Polls a condition until it holds.
 * @param waitMs - time limit, in milliseconds
 * @throws Error if the condition does not hold in time
 */
export async function waitUntil(condition: () => boolean, waitMs = DEFAULT_WAIT_MS): Promise<void> {
  const deadline = performance.now() + waitMs;
  while (!condition()) {
    if (performance.now() > deadline)
      throw new Error('The awaited condition of the fleet did not hold within the time limit.');
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}

function serverChange(server: FleetServer): Change {
  const layout = LAYOUT.find(({ suffix }) => server.name.endsWith(`-${suffix}`));
  const common = { address: server.address, failureDomain: server.failureDomain };
  const state =
    layout === undefined
      ? { ...common, services: [DEMO_SERVICE] }
      : {
          ...common,
          accelerator: layout.accelerator,
          layerRanges: [{ pipeline: DEMO_PIPELINE, from: layout.from, to: layout.to }],
        };
  return { kind: ObjectKind.BackendServer, name: server.name, base: 0, state: state as never };
}

function firstTicket(servers: readonly FleetServer[]): string {
  const accounts = Object.entries(DEMO_KEYS).map(([name, key]) => ({
    kind: ObjectKind.ClientAccount,
    name,
    base: 0,
    state: { keyHashes: [sha256(key)], weight: 1, requestsPerSecond: 2000, concurrency: 2000 },
  }));
  return stringify({
    author: 'demo',
    reason: 'First configuration of the demo fleet.',
    changes: [
      ...accounts,
      {
        kind: ObjectKind.Pipeline,
        name: DEMO_PIPELINE,
        base: 0,
        state: { layers: DEMO_LAYERS, layerMs: LAYER_MS },
      },
      {
        kind: ObjectKind.PlainService,
        name: DEMO_SERVICE,
        base: 0,
        state: {
          rules: [
            { method: 'GET', path: '/', repeatable: true },
            { method: 'POST', path: '/bookings', repeatable: false },
          ],
        },
      },
      ...servers.map(serverChange),
    ],
  });
}
