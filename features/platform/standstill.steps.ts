import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { RouterProcess } from '../soak/RouterProcess.js';
import { FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore, StoreFault } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, type ReceivedStatus } from './RouterFixture.js';
import { configuration, RoutePath } from './SampleConfiguration.js';

interface StandstillProcessWorld {
  standFolder: string;
  standStore: FakeStore;
  standServers: FakeBackendServer[];
  standRouters: RouterProcess[];
  suspended: RouterProcess;
  /** Keeps the connections to the process that is to be suspended. */
  kept: Agent;
  pending: Promise<ReceivedStatus>[];
  leftAt: number;
  wentOnAt: number;
  received: ReceivedStatus[];
}

const READY_MS = 10_000;

/** Time after which the instances have heard of each other and one of them is the hub, in milliseconds. */
const SETTLE_MS = 2000;

/** Interval of the requests to the suspended process, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;

/** Time from the server's leaving until the instances that run know of it, in milliseconds. */
const NEWS_MS = 400;

/** Time until a line of the log, which is written in parts, is in its file, in milliseconds. */
const LOG_MS = 3000;

/** Connections that are open before the process is suspended. */
const CONNECTIONS = 8;

type Leaving = (world: StandstillProcessWorld, running: RouterProcess) => Promise<void> | void;

/** Ways in which a server tells that it is leaving. */
const LEAVING: Readonly<Record<string, Leaving>> = {
  'the store': ({ standServers: [server] }) => server.announce('draining'),
  'its answers': async ({ standStore, standServers: [server] }, { callersAddress }) => {
    standStore.fault = StoreFault.Silent;
    standStore.silenceConnections();
    server.saysLeaving = true;
    while (!server.arrivals.some(({ saidLeaving }) => saidLeaving))
      await sendRequest(callersAddress, 'telling', RoutePath.Read, {});
  },
};

/** Sends a request to the process that is to be suspended, over a kept connection if one is free. */
function sendKept(
  { suspended, kept }: StandstillProcessWorld,
  id: string,
): Promise<ReceivedStatus> {
  return sendRequest(suspended.callersAddress, id, RoutePath.Read, {}, 'body', kept);
}

Given(
  'a store, {int} plain servers and {int} router processes that have answered',
  { timeout: 3 * READY_MS },
  async function set(this: StandstillProcessWorld, servers: number, instances: number) {
    this.standFolder = mkdtempSync(path.join(tmpdir(), 'standstill-'));
    this.standStore = new FakeStore();
    const storeAddress = await this.standStore.listen();
    this.standStore.put('op', 'config', configuration(3));
    this.standServers = [];
    for (let index = 0; index < servers; index += 1) {
      const server = new FakeBackendServer(`s${index}`, 'plain', 'a', '', this.standStore);
      this.standServers.push(server);
      await server.listen();
    }
    this.standRouters = [];
    for (let index = 0; index < instances; index += 1) {
      const router = new RouterProcess(`router-${index}`, 'a', this.standFolder);
      await router.configure(storeAddress, []);
      this.standRouters.push(router);
      router.start();
    }
    const endsAt = performance.now() + 2 * READY_MS;
    for (const { callersAddress } of this.standRouters) {
      while ((await sendRequest(callersAddress, 'warm', RoutePath.Read, {})).status !== 200) {
        assert.ok(performance.now() < endsAt, `no answer within ${2 * READY_MS} ms`);
        await pause(50);
      }
    }
    await pause(SETTLE_MS);
  },
);

When(
  'the {word} is suspended, a server leaves as {} tells, and for {int} ms requests arrive at the suspended process',
  { timeout: READY_MS },
  async function run(this: StandstillProcessWorld, paused: string, source: string, ms: number) {
    const index = paused === 'hub' ? 0 : 1;
    this.suspended = this.standRouters[index];
    this.kept = new Agent({ keepAlive: true });
    const opening: Promise<ReceivedStatus>[] = [];
    for (let count = 0; count < CONNECTIONS; count += 1)
      opening.push(sendKept(this, `opening-${count}`));
    await Promise.all(opening);
    this.suspended.signal('SIGSTOP');
    this.leftAt = performance.now();
    await LEAVING[source](this, this.standRouters[1 - index]);
    this.pending = [];
    await pause(NEWS_MS);
    while (performance.now() < this.leftAt + ms) {
      const id = `waiting-${this.pending.length}`;
      this.pending.push(sendKept(this, id));
      await pause(REQUEST_INTERVAL_MS);
    }
  },
);

When('the suspended process runs again', function run(this: StandstillProcessWorld) {
  this.wentOnAt = performance.now();
  this.suspended.signal('SIGCONT');
});

Then('the leaving server gets no request', async function check(this: StandstillProcessWorld) {
  this.received = await Promise.all(this.pending);
  assert.ok(this.received.length > 0);
  const late = this.standServers[0].arrivals.filter(({ id }) => id.startsWith('waiting-'));
  assert.deepEqual(
    late.map(({ id }) => id),
    [],
  );
});

Then(
  'every request gets an answer within {int} ms of running again',
  function check(this: StandstillProcessWorld, ms: number) {
    for (const { status, at } of this.received) {
      assert.equal(status, 200);
      assert.ok(at < this.wentOnAt + ms, `${Math.round(at - this.wentOnAt)} ms`);
    }
  },
);

Then(
  'its log says that it stood still: {string}',
  async function check(this: StandstillProcessWorld, outcome: string) {
    const endsAt = performance.now() + LOG_MS;
    let found: string | undefined;
    while (found === undefined && performance.now() < endsAt) {
      await pause(50);
      const lines = readFileSync(this.suspended.logFile, 'utf8').split('\n');
      found = lines.find((line) => line.includes('"msg":"standstill"'));
    }
    assert.ok(found?.includes(`"outcome":"${outcome}"`), found ?? 'no such line');
  },
);

After(async function stop(this: StandstillProcessWorld) {
  if (this.standStore === undefined) return;
  this.kept?.destroy();
  for (const router of this.standRouters) await router.dispose();
  for (const server of this.standServers) server.stop();
  this.standStore.close();
  rmSync(this.standFolder, { recursive: true, force: true });
});
