import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { FakeBackendServer, type Refusal } from './FakeBackendServer.js';
import { FakeStore, StoreFault } from './FakeStore.js';
import { pause } from './Ports.js';
import {
  sendRequest,
  startRouter,
  type ReceivedStatus,
  type StartedRouter,
} from './RouterFixture.js';
import { configuration, RoutePath } from './SampleConfiguration.js';

/** Servers of one service behind instances that have answered requests. */
export interface AnsweringWorld {
  fleetStore: FakeStore;
  fleetServers: FakeBackendServer[];
  fleetRouters: StartedRouter[];
  /** The server whose answers are special. */
  special: FakeBackendServer;
  received: ReceivedStatus[];
  restartedAt: number;
}

const READY_MS = 10_000;

/** Time from a request's arrival at an instance to that at a server, and back, in milliseconds. */
const ON_THE_WAY_MS = 100;

const PATHS: Readonly<Record<string, RoutePath>> = {
  engine: RoutePath.Stream,
  plain: RoutePath.Read,
};

const ACCELERATORS: Readonly<Record<string, string>> = { engine: 'whole', plain: '' };

/** Answers of servers by their names in scenarios; requests run if there is none. */
const REFUSALS: Readonly<Record<string, Refusal | undefined>> = {
  whole: undefined,
  refused: { status: 503, headers: { 'x-not-executed': '1' } },
  failed: { status: 500, headers: { 'x-server-seal': 'seal' } },
};

function send(address: string, id: string, service: string): Promise<ReceivedStatus> {
  return sendRequest(address, id, PATHS[service], { 'x-token-count': '120,24' });
}

Given(
  'a store, {int} {word} servers and {int} router instances that have answered',
  { timeout: 2 * READY_MS },
  async function set(this: AnsweringWorld, servers: number, service: string, instances: number) {
    this.fleetStore = new FakeStore();
    const storeAddress = await this.fleetStore.listen();
    this.fleetStore.put('op', 'config', configuration(3));
    this.fleetServers = [];
    for (let index = 0; index < servers; index += 1) {
      const server = new FakeBackendServer(
        `s${index}`,
        service,
        'a',
        ACCELERATORS[service],
        this.fleetStore,
      );
      this.fleetServers.push(server);
      await server.listen();
    }
    [this.special] = this.fleetServers;
    this.fleetRouters = [];
    for (let index = 0; index < instances; index += 1)
      this.fleetRouters.push(await startRouter(`router-${index}`, storeAddress, []));
    const endsAt = performance.now() + READY_MS;
    for (const { callers } of this.fleetRouters) {
      while ((await send(callers, 'warm', service)).status !== 200) {
        assert.ok(performance.now() < endsAt, `no answer within ${READY_MS} ms`);
        await pause(50);
      }
    }
    // All servers hold their layers and the instances know each other.
    await pause(1500);
  },
);

Given('the store falls silent', function run(this: AnsweringWorld) {
  this.fleetStore.fault = StoreFault.Silent;
  this.fleetStore.silenceConnections();
});

When(
  'a server begins to say that it is leaving, in {word} answers',
  function run(this: AnsweringWorld, answers: string) {
    this.special.saysLeaving = true;
    this.special.refusal = REFUSALS[answers];
  },
);

When('that server restarts', async function run(this: AnsweringWorld) {
  this.special.crash();
  this.special.saysLeaving = false;
  await this.special.restart();
  this.restartedAt = performance.now();
});

When(
  'for {int} seconds {int} requests a second to the {word} service arrive at instance {}',
  { timeout: 30_000 },
  async function run(
    this: AnsweringWorld,
    seconds: number,
    rate: number,
    service: string,
    instances: string,
  ) {
    const numbers = instances.split(' and ').map(Number);
    const startedAt = performance.now();
    const pending: Promise<ReceivedStatus>[] = [];
    for (let count = 0; performance.now() < startedAt + seconds * 1000; count += 1) {
      const number = numbers[count % numbers.length];
      const { callers } = this.fleetRouters[number - 1];
      pending.push(send(callers, `instance-${number}-${count}`, service));
      await pause(Math.max(0, startedAt + ((count + 1) * 1000) / rate - performance.now()));
    }
    this.received = await Promise.all(pending);
  },
);

Then('a server told of its leaving', function check(this: AnsweringWorld) {
  assert.ok(this.special.arrivals.some(({ saidLeaving }) => saidLeaving));
});

Then(
  'it gets no request that arrives later than {int} ms after that',
  function check(this: AnsweringWorld, ms: number) {
    const { arrivals } = this.special;
    const saidAt = arrivals.find(({ saidLeaving }) => saidLeaving)?.at ?? Infinity;
    const late = arrivals.filter(({ at }) => at > saidAt + ms + ON_THE_WAY_MS);
    assert.deepEqual(
      late.map(({ at }) => Math.round(at - saidAt)),
      [],
    );
  },
);

Then(
  'the other servers answer at least {int} in 100 of the requests',
  function check(this: AnsweringWorld, percentage: number) {
    const answered = this.received.filter(({ status, isComplete }) => status === 200 && isComplete);
    const share = (100 * answered.length) / this.received.length;
    assert.ok(share >= percentage, `${share} in 100`);
  },
);

Then('the new process gets requests', function check(this: AnsweringWorld) {
  assert.ok(this.special.arrivals.some(({ at }) => at > this.restartedAt));
});

After(function stop(this: AnsweringWorld) {
  if (this.fleetStore === undefined) return;
  for (const { router } of this.fleetRouters) router.dispose();
  for (const server of this.fleetServers) server.stop();
  this.fleetStore.close();
});
