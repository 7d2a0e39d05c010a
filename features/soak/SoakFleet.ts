/** The router instances under test with their store, backend servers and the links between them. */
import { mkdirSync } from 'node:fs';
import path from 'node:path';
import { configuration } from '../platform/SampleConfiguration.js';
import { AnswerStyle, FakeBackendServer, RESTART_MS } from '../platform/FakeBackendServer.js';
import { FakeStore, StoreFault } from '../platform/FakeStore.js';
import { pause } from '../platform/Ports.js';
import { FaultProxy, LinkFault } from './FaultProxy.js';
import type { Interruption } from './GuaranteeChecker.js';
import { RouterProcess } from './RouterProcess.js';

export const DOMAINS = ['a', 'b'];

const SERVICES = ['engine', 'plain'];

/** A server behind a link with injectable faults. */
export interface LinkedServer {
  readonly server: FakeBackendServer;
  readonly service: string;
  readonly domain: string;
  readonly link: FaultProxy;
  isUp: boolean;
  /** Whether the server is leaving, so that no other fault may restart it. */
  isLeaving: boolean;
}

/** Values of routes that a configuration changes; the others are those of the sample configuration. */
export interface RouteChanges {
  readonly timeoutMs?: number;
  /** Number of servers that may run a request, on routes whose requests may run again. */
  readonly attempts?: number;
}

export class SoakFleet {
  public readonly store = new FakeStore();

  public readonly routers: RouterProcess[] = [];

  /** Each instance's own link to the store. */
  public readonly storeLinks: FaultProxy[] = [];

  public readonly servers: LinkedServer[] = [];

  public configurationVersion = 1;

  /** Faults of servers that may cut off answers, those because of the crashing part included. */
  public readonly interruptions: Interruption[] = [];

  private isDisposed = false;

  /**
   * @param folder - folder of the settings files and logs
   * @param timeoutMs - time-out of all routes; that of the sample configuration if undefined
   */
  public constructor(
    private readonly folder: string,
    private readonly timeoutMs?: number,
  ) {
    mkdirSync(folder, { recursive: true });
  }

  public async start(instances: number): Promise<void> {
    const storeAddress = await this.store.listen();
    this.writeConfiguration();
    for (const domain of DOMAINS) {
      for (const service of SERVICES) {
        for (const number of [1, 2]) await this.addServer(service, domain, number);
      }
    }
    const seeds: string[] = [];
    for (let index = 0; index < instances; index += 1) {
      const link = new FaultProxy();
      const domain = DOMAINS[index % DOMAINS.length];
      const router = new RouterProcess(`router-${domain}-${index}`, domain, this.folder);
      await router.configure(await link.listen(storeAddress), seeds);
      if (seeds.length < 2) seeds.push(router.peersAddress);
      this.storeLinks.push(link);
      this.routers.push(router);
      router.start();
    }
  }

  /**
   * Writes the next configuration to the store.
   * @param key - the only key of the account from now on
   * @param changes - what is different in it
   */
  public reconfigure(key: string, changes: RouteChanges = {}): void {
    this.configurationVersion += 1;
    this.writeConfiguration(key, changes);
  }

  /** Ends every fault and restarts the instances and servers that are down. */
  public async restore(): Promise<void> {
    this.store.fault = StoreFault.None;
    for (const link of this.storeLinks) link.fault = LinkFault.None;
    for (const linked of this.servers) {
      linked.link.fault = LinkFault.None;
      linked.server.style = AnswerStyle.Whole;
      linked.server.refusal = undefined;
      if (!linked.isUp && !linked.isLeaving) await this.restart(linked);
    }
    for (const router of this.routers) {
      if (router.isPaused) router.signal('SIGCONT');
      if (!router.isRunning) router.start();
    }
  }

  public async restart(linked: LinkedServer): Promise<void> {
    linked.isUp = true;
    await linked.server.restart((ownAddress) => linked.link.listen(ownAddress));
  }

  public crash(linked: LinkedServer): void {
    linked.isUp = false;
    linked.server.crash();
    linked.link.close();
  }

  /** Records an interruption by a server until the returned function is called. */
  public interrupt({ service }: LinkedServer): () => void {
    const interruption = { service, at: performance.now(), endedAt: Infinity };
    this.interruptions.push(interruption);
    return () => {
      interruption.endedAt = performance.now();
    };
  }

  /** Makes the servers crash when they begin to answer a prompt with a part; none if undefined. */
  public setCrashingPart(part: string | undefined): void {
    for (const { server } of this.servers) server.crashingPart = part;
  }

  private writeConfiguration(key?: string, changes: RouteChanges = {}): void {
    const sample = configuration(this.configurationVersion, key);
    const { timeoutMs = this.timeoutMs, attempts } = changes;
    const routes = sample.routes.map((route) => ({
      ...route,
      timeout_ms: timeoutMs ?? route.timeout_ms,
      attempts: route.route_kind === 'non_idempotent' ? 1 : (attempts ?? route.attempts),
    }));
    this.store.put('op', 'config', { ...sample, routes });
  }

  private async crashAndRestart(linked: LinkedServer): Promise<void> {
    // Another fault may have ended the server meanwhile, and restarts it then.
    if (!linked.isUp || linked.isLeaving) return;
    const end = this.interrupt(linked);
    this.crash(linked);
    await pause(RESTART_MS);
    if (!linked.isUp && !linked.isLeaving && !this.isDisposed) await this.restart(linked);
    end();
  }

  public async dispose(): Promise<void> {
    this.isDisposed = true;
    for (const router of this.routers) await router.dispose();
    for (const linked of this.servers) if (linked.isUp) this.crash(linked);
    for (const link of this.storeLinks) link.close();
    this.store.close();
  }

  /** Number of sockets of all links whose handles are open. */
  public get openSockets(): number {
    let open = 0;
    for (const link of [...this.storeLinks, ...this.servers.map((linked) => linked.link)])
      open += link.openSockets;
    return open;
  }

  private async addServer(service: string, domain: string, number: number): Promise<void> {
    const accelerator = service === 'engine' ? 'whole' : '';
    const id = `${service}-${domain}-${number}`;
    const server = new FakeBackendServer(id, service, domain, accelerator, this.store);
    const link = new FaultProxy();
    await server.listen((ownAddress) => link.listen(ownAddress));
    const linked = { server, service, domain, link, isUp: true, isLeaving: false };
    server.onCrashingPart = () => {
      this.crashAndRestart(linked);
    };
    this.servers.push(linked);
  }
}

/** Folder of one run's settings and logs. */
export function folderFor(seed: number): string {
  return path.join('reports', 'soak', `${seed}-${process.pid}`);
}
