/** Instances that choose routes among the servers of an uneven fleet, each with its own view of the work. */
import assert from 'node:assert/strict';
import type { EngineProfile, Service } from '../../../src/core/deployment/Types.js';
import { ServerDirectory } from '../../../src/core/deployment/ServerDirectory.js';
import { SlowStreamProbe } from '../../../src/core/relay/SlowStreamProbe.js';
import { DomainLinks } from '../../../src/core/routing/DomainLinks.js';
import { EngineRoutes } from '../../../src/core/routing/EngineRoutes.js';
import { RemoteRouteLog } from '../../../src/core/routing/RemoteRouteLog.js';
import { ServerLoad, type OutstandingWork } from '../../../src/core/routing/ServerLoad.js';
import { ServerSlowness } from '../../../src/core/routing/ServerSlowness.js';
import { profileServer } from '../../../src/core/routing/ServerTime.js';
import type { Stage } from '../../../src/core/routing/Types.js';
import { UnreportedWork } from '../../../src/core/routing/UnreportedWork.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { ENGINE, ENGINE_SERVICE, openServerAdmission } from '../FleetFixture.js';

/** One instance with its own view of the work and its own experience of the servers. */
export interface Chooser {
  readonly load: ServerLoad;
  readonly routes: EngineRoutes;
  readonly slowness: ServerSlowness;
  readonly probe: SlowStreamProbe;
}

export interface CostsWorld {
  clock: VirtualClock;
  directory: ServerDirectory;
  work: Map<string, OutstandingWork>;
  slow: Set<string>;
  /** Longest gap of each stream of the last second, in milliseconds. */
  gaps: number[];
  routes: (readonly Stage[])[];
  /** Factor by which the instances themselves, or links, lengthen gaps. */
  delayFactor: number;
  /** Lines of the log. */
  logged: { event: string; fields: object }[];
  /** Reports that servers were asked for. */
  reports: number;
}

/** An engine with memory for some hundred streams on the uneven fleet. */
export const SPREAD: EngineProfile = { ...ENGINE, tokenMb: 0.33 };

/** Servers by failure domain and accelerator: slow kinds in some domains, fast ones in others. */
export const UNEVEN_FLEET: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  a: { a100s: 2, l4: 10, t4: 20 },
  b: { a100s: 1, l4: 20, t4: 10 },
  c: { a100s: 4, l4: 8, t4: 12 },
};

export const SLOWNESS = 12;

export const REQUIREMENTS = { tokens: 939, avoid: new Set<string>(), kept: [] };

export function requirementsOf(engine: EngineProfile): Parameters<EngineRoutes['plan']>[0] {
  return { ...REQUIREMENTS, engine, service: serviceOf(engine) };
}

export function serviceOf(engine: EngineProfile): Service {
  return { ...ENGINE_SERVICE, engine };
}

/** Generators of successive seeds begin with nearly the same value, which would make all instances alike. */
function linkRandom(seed: number): SeededRandom {
  const random = new SeededRandom(seed);
  for (let skipped = 0; skipped < 3; skipped += 1) random.next();
  return random;
}

/**
 * @param requestsPerMs - requests that the peers of an instance receive
 * @param instances - instances that share the links between failure domains
 */
export function chooser(
  world: CostsWorld,
  domain: string,
  seed: number,
  requestsPerMs: number,
  instances = 1,
): Chooser {
  const load = new ServerLoad();
  load.setPeerWork(world.work);
  const slowness = new ServerSlowness(world.clock);
  const peers = { requestsPerMs: () => requestsPerMs, reportAgeMs: () => 500 };
  const unreported = new UnreportedWork(new SeededRandom(seed), peers);
  const serverAdmission = openServerAdmission(world.clock);
  const remoteRoutes = new RemoteRouteLog({
    clock: world.clock,
    directory: world.directory,
    load,
    slowness,
    serverAdmission,
    decisions: { record: (event, fields) => world.logged.push({ event, fields }) },
    localDomain: domain,
  });
  const routes = new EngineRoutes(world.directory, load, domain, {
    serverAdmission,
    links: new DomainLinks(world.clock, linkRandom(seed), () => instances),
    slowness,
    unreported,
    remoteRoutes,
  });
  const port = {
    report: (server: string) => {
      world.reports += 1;
      slowness.record(server, world.slow.has(server) ? SLOWNESS : 1);
      return Promise.resolve(undefined);
    },
  };
  const probe = new SlowStreamProbe({
    clock: world.clock,
    directory: world.directory,
    routes,
    slowness,
    port,
  });
  return { load, routes, slowness, probe };
}

export function choosers(world: CostsWorld, count: number, requestsPerS: number): Chooser[] {
  const domains = Object.keys(UNEVEN_FLEET);
  return Array.from({ length: count }, (_, index) =>
    chooser(world, domains[index % domains.length], index + 1, requestsPerS / 1000, count),
  );
}

export function reset(world: CostsWorld): void {
  world.clock = new VirtualClock();
  world.directory = new ServerDirectory(world.clock);
  world.work = new Map();
  world.slow = new Set();
  world.gaps = [];
  world.routes = [];
  world.delayFactor = 1;
  world.logged = [];
  world.reports = 0;
}

/** Tells each instance what the others have in progress, and what they know of slow servers. */
export function exchangeReports(instances: readonly Chooser[]): void {
  for (const { load, slowness } of instances) {
    const sums = new Map<string, OutstandingWork>();
    for (const peer of instances) {
      if (peer.load === load) continue;
      slowness.merge(peer.slowness.listForPeers(), 'peer');
      for (const [server, work] of peer.load.listOwnWork()) {
        const sum = sums.get(server) ?? { requests: 0, readingTokens: 0, tokenLayers: 0 };
        sum.requests += work.requests;
        sum.readingTokens += work.readingTokens;
        sum.tokenLayers += work.tokenLayers;
        sums.set(server, sum);
      }
    }
    load.setPeerWork(sums);
  }
}

function layersOf(world: CostsWorld, server: string): { kind: string; layers: number } {
  const record = world.directory.get(server)?.record;
  assert.ok(record?.span);
  return { kind: record.accelerator, layers: record.span.to - record.span.from };
}

/** Returns what a server of the uneven fleet can do. */
export function profileOf(world: CostsWorld, server: string): ReturnType<typeof profileServer> {
  const { kind, layers } = layersOf(world, server);
  const accelerator = SPREAD.accelerators.get(kind);
  assert.ok(accelerator);
  return profileServer(SPREAD, accelerator, layers);
}
