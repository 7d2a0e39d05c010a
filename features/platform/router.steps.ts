import assert from 'node:assert/strict';
import { request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { StructuredLog } from '../../src/adapters/logs/StructuredLog.js';
import { RouterInstance } from '../../src/router/RouterInstance.js';
import { ROUTER_SETTINGS } from '../../src/router/Settings.js';
import { configuration } from './SampleConfiguration.js';
import { freeAddress, pause } from './Ports.js';
import { AnswerStyle, coversLayers, FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore, StoreFault } from './FakeStore.js';

interface Got {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  ended: boolean;
}

interface RouterWorld {
  store: FakeStore;
  storeAddress: string;
  engines: FakeBackendServer[];
  plains: FakeBackendServer[];
  routers: RouterInstance[];
  callers: string;
  readiness: string;
  peers: string;
  got: Got;
  stopped: Promise<void> | undefined;
}

/** Time in which a fresh instance is ready and its servers hold their layers, in milliseconds. */
const READY_MS = 8000;

const KINDS = ['whole', 'whole', 'whole'];

async function startRouter(
  world: RouterWorld,
  name: string,
  seeds: string[],
): Promise<RouterInstance> {
  world.callers = await freeAddress();
  world.readiness = await freeAddress();
  const peers = await freeAddress();
  const settings = ROUTER_SETTINGS.parse({
    instance: name,
    failureDomain: 'a',
    callers: { address: world.callers },
    readiness: { address: world.readiness },
    peers: { address: peers, seeds },
    metrics: { address: await freeAddress() },
    store: { address: world.storeAddress },
    bounds: {
      drainMs: 2000,
      stopGraceS: 8,
      retryShare: 0.2,
      retrySlack: 196,
      retryWindowS: 10,
    },
  });
  const router = new RouterInstance(settings, new StructuredLog(name, '/dev/null'));
  await router.start();
  world.routers.push(router);
  if (world.peers === '') world.peers = peers;
  return router;
}

interface Ask {
  readonly path: string;
  readonly key?: string;
  readonly id?: string;
  readonly onEvents?: { count: number; run: () => void };
}

function ask(
  world: RouterWorld,
  { path, key = 'key-1', id = 'id-1', onEvents }: Ask,
): Promise<Got> {
  return new Promise((resolve) => {
    const got: Got = { status: 0, headers: {}, body: '', ended: false };
    const outgoing = httpRequest(
      {
        ...hostAndPort(world.callers),
        method: 'POST',
        path,
        agent: false,
        headers: {
          host: 'host',
          'x-attempt-id': id,
          'x-deadline-ms': '4000',
          'x-token-count': '800,24',
          ...(key !== 'none' && { authorization: `Token ${key}` }),
        },
      },
      (message) => {
        got.status = message.statusCode ?? 0;
        got.headers = message.headers;
        let isTold = false;
        message.on('data', (chunk: Buffer) => {
          got.body += chunk.toString();
          if (onEvents === undefined || isTold) return;
          if (countEvents(got.body) < onEvents.count) return;
          isTold = true;
          onEvents.run();
        });
        message.on('end', () => {
          got.ended = message.complete;
          resolve(got);
        });
        message.on('error', () => resolve(got));
      },
    );
    outgoing.on('error', () => resolve(got));
    outgoing.end('body');
  });
}

function countEvents(body: string): number {
  return [...body.matchAll(/data: event/g)].length;
}

async function until(limitMs: number, isDone: () => Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    if (await isDone()) return;
    await pause(50);
  }
  assert.fail(`not within ${limitMs} ms`);
}

Given(
  'a store, three engine servers, two plain servers and a router instance',
  { timeout: 2 * READY_MS },
  async function set(this: RouterWorld) {
    this.store = new FakeStore();
    this.storeAddress = await this.store.listen();
    this.store.put('op', 'config', configuration(3));
    this.routers = [];
    this.peers = '';
    this.engines = KINDS.map(
      (kind, index) => new FakeBackendServer(`engine-${index}`, 'engine', 'a', kind, this.store),
    );
    this.plains = ['plain-0', 'plain-1'].map(
      (id) => new FakeBackendServer(id, 'plain', 'a', '', this.store),
    );
    for (const server of [...this.engines, ...this.plains]) await server.listen();
    await startRouter(this, 'router-1', []);
    await until(READY_MS, async () => {
      const tried = await ask(this, { path: '/stream/warm', id: 'warm' });
      return tried.status === 200;
    });
  },
);

After(async function stop(this: RouterWorld) {
  if (this.store === undefined) return;
  await this.stopped;
  for (const router of this.routers) router.dispose();
  for (const server of [...this.engines, ...this.plains]) server.crash();
  this.store.close();
});

When('a caller asks for a stream', async function run(this: RouterWorld) {
  this.got = await ask(this, { path: '/stream/1?q=1' });
});

Then(
  "it gets {int} events and a complete answer with the server's signature",
  function check(this: RouterWorld, events: number) {
    assert.equal(this.got.status, 200);
    const numbers = [...this.got.body.matchAll(/id: (\d+)/g)].map(([, number]) => Number(number));
    assert.deepEqual(
      numbers,
      Array.from({ length: events }, (_, index) => index + 1),
    );
    assert.ok(this.got.ended);
    assert.equal(this.got.headers['x-server-seal'], 'seal');
  },
);

Then(
  'the server saw the account, the time left and its own id, and no key',
  function check(this: RouterWorld) {
    const headers = this.engines.flatMap(({ runs }) => runs).at(-1)?.headers;
    assert.ok(headers);
    assert.equal(headers['x-tenant'], 'account');
    assert.equal(headers.authorization, undefined);
    assert.ok(Number(headers['x-deadline-ms']) <= 4000);
    assert.ok(coversLayers(String(headers['x-hop-count'])));
  },
);

When('the plain servers answer {string}', function set(this: RouterWorld, style: AnswerStyle) {
  for (const server of this.plains) server.style = style;
});

When('a caller books once', async function run(this: RouterWorld) {
  this.got = await ask(this, { path: '/book/1' });
});

Then('it gets status {int}', function check(this: RouterWorld, status: number) {
  assert.equal(this.got.status, status);
});

Then('the call ran at most once', function check(this: RouterWorld) {
  const runs = this.plains.flatMap((server) => server.runs);
  assert.ok(runs.length <= 1);
  if (this.got.status === 503) assert.equal(runs.length, 0);
});

When(
  'a caller asks for a stream and its first server crashes after {int} events',
  async function run(this: RouterWorld, count: number) {
    const crash = () => {
      const running = this.engines.find((server) => server.runs.some(({ id }) => id === 'id-1'));
      running?.crash();
    };
    this.got = await ask(this, { path: '/stream/1', onEvents: { count, run: crash } });
  },
);

When('the stand-in store {string}', function set(this: RouterWorld, fault: StoreFault) {
  this.store.fault = fault;
});

When(
  'a caller asks for {string} with key {string}',
  async function run(this: RouterWorld, path: string, key: string) {
    this.got = await ask(this, { path, key });
  },
);

When(
  'the operator moves key {string} to {string} in version {int}, and version {int} is written after it',
  function run(this: RouterWorld, _old: string, key: string, version: number, stale: number) {
    this.store.put('op', 'config', configuration(version, key));
    this.store.put('op', 'config', configuration(stale));
  },
);

Then(
  'within {int} seconds a caller with {string} is served and one with {string} gets status {int}',
  async function check(
    this: RouterWorld,
    seconds: number,
    served: string,
    refused: string,
    status: number,
  ) {
    await until(seconds * 1000, async () => {
      const good = await ask(this, { path: '/book/1', key: served });
      const bad = await ask(this, { path: '/book/1', key: refused });
      return good.status === 200 && bad.status === status;
    });
  },
);

When('the store gets entries that are no servers', async function run(this: RouterWorld) {
  this.store.putText('servers', 'engine-x', 'no json');
  this.store.put('servers', 'engine-y', { service: 'engine', address: 7, state: 'ready' });
  this.store.put('servers', 'engine-z', { service: 'engine', state: 'asleep' });
  await pause(300);
});

When('the first plain server says that it leaves', async function run(this: RouterWorld) {
  this.plains[0].announce('draining');
  await pause(500);
});

When(
  '{int} callers book within a second after that',
  async function run(this: RouterWorld, count: number) {
    const asks = Array.from({ length: count }, (_, index) =>
      ask(this, { path: '/book/1', id: `b${index}` }),
    );
    for (const { status } of await Promise.all(asks)) assert.equal(status, 200);
  },
);

Then('only the other plain server ran them', function check(this: RouterWorld) {
  assert.deepEqual(
    this.plains.map(({ runs }) => runs.length),
    [0, 10],
  );
});

When(
  'a caller asks for a stream and the instance is stopped after {int} events',
  async function run(this: RouterWorld, count: number) {
    const stop = () => {
      this.stopped = this.routers[0].stop();
    };
    this.got = await ask(this, { path: '/stream/1', onEvents: { count, run: stop } });
  },
);

Then(
  'the instance is not ready and takes no request',
  { timeout: 10_000 },
  async function check(this: RouterWorld) {
    await this.stopped;
    assert.equal((await ask(this, { path: '/book/1' })).status, 0);
  },
);

When('another instance starts with the first as its seed', async function run(this: RouterWorld) {
  await startRouter(this, 'router-2', [this.peers]);
});

Then(
  'within {int} seconds the other instance serves a stream',
  { timeout: 10_000 },
  async function check(this: RouterWorld, seconds: number) {
    await until(seconds * 1000, async () => {
      const { status, ended } = await ask(this, { path: '/stream/1', id: 'second' });
      return status === 200 && ended;
    });
  },
);
