import assert from 'node:assert/strict';
import { once } from 'node:events';
import { Agent, request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import { connect } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import type { RouterInstance } from '../../src/router/RouterInstance.js';
import { configuration } from './SampleConfiguration.js';
import { pause } from './Ports.js';
import { startRouter as startRouterInstance } from './RouterFixture.js';
import { AnswerStyle, coversLayers, FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore, StoreFault } from './FakeStore.js';

interface ReceivedAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  complete: boolean;
}

interface RouterWorld {
  store: FakeStore;
  storeAddress: string;
  engineServers: FakeBackendServer[];
  plainServers: FakeBackendServer[];
  routers: RouterInstance[];
  callerAddress: string;
  readinessAddress: string;
  peerAddress: string;
  answer: ReceivedAnswer;
  stopped: Promise<void> | undefined;
  /** Resident memory before an endless answer, in bytes. */
  memoryBefore: number;
  /** Memory taken since then, if a step has measured it, in bytes. */
  memoryTaken: number | undefined;
  askedAt: number;
}

/** Time within which a new instance is ready and its servers hold their layers, in milliseconds. */
const READY_MS = 8000;

/** Time within which an instance hears of a changed entry in the fake store, in milliseconds. */
const ENTRY_DELAY_MS = 1000;

/** Time after which a server that rejected several requests is used again, in milliseconds. */
const REST_MS = 3500;

/** Each engine server can hold the whole model. */
const ENGINE_ACCELERATORS = ['whole', 'whole', 'whole'];

async function startRouter(
  world: RouterWorld,
  name: string,
  seeds: string[],
): Promise<RouterInstance> {
  const started = await startRouterInstance(name, world.storeAddress, seeds);
  world.callerAddress = started.callers;
  world.readinessAddress = started.readiness;
  world.routers.push(started.router);
  if (world.peerAddress === '') world.peerAddress = started.peers;
  return started.router;
}

interface RequestOptions {
  readonly path: string;
  readonly key?: string;
  readonly id?: string;
  readonly agent?: Agent;
  readonly onEvents?: { count: number; run: () => void };
}

function sendRequest(
  world: RouterWorld,
  { path, key = 'key-1', id = 'id-1', agent, onEvents }: RequestOptions,
): Promise<ReceivedAnswer> {
  return new Promise((resolve) => {
    const answer: ReceivedAnswer = { status: 0, headers: {}, body: '', complete: false };
    const outgoing = httpRequest(
      {
        ...hostAndPort(world.callerAddress),
        method: 'POST',
        path,
        agent: agent ?? false,
        headers: {
          host: 'host',
          'x-attempt-id': id,
          'x-deadline-ms': '4000',
          'x-token-count': '800,24',
          ...(key !== 'none' && { authorization: `Token ${key}` }),
        },
      },
      (message) => {
        answer.status = message.statusCode ?? 0;
        answer.headers = message.headers;
        let hasRun = false;
        message.on('data', (chunk: Buffer) => {
          answer.body += chunk.toString();
          if (onEvents === undefined || hasRun) return;
          if (countEvents(answer.body) < onEvents.count) return;
          hasRun = true;
          onEvents.run();
        });
        message.on('end', () => {
          answer.complete = message.complete;
          resolve(answer);
        });
        message.on('error', () => resolve(answer));
      },
    );
    outgoing.on('error', () => resolve(answer));
    outgoing.end('body');
  });
}

function countEvents(body: string): number {
  return [...body.matchAll(/data: event/g)].length;
}

async function waitUntil(limitMs: number, isDone: () => Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    if (await isDone()) return;
    await pause(50);
  }
  assert.fail(`The condition did not hold within ${limitMs} ms.`);
}

Given(
  'a store, three engine servers, two plain servers and a router instance',
  { timeout: 2 * READY_MS },
  async function set(this: RouterWorld) {
    this.store = new FakeStore();
    this.storeAddress = await this.store.listen();
    this.store.put('op', 'config', configuration(3));
    this.routers = [];
    this.peerAddress = '';
    this.engineServers = ENGINE_ACCELERATORS.map(
      (kind, index) => new FakeBackendServer(`engine-${index}`, 'engine', 'a', kind, this.store),
    );
    this.plainServers = ['plain-0', 'plain-1'].map(
      (id) => new FakeBackendServer(id, 'plain', 'a', '', this.store),
    );
    for (const server of [...this.engineServers, ...this.plainServers]) await server.listen();
    await startRouter(this, 'router-1', []);
    await waitUntil(READY_MS, async () => {
      const tried = await sendRequest(this, { path: '/stream/warm', id: 'warm' });
      return tried.status === 200;
    });
  },
);

After(async function stop(this: RouterWorld) {
  if (this.store === undefined) return;
  await this.stopped;
  for (const router of this.routers) router.dispose();
  for (const server of [...this.engineServers, ...this.plainServers]) server.crash();
  this.store.close();
});

Given(
  'the instance has heard of the layers of all engine servers',
  { timeout: 2 * READY_MS },
  async function set(this: RouterWorld) {
    await waitUntil(READY_MS, () =>
      Promise.resolve(this.engineServers.every(({ holdsLayers }) => holdsLayers)),
    );
    await pause(ENTRY_DELAY_MS);
  },
);

When('a caller requests a stream', { timeout: READY_MS }, async function run(this: RouterWorld) {
  this.answer = await sendRequest(this, { path: '/stream/1?q=1' });
});

Then(
  "the caller receives {int} events and a complete answer with the server's signature",
  function check(this: RouterWorld, events: number) {
    assert.equal(this.answer.status, 200);
    const numbers = [...this.answer.body.matchAll(/id: (\d+)/g)].map(([, number]) =>
      Number(number),
    );
    assert.deepEqual(
      numbers,
      Array.from({ length: events }, (_, index) => index + 1),
    );
    assert.ok(this.answer.complete);
    assert.equal(this.answer.headers['x-server-seal'], 'seal');
  },
);

Then(
  'the server received the account, the remaining time, its own id and the route, but no key',
  function check(this: RouterWorld) {
    const headers = this.engineServers.flatMap(({ runs }) => runs).at(-1)?.headers;
    // A server records a run only if `x-expect-instance` is its own id.
    assert.ok(headers);
    assert.equal(headers['x-tenant'], 'account');
    assert.equal(headers.authorization, undefined);
    assert.ok(Number(headers['x-deadline-ms']) <= 4000);
    assert.ok(coversLayers(String(headers['x-hop-count'])));
  },
);

const ENDLESS_SERVERS: Readonly<Record<string, (world: RouterWorld) => FakeBackendServer[]>> = {
  plain: (world) => world.plainServers,
  engine: (world) => world.engineServers,
};

When(
  'the {word} servers answer {string}',
  function set(this: RouterWorld, servers: string, style: AnswerStyle) {
    for (const server of ENDLESS_SERVERS[servers](this)) server.style = style;
    this.memoryBefore = process.memoryUsage().rss;
    this.askedAt = performance.now();
  },
);

When(
  'the engine servers answer {string}, until one has broken a stream off',
  function set(this: RouterWorld, style: AnswerStyle) {
    for (const server of this.engineServers) {
      server.style = style;
      server.onBreakOff = () => {
        for (const other of this.engineServers) other.style = AnswerStyle.Whole;
      };
    }
  },
);

When(
  'the engine servers reject a stream each, and then answer {string}',
  { timeout: 2 * READY_MS },
  async function run(this: RouterWorld, style: AnswerStyle) {
    for (const server of this.engineServers) server.style = AnswerStyle.Rejected;
    // A server that rejected a request rests, so that each of some requests meets another one.
    for (let index = 0; index < 2 * this.engineServers.length; index += 1) {
      const { status } = await sendRequest(this, { path: '/stream/1', id: `rejected-${index}` });
      assert.equal(status, 503);
    }
    for (const server of this.engineServers) server.style = style;
    await pause(REST_MS);
  },
);

Then(
  'the answer ends between {int} and {int} ms after the request',
  function check(this: RouterWorld, least: number, most: number) {
    const ms = performance.now() - this.askedAt;
    assert.ok(ms >= least && ms <= most, `${ms} ms`);
  },
);

Then('an earlier rejection was repeated', function check(this: RouterWorld) {
  assert.ok(this.engineServers.some(({ repetitions }) => repetitions > 0));
});

When(
  'for {int} ms a caller requests a stream and reads nothing',
  async function run(this: RouterWorld, ms: number) {
    const socket = connect(hostAndPort(this.callerAddress));
    await once(socket, 'connect');
    socket.pause();
    socket.write(
      'POST /stream/1 HTTP/1.1\r\nhost: host\r\nauthorization: Token key-1\r\nx-attempt-id: id-1\r\nx-deadline-ms: 8000\r\nx-token-count: 800,24\r\ncontent-length: 4\r\n\r\nbody',
    );
    await pause(ms);
    this.memoryTaken = process.memoryUsage().rss - this.memoryBefore;
    socket.destroy();
  },
);

Then('at most {int} servers have run it', function check(this: RouterWorld, most: number) {
  const ran = this.engineServers.filter(({ runs }) => runs.some(({ id }) => id === 'id-1'));
  assert.ok(ran.length >= 1 && ran.length <= most, `${ran.length} servers`);
});

Then(
  'the caller receives the first events in order and nothing else, and an answer that is not complete',
  function check(this: RouterWorld) {
    const { body, complete } = this.answer;
    const events = countEvents(body);
    let expected = '';
    for (let number = 1; number <= events; number += 1)
      expected += `id: ${number}\ndata: event ${number}\n\n`;
    assert.equal(body, expected);
    assert.ok(events >= 4);
    assert.equal(complete, false);
  },
);

Then(
  'the caller receives status {int} within {int} ms, with reason {string}',
  function check(this: RouterWorld, status: number, ms: number, reason: string) {
    assert.equal(this.answer.status, status);
    assert.ok(performance.now() - this.askedAt < ms, `${performance.now() - this.askedAt} ms`);
    const { error } = JSON.parse(this.answer.body) as { error: { reason: string } };
    assert.equal(error.reason, reason);
  },
);

Then(
  'within {int} ms no {word} server has a connection that is still busy',
  async function check(this: RouterWorld, ms: number, servers: string) {
    const list = ENDLESS_SERVERS[servers](this);
    await waitUntil(ms, () => Promise.resolve(list.every(({ isFlooding }) => !isFlooding)));
  },
);

Then(
  'the process has taken less than {int} MB more',
  function check(this: RouterWorld, mb: number) {
    const bytes = this.memoryTaken ?? process.memoryUsage().rss - this.memoryBefore;
    const taken = bytes / 1e6;
    assert.ok(taken < mb, `${taken} MB`);
  },
);

When('a caller sends one non-idempotent request', async function run(this: RouterWorld) {
  this.answer = await sendRequest(this, { path: '/book/1' });
});

Then('the caller receives status {int}', function check(this: RouterWorld, status: number) {
  assert.equal(this.answer.status, status);
});

Then('{int} servers have run it', function check(this: RouterWorld, count: number) {
  const ran = this.engineServers.filter(({ runs }) => runs.some(({ id }) => id === 'id-1'));
  assert.equal(ran.length, count);
});

Then('the request ran at most once', function check(this: RouterWorld) {
  const runs = this.plainServers.flatMap((server) => server.runs);
  assert.ok(runs.length <= 1);
  if (this.answer.status === 503) assert.equal(runs.length, 0);
});

When(
  'a caller requests a stream and its first server crashes after {int} events',
  async function run(this: RouterWorld, count: number) {
    const crash = () => {
      const running = this.engineServers.find((server) =>
        server.runs.some(({ id }) => id === 'id-1'),
      );
      running?.crash();
    };
    this.answer = await sendRequest(this, { path: '/stream/1', onEvents: { count, run: crash } });
  },
);

When('the fake store has the fault {string}', function set(this: RouterWorld, fault: StoreFault) {
  this.store.fault = fault;
});

When('the open connections to the store fall silent', function set(this: RouterWorld) {
  this.store.silenceConnections();
});

When(
  'a caller requests {string} with key {string}',
  async function run(this: RouterWorld, path: string, key: string) {
    this.answer = await sendRequest(this, { path, key });
  },
);

When(
  'the operator replaces key {string} with {string} in version {int}, and version {int} is written afterwards',
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
    await waitUntil(seconds * 1000, async () => {
      const good = await sendRequest(this, { path: '/book/1', key: served });
      const bad = await sendRequest(this, { path: '/book/1', key: refused });
      return good.status === 200 && bad.status === status;
    });
  },
);

When('invalid entries are written to the servers table', async function run(this: RouterWorld) {
  this.store.putText('servers', 'engine-x', 'no json');
  this.store.put('servers', 'engine-y', { service: 'engine', address: 7, state: 'ready' });
  this.store.put('servers', 'engine-z', { service: 'engine', state: 'asleep' });
  await pause(300);
});

When('the first plain server announces that it is leaving', async function run(this: RouterWorld) {
  this.plainServers[0].announce('draining');
  await pause(500);
});

When(
  '500 ms later {int} callers send non-idempotent requests',
  async function run(this: RouterWorld, count: number) {
    const requests = Array.from({ length: count }, (_, index) =>
      sendRequest(this, { path: '/book/1', id: `b${index}` }),
    );
    for (const { status } of await Promise.all(requests)) assert.equal(status, 200);
  },
);

Then('only the other plain server ran them', function check(this: RouterWorld) {
  assert.deepEqual(
    this.plainServers.map(({ runs }) => runs.length),
    [0, 10],
  );
});

When(
  'a caller requests a stream and the instance is stopped after {int} events',
  async function run(this: RouterWorld, count: number) {
    const stop = () => {
      this.stopped = this.routers[0].stop();
    };
    this.answer = await sendRequest(this, { path: '/stream/1', onEvents: { count, run: stop } });
  },
);

When(
  'the instance is stopped while a slow stream runs, and {int} ms later a caller sends one non-idempotent request on an open connection',
  { timeout: READY_MS },
  async function run(this: RouterWorld, ms: number) {
    for (const server of this.engineServers) server.style = AnswerStyle.Slow;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const opened = await sendRequest(this, { path: '/read/1', id: 'opened', agent });
    assert.equal(opened.status, 200);
    const stop = () => {
      this.stopped = this.routers[0].stop();
    };
    const stream = sendRequest(this, { path: '/stream/1', onEvents: { count: 1, run: stop } });
    await pause(ms);
    this.answer = await sendRequest(this, { path: '/book/1', id: 'late', agent });
    assert.equal((await stream).complete, true);
    agent.destroy();
  },
);

Then(
  'the caller receives status {int} or no connection, and no server has run it',
  function check(this: RouterWorld, status: number) {
    assert.ok([status, 0].includes(this.answer.status), `status ${this.answer.status}`);
    assert.ok(this.plainServers.every(({ runs }) => runs.every(({ id }) => id !== 'late')));
  },
);

Then(
  'the instance accepts no requests',
  { timeout: 10_000 },
  async function check(this: RouterWorld) {
    await this.stopped;
    assert.equal((await sendRequest(this, { path: '/book/1' })).status, 0);
  },
);

When('another instance starts with the first as its seed', async function run(this: RouterWorld) {
  await startRouter(this, 'router-2', [this.peerAddress]);
});

Then(
  'within {int} seconds the other instance serves a stream',
  { timeout: 10_000 },
  async function check(this: RouterWorld, seconds: number) {
    await waitUntil(seconds * 1000, async () => {
      const { status, complete } = await sendRequest(this, { path: '/stream/1', id: 'second' });
      return status === 200 && complete;
    });
  },
);
