import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore, StoreFault, type StoreCopy } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, startRouter, type StartedRouter } from './RouterFixture.js';
import { configuration, RoutePath } from './SampleConfiguration.js';

interface RestoredWorld {
  restoredStore: FakeStore;
  storeAddress: string;
  copy: StoreCopy;
  plainFleet: FakeBackendServer[];
  restoredRouters: StartedRouter[];
  sent: number;
}

const READY_MS = 10_000;

/** Time in which an instance has applied every change that it was told of, in milliseconds. */
const SETTLE_MS = 500;

/** Requests that show where work goes: enough that a server in use gets one of them. */
const SAMPLE = 12;

async function addServer(world: RestoredWorld): Promise<void> {
  const id = `plain-${world.plainFleet.length}`;
  const server = new FakeBackendServer(id, 'plain', 'a', '', world.restoredStore);
  world.plainFleet.push(server);
  await server.listen();
}

async function ask(world: RestoredWorld, router: StartedRouter, key = 'key-1'): Promise<number> {
  world.sent += 1;
  const { status } = await sendRequest(router.callers, `r${world.sent}`, RoutePath.Read, {
    authorization: `Token ${key}`,
  });
  return status;
}

/** Sends requests at the same time. @returns how many of them a server ran */
async function sampleRuns(
  world: RestoredWorld,
  server: number,
  router: StartedRouter,
): Promise<number> {
  const before = world.plainFleet[server].runs.length;
  await Promise.all(Array.from({ length: SAMPLE }, () => ask(world, router)));
  return world.plainFleet[server].runs.length - before;
}

async function within(limitMs: number, isDone: () => Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + limitMs;
  while (!(await isDone())) {
    assert.ok(performance.now() < endsAt, `The condition did not hold within ${limitMs} ms.`);
    await pause(100);
  }
}

function writeOthers(store: FakeStore, count: number): void {
  for (let index = 0; index < count; index += 1) store.put('other', `row-${index}`, index);
}

Given(
  'a store that states its era, two plain servers and a router instance',
  { timeout: 2 * READY_MS },
  async function set(this: RestoredWorld) {
    this.restoredStore = new FakeStore();
    this.storeAddress = await this.restoredStore.listen();
    this.restoredStore.copy();
    this.restoredStore.put('op', 'config', configuration(3));
    this.plainFleet = [];
    this.sent = 0;
    await addServer(this);
    await addServer(this);
    this.restoredRouters = [await startRouter('router-1', this.storeAddress, [])];
    await within(READY_MS, async () => (await ask(this, this.restoredRouters[0])) === 200);
    await pause(SETTLE_MS);
    this.copy = this.restoredStore.copy();
  },
);

After(function stop(this: RestoredWorld) {
  if (this.restoredStore === undefined) return;
  for (const { router } of this.restoredRouters) router.dispose();
  for (const server of this.plainFleet) server.stop();
  this.restoredStore.close();
});

Given(
  'the configuration changes, and {int} other rows are written',
  async function set(this: RestoredWorld, count: number) {
    this.restoredStore.put('op', 'config', configuration(5));
    writeOthers(this.restoredStore, count);
    this.restoredStore.put('servers', 'none', {});
    await pause(SETTLE_MS);
  },
);

Given(
  'server {int} changes its entry after {int} other rows were written',
  async function set(this: RestoredWorld, server: number, count: number) {
    writeOthers(this.restoredStore, count);
    this.plainFleet[server].announce('ready');
    await pause(SETTLE_MS);
  },
);

Given(
  'server {int} announces that it leaves, which the instance learns',
  async function set(this: RestoredWorld, server: number) {
    this.plainFleet[server].announce('draining');
    await pause(SETTLE_MS);
  },
);

Given(
  'another instance has started',
  { timeout: READY_MS },
  async function set(this: RestoredWorld) {
    const [{ peers }] = this.restoredRouters;
    this.restoredRouters.push(await startRouter('router-2', this.storeAddress, [peers]));
    await pause(2 * SETTLE_MS);
    assert.equal(this.restoredStore.count('acaciadrum-instances'), 2);
  },
);

When(
  'the store is away for {int} ms and comes back without that',
  async function run(this: RestoredWorld, ms: number) {
    this.restoredStore.fault = StoreFault.Busy;
    this.restoredStore.restore(this.copy);
    await pause(ms);
    this.restoredStore.fault = StoreFault.None;
  },
);

// The steps above and below run without a pause between them, so that no read comes between.
When(
  'it holds the new configuration {int} with the key {string} and {int} other rows when it answers again',
  function run(this: RestoredWorld, version: number, key: string, count: number) {
    this.restoredStore.put('op', 'config', configuration(version, key));
    writeOthers(this.restoredStore, count);
  },
);

When(
  'server {int} announces after the return that it leaves',
  async function run(this: RestoredWorld, server: number) {
    await pause(SETTLE_MS);
    this.plainFleet[server].announce('draining');
  },
);

When('server {int} is new after the return', async function run(this: RestoredWorld, _id: number) {
  await pause(2 * SETTLE_MS);
  await addServer(this);
});

When(
  'the instance has read the copy, and another one starts with it as its seed',
  { timeout: 2 * READY_MS },
  async function run(this: RestoredWorld) {
    await pause(2 * SETTLE_MS);
    const other = await startRouter('router-2', this.storeAddress, [this.restoredRouters[0].peers]);
    this.restoredRouters.push(other);
    await within(READY_MS, async () => (await ask(this, other)) === 200);
  },
);

Then(
  'within {int} ms the store holds the addresses of {int} instances',
  async function check(this: RestoredWorld, ms: number, count: number) {
    await within(ms, () =>
      Promise.resolve(this.restoredStore.count('acaciadrum-instances') === count),
    );
  },
);

Then(
  'within {int} ms a request with {string} is answered',
  async function check(this: RestoredWorld, ms: number, key: string) {
    await within(ms, async () => (await ask(this, this.restoredRouters[0], key)) === 200);
  },
);

Then(
  'within {int} ms no request reaches server {int}',
  async function check(this: RestoredWorld, ms: number, server: number) {
    const [router] = this.restoredRouters;
    await within(ms, async () => (await sampleRuns(this, server, router)) === 0);
  },
);

Then(
  '{int} ms later requests reach server {int}',
  async function check(this: RestoredWorld, ms: number, server: number) {
    await pause(ms);
    assert.ok((await sampleRuns(this, server, this.restoredRouters[0])) > 0);
  },
);

Then(
  'for {int} ms no request reaches server {int}',
  async function check(this: RestoredWorld, ms: number, server: number) {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
      assert.equal(await sampleRuns(this, server, this.restoredRouters[0]), 0);
      await pause(100);
    }
  },
);

Then(
  'within {int} ms no request to the other one reaches server {int}',
  async function check(this: RestoredWorld, ms: number, server: number) {
    await within(ms, async () => (await sampleRuns(this, server, this.restoredRouters[1])) === 0);
  },
);
