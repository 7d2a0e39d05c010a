import assert from 'node:assert/strict';
import { get } from 'node:http';
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import { RouterProcess } from '../soak/RouterProcess.js';
import { FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { CHUNKED_WAYS } from './ChunkedBodies.js';
import { DOORS, HostileCrowd, MAX_BODY_BYTES, WAYS } from './HostileCrowd.js';
import { LAST_HEADER, LawfulCaller, REQUESTS } from './LawfulCaller.js';
import { pause } from './Ports.js';
import { sendRequest } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface HostileWorld extends World {
  hostileStore: FakeStore;
  victims: FakeBackendServer[];
  hostileRouter: RouterProcess;
  crowd: HostileCrowd;
  descriptorSampler: NodeJS.Timeout;
  mostDescriptors: number;
  peakMemoryMb: number;
  callers: LawfulCaller[];
}

const READY_MS = 15_000;

/** Time for which a crowd acts before an ordinary request comes, in milliseconds. */
const CROWD_MS = 2500;

/** Time for which an ordinary caller repeats its request, in milliseconds. */
const ORDINARY_MS = 15_000;

const SAMPLE_MS = 20;

const STEP_LIMIT_MS = 60_000;

/** Returns the flags of Node with which the platform runs the router. */
function deployedFlags(): string[] {
  const deployed = readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "node (.*) target\/router\.mjs"$/m.exec(deployed);
  assert.ok(run !== null, 'deploy/system.toml names no command of the router');
  return run[1].split(' ');
}

function probe(address: string): Promise<number> {
  return new Promise((resolve) => {
    const request = get(
      `http://${address}/-/readyz`,
      { agent: false, timeout: 1000 },
      ({ statusCode = 0 }) => resolve(statusCode),
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
  });
}

async function isServed({ hostileRouter }: HostileWorld): Promise<boolean> {
  const { status, isComplete } = await sendRequest(
    hostileRouter.callersAddress,
    'ordinary',
    '/read/',
    {},
  );
  return status === 200 && isComplete && (await probe(hostileRouter.listeners.readiness)) === 200;
}

async function waitUntilServed(world: HostileWorld, limitMs: number): Promise<void> {
  const endsAt = performance.now() + limitMs;
  while (!(await isServed(world))) {
    assert.ok(world.hostileRouter.isRunning, 'the process has ended');
    assert.ok(performance.now() < endsAt, 'no ordinary request was answered');
    await pause(100);
  }
}

async function waitUntilListening({ hostileRouter }: HostileWorld): Promise<void> {
  const endsAt = performance.now() + READY_MS;
  while ((await probe(hostileRouter.listeners.readiness)) === 0) {
    assert.ok(performance.now() < endsAt, 'the process does not listen');
    await pause(100);
  }
}

function sample(world: HostileWorld): void {
  const { hostileRouter } = world;
  if (!hostileRouter.isRunning) return;
  world.mostDescriptors = Math.max(world.mostDescriptors, hostileRouter.openDescriptors);
  world.peakMemoryMb = Math.max(world.peakMemoryMb, hostileRouter.peakMemoryMb);
}

/**
 * Starts a router process before a store and two plain servers.
 * @param isConfigured - whether the store has a configuration, without which the process does not become ready
 */
async function startRouter(
  world: HostileWorld,
  memoryMb: number,
  descriptors: number,
  isConfigured: boolean,
): Promise<void> {
  const store = new FakeStore();
  const storeAddress = await store.listen();
  const base = configuration(1);
  if (isConfigured) {
    store.put('op', 'config', {
      ...base,
      limits: { ...base.limits, max_body_bytes: MAX_BODY_BYTES },
    });
  }
  world.hostileStore = store;
  world.victims = [
    new FakeBackendServer('plain-1', 'plain', 'a', '', store),
    new FakeBackendServer('plain-2', 'plain', 'a', '', store),
  ];
  for (const server of world.victims) await server.listen();
  world.crowd = new HostileCrowd();
  world.callers = [];
  const folder = mkdtempSync(path.join(tmpdir(), 'hostile-'));
  world.hostileRouter = new RouterProcess('router-1', 'a', folder);
  await world.hostileRouter.configure(storeAddress, [], {
    processorShare: 0.675,
    processorSpeed: 1,
    linkMbps: 1000,
    memoryMb,
    descriptors,
  });
  world.hostileRouter.start(deployedFlags());
  if (isConfigured) await waitUntilServed(world, READY_MS);
  else await waitUntilListening(world);
  world.mostDescriptors = 0;
  world.peakMemoryMb = 0;
  world.descriptorSampler = setInterval(() => sample(world), SAMPLE_MS);
}

Given(
  'a router process on a machine of {int} MB and {int} descriptors',
  { timeout: STEP_LIMIT_MS },
  async function set(this: HostileWorld, memoryMb: number, descriptors: number) {
    await startRouter(this, memoryMb, descriptors, true);
  },
);

Given(
  'a router process on a machine of {int} MB and {int} descriptors, whose store has no configuration',
  { timeout: STEP_LIMIT_MS },
  async function set(this: HostileWorld, memoryMb: number, descriptors: number) {
    await startRouter(this, memoryMb, descriptors, false);
  },
);

When(
  /^(\d+ )?clients at "(.+)" (connect|send|stop|read)( .+)$/,
  { timeout: STEP_LIMIT_MS },
  async function run(
    this: HostileWorld,
    count: string | null,
    doorName: string,
    verb: string,
    rest: string,
  ) {
    const door = DOORS[doorName];
    const address = this.hostileRouter.listeners[door.listener];
    const way = WAYS[verb + rest] ?? CHUNKED_WAYS[verb + rest];
    assert.ok(way !== undefined, `no clients ${verb}${rest}`);
    await this.crowd.begin(way, door, address, Number(count ?? 0));
    await pause(CROWD_MS);
  },
);

Then(
  'an ordinary request and a readiness probe are answered, while the crowd stays',
  { timeout: STEP_LIMIT_MS },
  async function check(this: HostileWorld) {
    await waitUntilServed(this, ORDINARY_MS);
  },
);

Then(
  'the process runs on, and never had more than {int} MB or {int} descriptors',
  function check(this: HostileWorld, memoryMb: number, descriptors: number) {
    sample(this);
    assert.ok(this.hostileRouter.isRunning, 'the process has ended');
    assert.ok(this.peakMemoryMb > 0 && this.peakMemoryMb <= memoryMb, `${this.peakMemoryMb} MB`);
    assert.ok(this.mostDescriptors <= descriptors, `${this.mostDescriptors} descriptors`);
  },
);

When(
  /^a lawful caller (sends .+)$/,
  { timeout: STEP_LIMIT_MS },
  async function run(this: HostileWorld, request: string) {
    for (const victim of this.victims) victim.runs.length = 0;
    const caller = new LawfulCaller(this.hostileRouter.callersAddress);
    this.callers.push(caller);
    await caller.send(REQUESTS[request]);
  },
);

When(
  '{int} callers send a request, wait for {int} seconds and send another one on the same connections',
  { timeout: STEP_LIMIT_MS },
  async function run(this: HostileWorld, count: number, seconds: number) {
    for (const victim of this.victims) victim.runs.length = 0;
    for (let number = 0; number < count; number += 1) {
      this.callers.push(new LawfulCaller(this.hostileRouter.callersAddress));
      await this.callers[number].sendShort(`first-${number}`);
      await pause(1);
    }
    await pause(seconds * 1000);
    for (const [number, caller] of this.callers.entries()) {
      await caller.sendShort(`second-${number}`);
      await pause(1);
    }
  },
);

Then(
  '{int} answers come, all complete, and servers got each request whole',
  { timeout: STEP_LIMIT_MS },
  async function check(this: HostileWorld, count: number) {
    const answers = (): number => this.callers.reduce((sum, caller) => sum + caller.answers, 0);
    const endsAt = performance.now() + ORDINARY_MS;
    while (answers() < count && performance.now() < endsAt) await pause(100);
    assert.equal(answers(), count);
    const runs = this.victims.flatMap((victim) => victim.runs);
    assert.equal(runs.filter(({ headers }) => headers[LAST_HEADER] === '1').length, count);
  },
);

Then('no connection was closed to stay within a bound', async function check(this: HostileWorld) {
  const response = await fetch(`http://${this.hostileRouter.listeners.metrics}/metrics`);
  const text = await response.text();
  assert.ok(text.includes('acaciadrum_open_requests'));
  assert.ok(!text.includes('acaciadrum_connections_closed_total'), text);
});

After(async function stop(this: HostileWorld) {
  if (this.hostileRouter === undefined) return;
  this.log(`${Math.round(this.peakMemoryMb)} MB, ${this.mostDescriptors} descriptors`);
  clearInterval(this.descriptorSampler);
  this.crowd.dispose();
  for (const caller of this.callers) caller.dispose();
  await this.hostileRouter.dispose();
  for (const server of this.victims) server.stop();
  this.hostileStore.close();
});
