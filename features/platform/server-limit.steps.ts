import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import {
  sendRequest,
  startRouter,
  type ReceivedStatus,
  type StartedRouter,
} from './RouterFixture.js';
import { configuration, RoutePath } from './SampleConfiguration.js';

interface LimitWorld {
  limitStore: FakeStore;
  limitedServers: FakeBackendServer[];
  limitFleet: StartedRouter[];
  startedAt: number;
  received: ReceivedStatus[];
}

const READY_MS = 10_000;

const PATHS: Readonly<Record<string, RoutePath>> = {
  engine: RoutePath.Stream,
  plain: RoutePath.Book,
};

const ACCELERATORS: Readonly<Record<string, string>> = { engine: 'whole', plain: '' };

function send(address: string, id: string, service: string): Promise<ReceivedStatus> {
  return sendRequest(address, id, PATHS[service], { 'x-token-count': '120,24' });
}

Given(
  'a store, {int} {word} servers of which {int} name a limit of {int} requests a second, and {int} router instances',
  { timeout: 2 * READY_MS },
  async function set(
    this: LimitWorld,
    servers: number,
    service: string,
    limited: number,
    limit: number,
    instances: number,
  ) {
    this.limitStore = new FakeStore();
    const storeAddress = await this.limitStore.listen();
    this.limitStore.put('op', 'config', configuration(3));
    this.limitedServers = [];
    for (let index = 0; index < servers; index += 1) {
      const accelerator = ACCELERATORS[service];
      const server = new FakeBackendServer(`s${index}`, service, 'a', accelerator, this.limitStore);
      this.limitedServers.push(server);
      await server.listen();
    }
    this.limitFleet = [];
    for (let index = 0; index < instances; index += 1)
      this.limitFleet.push(await startRouter(`router-${index}`, storeAddress, []));
    const endsAt = performance.now() + READY_MS;
    for (const { callers } of this.limitFleet) {
      while ((await send(callers, 'warm', service)).status !== 200) {
        assert.ok(performance.now() < endsAt, `no answer within ${READY_MS} ms`);
        await pause(50);
      }
    }
    // All servers hold their layers before the limits begin.
    await pause(1000);
    for (const server of this.limitedServers.slice(0, limited)) server.requestLimit = limit;
  },
);

When(
  'for {int} seconds {int} requests a second to the {word} service arrive at every instance in turn',
  { timeout: 30_000 },
  async function run(this: LimitWorld, seconds: number, rate: number, service: string) {
    this.startedAt = performance.now();
    const pending: Promise<ReceivedStatus>[] = [];
    for (let count = 0; performance.now() < this.startedAt + seconds * 1000; count += 1) {
      const { callers } = this.limitFleet[count % this.limitFleet.length];
      pending.push(send(callers, `r${count}`, service));
      await pause(Math.max(0, this.startedAt + ((count + 1) * 1000) / rate - performance.now()));
    }
    this.received = await Promise.all(pending);
  },
);

Then(
  'from {int} s after the first answer no server that named its limit gets more than one and a half times that and {int} requests in any {int} s',
  function check(this: LimitWorld, seconds: number, extra: number, windowS: number) {
    const limited = this.limitedServers.filter(({ requestLimit }) => requestLimit !== undefined);
    assert.ok(limited.some(({ runs }) => runs.some(({ at }) => at >= this.startedAt)));
    for (const { requestLimit = 0, runs } of limited) {
      const named = runs.find(({ at }) => at >= this.startedAt);
      if (named === undefined) continue;
      const times = runs.map(({ at }) => at).filter((at) => at > named.at + seconds * 1000);
      const allowed = 1.5 * requestLimit * windowS + extra;
      for (const from of times) {
        const count = times.filter((at) => at >= from && at < from + windowS * 1000).length;
        assert.ok(count <= allowed, `${count} requests, allowed ${allowed}`);
      }
    }
  },
);

Then(
  'at least {int} in 100 of the requests are answered',
  function check(this: LimitWorld, percentage: number) {
    const answered = this.received.filter(({ status, isComplete }) => status === 200 && isComplete);
    const share = (100 * answered.length) / this.received.length;
    assert.ok(share >= percentage, `${share} in 100`);
  },
);

Then(
  'each refusal says when to return, within {int} ms',
  function check(this: LimitWorld, most: number) {
    for (const { status, retryAfter, ms } of this.received) {
      if (status === 200) continue;
      assert.equal(status, 503);
      assert.ok(Number(retryAfter) > 0, `retry-after ${retryAfter}`);
      assert.ok(ms < most, `${ms} ms`);
    }
  },
);

After(function stop(this: LimitWorld) {
  if (this.limitStore === undefined) return;
  for (const { router } of this.limitFleet) router.dispose();
  for (const server of this.limitedServers) server.stop();
  this.limitStore.close();
});
