import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Deployments } from '../../../src/core/deployment/Deployments.js';
import { RouteTable } from '../../../src/core/deployment/RouteTable.js';
import { ServerDirectory } from '../../../src/core/deployment/ServerDirectory.js';
import type { BackendServer, EngineProfile } from '../../../src/core/deployment/Types.js';
import { ServiceFleets, type ServiceFleet } from '../../../src/core/routing/ServiceFleets.js';
import { toRevision } from '../../../src/core/store/Revision.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { deployment, backendServer, ENGINE, isUsable, route } from '../FleetFixture.js';

interface DeploymentWorld {
  table: RouteTable;
  deployments: Deployments;
  clock: VirtualClock;
  directory: ServerDirectory;
  first: BackendServer;
  fleets: ServiceFleets;
  fleet: ServiceFleet;
}

/** Returns the servers of the engine as requests of the newest configuration see them. */
function findFleet({ deployments, fleets }: DeploymentWorld): ServiceFleet {
  const service = deployments.currentTable?.deployment.services.get('engine');
  assert.ok(service?.engine);
  return fleets.of(service, service.engine);
}

Given('routes {string}', function set(this: DeploymentWorld, list: string) {
  const routes = list.split(' ').map((name) => {
    const slash = name.indexOf('/');
    return route({ name, host: name.slice(0, slash), prefix: name.slice(slash) });
  });
  this.table = new RouteTable(deployment(routes));
});

Then(
  'a request for {string} {string} takes route {string}',
  function check(this: DeploymentWorld, host: string, path: string, name: string) {
    assert.equal(this.table.routeFor(host, path)?.name ?? 'none', name);
  },
);

Given(
  'routes of the engine with ranks {string} and accounts with ranks {string}',
  function set(this: DeploymentWorld, routeRanks: string, accountRanks: string) {
    const routes = routeRanks
      .split(' ')
      .map((rank, index) =>
        route({ name: `route-${index}`, rank: Number(rank), isPublic: accountRanks === 'none' }),
      );
    const accounts = accountRanks.split(' ').map((rank, index) => ({
      name: `account-${index}`,
      keys: [`key-${index}`],
      ...(rank !== '-' && { rank: Number(rank) }),
    }));
    this.table = new RouteTable(deployment(routes, accountRanks === 'none' ? {} : { accounts }));
  },
);

Then(
  'requests compete for the engine: {string}',
  function check(this: DeploymentWorld, competes: string) {
    assert.equal(this.table.hasRanks('engine') ? 'yes' : 'no', competes);
  },
);

Given(
  'servers of an engine, as the first configuration describes it',
  function set(this: DeploymentWorld) {
    this.directory = new ServerDirectory(new VirtualClock());
    this.directory.put(backendServer('whole', { accelerator: 'whole', span: { from: 0, to: 80 } }));
    this.deployments = new Deployments();
    this.deployments.applyIfNewer(deployment([route()]));
    this.fleets = new ServiceFleets(this.directory);
    this.fleet = findFleet(this);
  },
);

/** Changes of an engine's description. */
const ENGINE_CHANGES: Readonly<Record<string, Partial<EngineProfile>>> = {
  'nothing new': {},
  'another step time': { stepMs: 2 * ENGINE.stepMs },
  'another accelerator size': {
    accelerators: new Map(
      [...ENGINE.accelerators].map(([name, kind]) => [name, { ...kind, memoryMb: 300_000 }]),
    ),
  },
};

When(
  'a newer configuration describes the engine with {string}',
  function run(this: DeploymentWorld, change: string) {
    // Each configuration is decoded into objects of its own.
    const engine = structuredClone({ ...ENGINE, ...ENGINE_CHANGES[change] });
    const services = new Map([['engine', { name: 'engine', engine }]]);
    this.deployments.applyIfNewer(deployment([route()], { ticket: 2, services }));
  },
);

Then(
  'requests accepted before and after it search the same fleet: {string}',
  function check(this: DeploymentWorld, shared: string) {
    assert.equal(findFleet(this) === this.fleet ? 'yes' : 'no', shared);
  },
);

When(
  'deployments of tickets {string} arrive',
  function run(this: DeploymentWorld, arrivals: string) {
    this.deployments = new Deployments();
    for (const word of arrivals.split(' '))
      this.deployments.applyIfNewer(deployment([], { ticket: Number(word) }));
  },
);

Then(
  'the deployment of ticket {int} is in effect',
  function check(this: DeploymentWorld, current: number) {
    assert.equal(this.deployments.ticket, current);
  },
);

Given('a server that is ready', function set(this: DeploymentWorld) {
  this.clock = new VirtualClock();
  this.directory = new ServerDirectory(this.clock);
  this.first = backendServer('server');
  this.directory.put(this.first);
});

const CHANGES: Readonly<Record<string, (world: DeploymentWorld) => void>> = {
  leaving: ({ directory }) => directory.put(backendServer('server', { leaving: true })),
  ready: ({ directory }) => directory.put(backendServer('server')),
  restarted: ({ directory }) => directory.put(backendServer('server', { incarnation: 2 })),
  stale: ({ directory, first }) => directory.put(first),
  copy: ({ directory, first }) => directory.put({ ...first, revision: toRevision(1, 1) }),
  'written-anew': ({ directory, first }) => directory.put({ ...first, revision: toRevision(1, 2) }),
  'leaving-in-copy': ({ directory, first }) =>
    directory.put({ ...first, revision: toRevision(1, 1), leaving: true }),
  'unknown-in-copy': ({ directory }) => directory.replaceAll([], toRevision(1, 1)),
  removed: ({ directory }) => directory.remove('server', backendServer('other').revision),
  outage: ({ directory }) => directory.noteStoreUnavailable(),
  'said-leaving': ({ directory }) => directory.noteLeaving('server', 1),
  'told-leaving': ({ directory, first }) =>
    directory.put({ ...first, leaving: true, saidLeaving: true }),
  sweep: ({ directory }) => directory.sweep(),
  suspect: ({ directory }) => directory.suspect('server'),
  reused: ({ directory, first }) =>
    directory.put(backendServer('other', { address: first.address, incarnation: 2 })),
  'reused-before': ({ directory, first }) =>
    directory.put(backendServer('other', { address: first.address, incarnation: 0 })),
  rejected: ({ directory }) => directory.noteRejection('server'),
  accepted: ({ directory }) => directory.noteAcceptance('server'),
  alive: ({ directory }) => directory.noteAlive('server'),
};

When('its state changes by {string}', async function run(this: DeploymentWorld, changes: string) {
  for (const word of changes.split(' ')) {
    if (CHANGES[word] === undefined) await this.clock.runUntil(this.clock.now() + Number(word));
    else CHANGES[word](this);
  }
});

Then(
  'after {int} ms it gets new work: {string}',
  async function check(this: DeploymentWorld, ms: number, usable: string) {
    await this.clock.runUntil(this.clock.now() + ms);
    this.directory.sweep();
    assert.equal(isUsable(this.directory, this.clock, 'server'), usable === 'yes');
  },
);
