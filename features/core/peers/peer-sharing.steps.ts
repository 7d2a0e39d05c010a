import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { decodeUpdate, encodeUpdate } from '../../../src/adapters/grpc/UpdateEncoding.js';
import { Deployments } from '../../../src/core/deployment/Deployments.js';
import { ServerDirectory } from '../../../src/core/deployment/ServerDirectory.js';
import type { BackendServer } from '../../../src/core/deployment/Types.js';
import { Failure, FailureKind } from '../../../src/core/Failure.js';
import { PeerSharing } from '../../../src/core/peers/PeerSharing.js';
import { WorkScope, type PeerIdentity, type PeerDigest } from '../../../src/core/peers/Types.js';
import type { ServerPace } from '../../../src/core/pace/ServerPace.js';
import { PartQuarantine } from '../../../src/core/quarantine/PartQuarantine.js';
import type { ProbationTurn } from '../../../src/core/quarantine/Types.js';
import { ServerLoad } from '../../../src/core/routing/ServerLoad.js';
import { ServerSlowness } from '../../../src/core/routing/ServerSlowness.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import {
  deployment,
  backendServer,
  isUsable,
  ownPace,
  route,
  unlimitedServers,
  UNTIMED,
} from '../FleetFixture.js';

interface Instance {
  readonly sharing: PeerSharing;
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly slowness: ServerSlowness;
  readonly pace: ServerPace;
  readonly domain: string;
  readonly capacity: number;
  isUnreachable: boolean;
  /** Whether fetching its configuration fails. */
  withholdsConfiguration: boolean;
  /** Time at which the store last answered this instance itself. */
  storeAnsweredAt: number;
  digestsSent: number;
  /** Server entries in the digests and replies of this instance. */
  entriesSent: number;
}

interface SharingWorld {
  clock: VirtualClock;
  /** Time that a message is on its way, in milliseconds. */
  transitMs: number;
  instances: Instance[];
  /** Age of the peers' work at an instance at the end of its cut, in milliseconds. */
  cutOffAgeMs: number;
}

function copyThroughJson(digest: PeerDigest): PeerDigest {
  return JSON.parse(JSON.stringify(digest)) as PeerDigest;
}

function selfOf(index: number, failureDomain: string, capacity = 0): PeerIdentity {
  return { instance: `i${index}`, address: String(index), failureDomain, incarnation: 1, capacity };
}

function addInstance(
  world: SharingWorld,
  seeds: readonly string[],
  domain = 'a',
  incarnation = 1,
  capacity = 0,
): Instance {
  const index = world.instances.length;
  const { clock } = world;
  const deployments = new Deployments();
  const directory = new ServerDirectory(clock);
  const load = new ServerLoad();
  const slowness = new ServerSlowness(clock);
  const reach = (address: string): Instance => {
    const peer = world.instances[Number(address)];
    if (!peer.isUnreachable && !world.instances[index].isUnreachable) return peer;
    throw new Failure(
      FailureKind.PeerUnavailable,
      'The peer is unreachable. The next round sends a new digest.',
    );
  };
  const send = async (address: string, digest: PeerDigest): Promise<PeerDigest> => {
    world.instances[index].digestsSent += 1;
    const copy = copyThroughJson(digest);
    if (world.transitMs > 0) await clock.sleep(world.transitMs);
    const peer = reach(address);
    const reply = copyThroughJson(peer.sharing.receiveDigest(copy));
    world.instances[index].entriesSent += copy.records.length;
    peer.entriesSent += reply.records.length;
    if (world.transitMs > 0) await clock.sleep(world.transitMs);
    return reply;
  };
  const fetchUpdate = async (address: string, ticket: number) => {
    const peer = reach(address);
    if (peer.withholdsConfiguration)
      throw new Failure(FailureKind.PeerUnavailable, 'The update was lost. Fetch it again.');
    const bytes = encodeUpdate(peer.deployments.updateSince(ticket));
    return { update: decodeUpdate(bytes), bytes: bytes.length };
  };
  const pace = ownPace({ clock, directory, load, deployments });
  const sharing: PeerSharing = new PeerSharing({
    clock,
    deployments,
    directory,
    load,
    serverLimits: unlimitedServers(clock),
    slowness,
    pace,
    quarantine: new PartQuarantine(clock, (): ProbationTurn => sharing.probationTurn),
    seeds,
    port: { send, fetchUpdate },
    self: { ...selfOf(index, domain, capacity), incarnation },
    decisions: { record: () => {} },
    activityTimer: UNTIMED,
    isLeaving: () => false,
    isPrepared: () => true,
    storeAgeMs: () => Math.max(0, clock.now() - world.instances[index].storeAnsweredAt),
    retryUse: () => [],
  });
  const instance = {
    sharing,
    deployments,
    directory,
    load,
    slowness,
    pace,
    domain,
    capacity,
    isUnreachable: false,
    withholdsConfiguration: false,
    storeAnsweredAt: -Infinity,
    digestsSent: 0,
    entriesSent: 0,
  };
  world.instances.push(instance);
  return instance;
}

Given('{int} instances that know each other', function set(this: SharingWorld, count: number) {
  this.clock = new VirtualClock();
  this.transitMs = 0;
  this.instances = [];
  for (let index = 0; index < count; index += 1) addInstance(this, []);
  connectAll(this.instances);
});

function connectAll(instances: readonly Instance[]): void {
  for (const { sharing } of instances) {
    for (const [index, { domain, capacity }] of instances.entries())
      sharing.addPeer(selfOf(index, domain, capacity));
    sharing.start();
  }
}

Given(
  '{int} failure domains of {int} instances that know each other',
  function set(this: SharingWorld, domains: number, count: number) {
    this.clock = new VirtualClock();
    this.transitMs = 0;
    this.instances = [];
    for (let index = 0; index < domains * count; index += 1)
      addInstance(this, [], `d${index % domains}`).deployments.applyIfNewer(deployment([route()]));
    connectAll(this.instances);
  },
);

/** Capacities of the large machines of each domain; all others can carry less. */
const LARGE_CAPACITY = 5.4;
const SMALL_CAPACITY = 0.4;
const LARGE_PER_DOMAIN = 3;

Given(
  '{int} failure domains of {int} instances, three of each on large machines, that know each other',
  function set(this: SharingWorld, domains: number, count: number) {
    this.clock = new VirtualClock();
    this.transitMs = 1;
    this.instances = [];
    for (let index = 0; index < domains * count; index += 1) {
      // The last three of each domain, so that the order of names says nothing.
      const isLarge = index >= domains * (count - LARGE_PER_DOMAIN);
      const capacity = isLarge ? LARGE_CAPACITY : SMALL_CAPACITY;
      const instance = addInstance(this, [], `d${index % domains}`, 1, capacity);
      instance.deployments.applyIfNewer(deployment([route()]));
      instance.storeAnsweredAt = Infinity;
    }
    connectAll(this.instances);
  },
);

/** Returns the instances of each domain that are reachable, those that can carry most first. */
function survivorsByDomain(world: SharingWorld): Instance[][] {
  const domains = new Map<string, Instance[]>();
  for (const instance of world.instances) {
    if (instance.isUnreachable) continue;
    const known = domains.get(instance.domain);
    if (known === undefined) domains.set(instance.domain, [instance]);
    else known.push(instance);
  }
  for (const list of domains.values()) list.sort((a, b) => b.capacity - a.capacity);
  return [...domains.values()];
}

When(
  'of each domain the hub and further instances, {int} in all, are killed at once',
  async function run(this: SharingWorld, killed: number) {
    await this.clock.runUntil(this.clock.now() + 3000);
    for (const instances of survivorsByDomain(this)) {
      instances.sort((a, b) => Number(b.sharing.isHub) - Number(a.sharing.isHub));
      for (const instance of instances.slice(0, killed)) {
        instance.isUnreachable = true;
        instance.sharing.dispose();
      }
    }
  },
);

Then(
  'the only hub of each domain is one of those that can carry most',
  function check(this: SharingWorld) {
    for (const instances of survivorsByDomain(this)) {
      const hubs = instances.filter(({ sharing }) => sharing.isHub);
      assert.deepEqual(
        hubs.map(({ capacity }) => capacity),
        [instances[0].capacity],
      );
    }
  },
);

Then(
  'no survivor is without a confirming exchange for {int} ms, and within {int} ms each counts {int} requests at server {string}',
  async function check(
    this: SharingWorld,
    unconfirmedMs: number,
    ms: number,
    requests: number,
    server: string,
  ) {
    const survivors = survivorsByDomain(this).flat();
    for (const endsAt = this.clock.now() + ms; this.clock.now() < endsAt;) {
      await this.clock.runUntil(this.clock.now() + 50);
      for (const { sharing } of survivors) {
        if (sharing.isHub) continue;
        assert.ok(sharing.exchangeAgeMs < unconfirmedMs, `${sharing.exchangeAgeMs} ms`);
      }
    }
    for (const { load } of survivors) assert.equal(load.requests(server), requests);
  },
);

When(
  'each has {int} requests at server {string}',
  function run(this: SharingWorld, requests: number, server: string) {
    const stages = [{ server, address: '', from: 0, to: 1 }];
    for (const { load } of this.instances) load.add(stages, requests, 10, 0);
  },
);

When('instance 0 is unreachable for {int} ms', async function run(this: SharingWorld, ms: number) {
  await this.clock.runUntil(this.clock.now() + 500);
  this.instances[0].isUnreachable = true;
  await this.clock.runUntil(this.clock.now() + ms);
});

async function checkCount(
  world: SharingWorld,
  ms: number,
  instances: readonly Instance[],
  requests: number,
  server: string,
): Promise<void> {
  await world.clock.runUntil(world.clock.now() + ms);
  for (const { load } of instances) assert.equal(load.requests(server), requests);
}

Then(
  'within {int} ms each counts {int} requests at server {string}',
  async function check(this: SharingWorld, ms: number, requests: number, server: string) {
    await checkCount(this, ms, this.instances, requests, server);
  },
);

Then(
  'within {int} ms the others count {int} requests at server {string}',
  async function check(this: SharingWorld, ms: number, requests: number, server: string) {
    await checkCount(this, ms, this.instances.slice(1), requests, server);
  },
);

const FACTS: Readonly<
  Record<string, { learn: (instance: Instance) => void; knows: (instance: Instance) => boolean }>
> = {
  configuration: {
    learn: ({ deployments }) => deployments.applyIfNewer(deployment([route()], { ticket: 7 })),
    knows: ({ deployments }) =>
      deployments.ticket === 7 &&
      deployments.currentTable?.deployment.services.get('engine')?.engine?.layers === 80,
  },
  'server entries': {
    learn: ({ directory }) => directory.put(backendServer('server')),
    knows: ({ directory }) => isUsable(directory, new VirtualClock(), 'server'),
  },
  'removal of a server': {
    learn: ({ directory }) => {
      directory.put(backendServer('server', { revision: 1e6 }));
      directory.remove('server', 1e6 + 1);
    },
    knows: ({ directory }) => directory.get('server')?.leaving === true,
  },
  'pace of a server': {
    learn: ({ directory, pace }) => {
      const service = { name: 'plain', engine: undefined };
      pace.startTrial(service, [], 'another', 0);
      directory.put(backendServer('server', { service: 'plain' }));
      pace.recordRejection(pace.startTrial(service, [], 'server', 0), 'server');
    },
    knows: ({ pace }) => pace.windowOf('server') === 16,
  },
  'leaving state of a server': {
    learn: ({ directory }) =>
      directory.put(backendServer('server', { revision: 1e6, leaving: true })),
    knows: ({ directory }) => directory.get('server')?.leaving === true,
  },
};

When(
  /^instance 0 learns the (.+) from (?:the store|its answers)$/,
  async function run(this: SharingWorld, what: string) {
    await this.clock.runUntil(this.clock.now() + 500);
    FACTS[what].learn(this.instances[0]);
  },
);

When('instance 0 starts again after its clock went back', async function run(this: SharingWorld) {
  await this.clock.runUntil(this.clock.now() + 1000);
  this.instances[0].sharing.dispose();
  const digest = {
    from: { ...selfOf(0, 'a'), incarnation: 0 },
    leaving: false,
    ticket: 0,
    work: { scope: WorkScope.Instance, instances: 1, shares: [], retries: [] },
    records: [],
    changes: { from: 0, to: 0 },
    peers: [],
  };
  for (let digests = 0; digests < 20; digests += 1) {
    this.instances[1].sharing.receiveDigest(digest);
    await this.clock.runUntil(this.clock.now() + 250);
  }
});

When('instance 1 reads an older entry of that server', function run(this: SharingWorld) {
  const older: BackendServer = backendServer('server');
  this.instances[1].directory.put(older);
});

Then(
  /^within (\d+) ms all know the (.+)$/,
  async function check(this: SharingWorld, ms: string, what: string) {
    await this.clock.runUntil(this.clock.now() + Number(ms));
    for (const instance of this.instances) assert.ok(FACTS[what].knows(instance));
  },
);

When(
  'instance {int} starts again without any state',
  async function run(this: SharingWorld, index: number) {
    await this.clock.runUntil(this.clock.now() + 2000);
    const before = this.instances[index];
    before.sharing.dispose();
    const others = this.instances.slice(index + 1);
    this.instances.length = index;
    const restarted = addInstance(this, [], before.domain, 2);
    this.instances.push(...others);
    for (let peer = 0; peer < this.instances.length; peer += 1)
      if (peer !== index) restarted.sharing.addPeer(selfOf(peer, before.domain));
    restarted.sharing.start();
  },
);

When(
  'instance 2 alone knows a server that has left, and instance 0 reads all entries of the store',
  async function run(this: SharingWorld) {
    this.instances[2].directory.put(backendServer('server', { revision: 50 }));
    this.instances[0].directory.replaceAll([backendServer('other', { revision: 70 })], 90);
    await this.clock.runUntil(this.clock.now() + 100);
  },
);

Then(
  'within {int} ms no instance gives new work to that server',
  async function check(this: SharingWorld, ms: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    for (const { directory } of this.instances) {
      assert.ok(isUsable(directory, this.clock, 'other'));
      assert.equal(isUsable(directory, this.clock, 'server'), false);
    }
  },
);

Then('the entry has been sent {int} times', function check(this: SharingWorld, times: number) {
  let sent = 0;
  for (const { entriesSent } of this.instances) sent += entriesSent;
  assert.equal(sent, times);
});

When('a third starts with the first as its seed', function run(this: SharingWorld) {
  addInstance(this, ['0']).sharing.start();
});

Then(
  'within {int} ms all count {int} live instances',
  async function check(this: SharingWorld, ms: number, live: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    for (const { sharing } of this.instances) assert.equal(sharing.liveInstances, live);
  },
);

Then(
  'no instance sends more than {int} digests per second, besides replies',
  function check(this: SharingWorld, most: number) {
    const seconds = this.clock.now() / 1000;
    for (const { digestsSent } of this.instances)
      assert.ok(digestsSent <= most * seconds, `${digestsSent} digests`);
  },
);

When(
  'instance {int} is unreachable for {int} ms, and instance 0 learns the leaving state of a server meanwhile',
  async function run(this: SharingWorld, unreachable: number, ms: number) {
    this.instances[unreachable].isUnreachable = true;
    FACTS['leaving state of a server'].learn(this.instances[0]);
    await this.clock.runUntil(this.clock.now() + ms);
    this.instances[unreachable].isUnreachable = false;
  },
);

When(
  'messages take {int} ms, and the store answers instance 0 once',
  async function run(this: SharingWorld, ms: number) {
    this.transitMs = ms;
    await this.clock.runUntil(this.clock.now() + 1000);
    this.instances[0].storeAnsweredAt = this.clock.now();
  },
);

Then(
  'after {int} ms every other instance holds its confirmation to be at least that old',
  async function check(this: SharingWorld, ms: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    for (const { sharing } of this.instances.slice(1)) {
      assert.ok(Number.isFinite(sharing.peerStoreAgeMs), 'never confirmed');
      assert.ok(sharing.peerStoreAgeMs >= ms, `${sharing.peerStoreAgeMs} ms`);
    }
  },
);

When(
  'the store answers instance 0 all the time, and its new configuration cannot be fetched',
  async function run(this: SharingWorld) {
    await this.clock.runUntil(this.clock.now() + 1000);
    const [first] = this.instances;
    first.storeAnsweredAt = Infinity;
    first.withholdsConfiguration = true;
    await this.clock.runUntil(this.clock.now() + 1000);
    FACTS.configuration.learn(first);
  },
);

Then(
  'after {int} ms the others have had no confirmation for {int} ms',
  async function check(this: SharingWorld, ms: number, unconfirmedMs: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    for (const { sharing } of this.instances.slice(1)) {
      assert.ok(sharing.peerStoreAgeMs >= unconfirmedMs, `${sharing.peerStoreAgeMs} ms`);
      assert.ok(sharing.exchangeAgeMs >= unconfirmedMs, `${sharing.exchangeAgeMs} ms`);
    }
  },
);

When(
  'instance {int} is cut off for {int} ms',
  async function run(this: SharingWorld, cut: number, ms: number) {
    this.instances[cut].isUnreachable = true;
    await this.clock.runUntil(this.clock.now() + ms);
    this.cutOffAgeMs = this.instances[cut].sharing.workAgeMs;
    this.instances[cut].isUnreachable = false;
  },
);

Then(
  'it takes the work of peers to be between {int} and {int} ms old',
  function check(this: SharingWorld, least: number, most: number) {
    assert.ok(this.cutOffAgeMs >= least && this.cutOffAgeMs <= most, `${this.cutOffAgeMs} ms`);
  },
);

Then(
  'after {int} ms all take the work of peers to be between {int} and {int} ms old',
  async function check(this: SharingWorld, ms: number, least: number, most: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    for (const { sharing } of this.instances)
      assert.ok(sharing.workAgeMs >= least && sharing.workAgeMs <= most, `${sharing.workAgeMs} ms`);
  },
);

When(
  'a server tells instance {int} that it takes {int} times as long',
  function run(this: SharingWorld, told: number, factor: number) {
    this.instances[told].slowness.record('s', factor);
  },
);

Then(
  'after {int} ms all take it to be {int} times as slow',
  async function check(this: SharingWorld, ms: number, factor: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    for (const { slowness } of this.instances) assert.equal(slowness.factor('s'), factor);
  },
);
