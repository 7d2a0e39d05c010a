import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { decodeUpdate, encodeUpdate } from '../../../src/adapters/grpc/UpdateEncoding.js';
import { Deployments } from '../../../src/core/deployment/Deployments.js';
import { ServerDirectory } from '../../../src/core/deployment/ServerDirectory.js';
import type { Deployment, RequestRoute } from '../../../src/core/deployment/Types.js';
import { Failure, FailureKind } from '../../../src/core/Failure.js';
import { PeerSharing } from '../../../src/core/peers/PeerSharing.js';
import type { PeerDigest, PeerIdentity } from '../../../src/core/peers/Types.js';
import { PartQuarantine } from '../../../src/core/quarantine/PartQuarantine.js';
import { ServerLoad } from '../../../src/core/routing/ServerLoad.js';
import { ServerSlowness } from '../../../src/core/routing/ServerSlowness.js';
import { StoreFollowController } from '../../../src/core/store/StoreFollowController.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { deployment, route, ownPace, unlimitedServers, UNTIMED } from '../FleetFixture.js';

/** Time limit of a digest in the gRPC adapter, in milliseconds. */
const DIGEST_LIMIT_MS = 500;

/** Time limit of fetching an update in the gRPC adapter, in milliseconds. */
const FETCH_LIMIT_MS = 1500;

/** Time in which the store answers, in milliseconds. */
const STORE_MS = 20;

/** Outgoing link of one instance: messages pass one after another. */
class NarrowLink {
  private freeAt = 0;

  public constructor(
    private readonly clock: VirtualClock,
    private readonly bytesPerMs: number,
  ) {}

  public async carry(bytes: number): Promise<void> {
    const now = this.clock.now();
    this.freeAt = Math.max(this.freeAt, now) + bytes / this.bytesPerMs;
    await this.clock.sleep(this.freeAt - now);
  }
}

interface Instance {
  readonly sharing: PeerSharing;
  readonly deployments: Deployments;
  readonly controller: StoreFollowController;
  readonly link: NarrowLink;
  followsStore: boolean;
  isLost: boolean;
}

interface Written {
  readonly at: number;
  readonly deployment: Deployment;
}

interface TransferWorld {
  clock: VirtualClock;
  instances: Instance[];
  written: Written[];
  late: string[];
}

function identityOf(index: number): PeerIdentity {
  const instance = `i${String(index).padStart(2, '0')}`;
  return { instance, address: String(index), failureDomain: 'a', incarnation: 1, capacity: 0 };
}

function copyThroughJson(digest: PeerDigest): PeerDigest {
  return JSON.parse(JSON.stringify(digest)) as PeerDigest;
}

function unreachable(): Failure {
  return new Failure(
    FailureKind.PeerUnavailable,
    'The peer did not answer in time. The next round sends a new digest.',
  );
}

/** Rejects once `limitMs` milliseconds have passed; what was sent still occupies the links. */
function within<T>(clock: VirtualClock, limitMs: number, answer: Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    clock.schedule(limitMs, () => reject(unreachable()));
    answer.then(resolve, reject);
  });
}

/** Sends a request over the sender's link and its answer over the receiver's; a lost instance is silent. */
async function call<T>(
  world: TransferWorld,
  from: number,
  to: number,
  request: Buffer,
  answer: (receiver: Instance) => { value: T; bytes: number },
): Promise<T> {
  const sender = world.instances[from];
  const receiver = world.instances[to];
  await sender.link.carry(request.length);
  if (sender.isLost || receiver.isLost) return new Promise<T>(() => {});
  const { value, bytes } = answer(receiver);
  await receiver.link.carry(bytes);
  return value;
}

function exchange(world: TransferWorld, from: number, to: number, digest: PeerDigest) {
  const request = Buffer.from(JSON.stringify(digest));
  return call(world, from, to, request, ({ sharing }) => {
    const reply = sharing.receiveDigest(copyThroughJson(digest));
    return { value: copyThroughJson(reply), bytes: Buffer.byteLength(JSON.stringify(reply)) };
  });
}

function fetchUpdate(world: TransferWorld, from: number, to: number, ticket: number) {
  return call(world, from, to, Buffer.from(JSON.stringify({ ticket })), ({ deployments }) => {
    const update = encodeUpdate(deployments.updateSince(ticket));
    const { length: bytes } = update;
    return { value: { update: decodeUpdate(update), bytes }, bytes };
  });
}

/** Reads the newest configuration, as a follower of the store does. */
async function readStore(world: TransferWorld, instance: Instance): Promise<void> {
  await world.clock.sleep(STORE_MS);
  const newest = world.written.at(-1);
  if (!instance.followsStore || instance.isLost || newest === undefined) return;
  instance.deployments.applyIfNewer(newest.deployment);
}

function addInstance(world: TransferWorld, index: number, bytesPerMs: number): void {
  const { clock } = world;
  const deployments = new Deployments();
  const directory = new ServerDirectory(clock);
  const load = new ServerLoad();
  const sharing = new PeerSharing({
    clock,
    deployments,
    directory,
    load,
    serverLimits: unlimitedServers(clock),
    pace: ownPace({ clock, deployments, directory, load }),
    slowness: new ServerSlowness(clock),
    quarantine: new PartQuarantine(clock, () => ({ rank: 0, instances: 1 })),
    seeds: [],
    port: {
      send: (address, digest) =>
        within(clock, DIGEST_LIMIT_MS, exchange(world, index, Number(address), digest)),
      fetchUpdate: (address, ticket) =>
        within(clock, FETCH_LIMIT_MS, fetchUpdate(world, index, Number(address), ticket)),
    },
    self: identityOf(index),
    decisions: { record: () => {} },
    activityTimer: UNTIMED,
    isLeaving: () => false,
    isPrepared: () => true,
    storeAgeMs: () => (world.instances[index].followsStore ? STORE_MS : Infinity),
    retryUse: () => [],
  });
  const instance: Instance = {
    sharing,
    deployments,
    link: new NarrowLink(clock, bytesPerMs),
    followsStore: false,
    isLost: false,
    controller: new StoreFollowController({
      clock,
      peers: sharing,
      follower: {
        start: () => {
          instance.followsStore = true;
          readStore(world, instance);
        },
        stop: () => {
          instance.followsStore = false;
        },
      },
      decisions: { record: () => {} },
    }),
  };
  world.instances.push(instance);
}

/** Notes each instance that does not have the newest version that was written `limitMs` ago. */
function checkAll(world: TransferWorld, limitMs: number): void {
  const now = world.clock.now();
  const due = world.written.filter(({ at }) => at <= now - limitMs).at(-1)?.deployment.ticket ?? 0;
  for (const [index, { deployments, isLost }] of world.instances.entries()) {
    if (isLost || deployments.ticket >= due) continue;
    world.late.push(`i${index} has ${deployments.ticket} instead of ${due} at ${now}`);
  }
}

function write(world: TransferWorld, written: readonly RequestRoute[]): void {
  const ticket = (world.written.at(-1)?.deployment.ticket ?? 0) + 1;
  world.written.push({ at: world.clock.now(), deployment: deployment(written, { ticket }) });
  for (const instance of world.instances) if (instance.followsStore) readStore(world, instance);
}

function routes(count: number, timeoutMs = 20_000): RequestRoute[] {
  return Array.from({ length: count }, (_, index) => {
    const name = `route-${index * 7919}`;
    // Only the first route changes between versions of the same size.
    return route({ name, prefix: `/${name}/`, timeoutMs: index === 0 ? timeoutMs : 20_000 });
  });
}

Given(
  'a failure domain of {int} instances whose links carry {int} Mbit per second, and a configuration with {int} routes',
  async function set(this: TransferWorld, count: number, mbps: number, routeCount: number) {
    this.clock = new VirtualClock();
    this.instances = [];
    this.written = [];
    this.late = [];
    for (let index = 0; index < count; index += 1) addInstance(this, index, (mbps * 1000) / 8);
    write(this, routes(routeCount));
    for (const { sharing, controller } of this.instances) {
      for (let index = 0; index < count; index += 1) sharing.addPeer(identityOf(index));
      sharing.start();
      controller.start();
    }
    await this.clock.runUntil(5000);
  },
);

When(
  'the operator writes a configuration with {int} routes',
  function run(this: TransferWorld, count: number) {
    write(this, routes(count));
  },
);

When(
  '{int} ms later the first {int} instances by name are lost',
  async function run(this: TransferWorld, ms: number, count: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    for (const instance of this.instances.slice(0, count)) instance.isLost = true;
  },
);

When(
  '{int} ms later it is changed {int} times, every {int} ms',
  async function run(this: TransferWorld, ms: number, times: number, intervalMs: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    const count = this.written.at(-1)?.deployment.routes.length ?? 0;
    for (let change = 0; change < times; change += 1) {
      this.clock.schedule(change * intervalMs, () => write(this, routes(count, 10_000 + change)));
    }
  },
);

Then(
  'each version is in force at every instance within {int} ms',
  async function check(this: TransferWorld, limitMs: number) {
    const endsAt = this.clock.now() + 12_000;
    while (this.clock.now() < endsAt) {
      await this.clock.runUntil(this.clock.now() + 100);
      checkAll(this, limitMs);
    }
    assert.deepEqual(this.late.slice(0, 5), [], `${this.late.length} checks found an old version`);
  },
);

After(function stop(this: TransferWorld) {
  if (this.late === undefined) return;
  for (const { sharing, controller } of this.instances) {
    sharing.dispose();
    controller.dispose();
  }
});
