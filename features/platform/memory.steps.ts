import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtempSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { RouterProcess } from '../soak/RouterProcess.js';
import { FakeBackendServer, LARGE_ANSWER_HEADER } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, type ReceivedStatus } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface MemoryWorld {
  memoryStore: FakeStore;
  memoryServers: FakeBackendServer[];
  memoryRouter: RouterProcess;
  hoarders: Socket[];
  soundAnswers: ReceivedStatus[];
}

const READY_MS = 15_000;

/** Limit of bodies on the users' sheets, in bytes. */
const MAX_BODY_BYTES = 4_194_304;

const BODY_BYTES = 4_000_000;

const SENT_BODY_BYTES = 3_900_000;

const SOUND_INTERVAL_MS = 20;

const STREAM_HEADERS = { 'x-token-count': '800,24' };

async function isServing(address: string): Promise<boolean> {
  const read = await sendRequest(address, 'warm-read', '/read/', {});
  const stream = await sendRequest(address, 'warm-stream', '/stream/', STREAM_HEADERS);
  return read.status === 200 && stream.status === 200;
}

Given(
  'a router process on a machine of {int} MB, with engine and plain servers',
  { timeout: 2 * READY_MS },
  async function set(this: MemoryWorld, memoryMb: number) {
    const store = new FakeStore();
    const address = await store.listen();
    const base = configuration(1);
    store.put('op', 'config', {
      ...base,
      limits: { ...base.limits, max_body_bytes: MAX_BODY_BYTES },
    });
    this.memoryStore = store;
    this.memoryServers = [
      new FakeBackendServer('engine-1', 'engine', 'a', 'whole', store),
      new FakeBackendServer('engine-2', 'engine', 'a', 'whole', store),
      new FakeBackendServer('plain-1', 'plain', 'a', '', store),
      new FakeBackendServer('plain-2', 'plain', 'a', '', store),
    ];
    for (const server of this.memoryServers) await server.listen();
    this.hoarders = [];
    const folder = mkdtempSync(path.join(tmpdir(), 'memory-'));
    this.memoryRouter = new RouterProcess('router-1', 'a', folder);
    await this.memoryRouter.configure(address, [], {
      processorShare: 0.675,
      processorSpeed: 1,
      linkMbps: 1000,
      memoryMb,
    });
    this.memoryRouter.start();
    const endsAt = performance.now() + READY_MS;
    while (!(await isServing(this.memoryRouter.callersAddress))) {
      assert.ok(performance.now() < endsAt, 'the router did not become ready');
      await pause(100);
    }
  },
);

interface Hoarder {
  readonly head: (id: string) => string;
  readonly bodyBytes: number;
  readonly isReading: boolean;
}

function largeAnswerHead(style: string): (id: string) => string {
  return (id) =>
    `GET /read/1 HTTP/1.1\r\nhost: host\r\nauthorization: Token key-1\r\nx-attempt-id: ${id}\r\nx-deadline-ms: 20000\r\n${LARGE_ANSWER_HEADER}: ${style}\r\n\r\n`;
}

function largeBodyHead(authorization: string): (id: string) => string {
  return (id) =>
    `POST /read/1 HTTP/1.1\r\nhost: host\r\n${authorization}x-attempt-id: ${id}\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;
}

const HOARDERS: Readonly<Record<string, Hoarder>> = {
  'wait for plain answers that stop after 7.5 of 8 MB': {
    head: largeAnswerHead('stops inside'),
    bodyBytes: 0,
    isReading: true,
  },
  'do not read plain answers of 8 MB': {
    head: largeAnswerHead('whole'),
    bodyBytes: 0,
    isReading: false,
  },
  'without a key stop after 3.9 MB of a body of 4 MB': {
    head: largeBodyHead(''),
    bodyBytes: SENT_BODY_BYTES,
    isReading: true,
  },
  'with a key stop after 3.9 MB of a body of 4 MB': {
    head: largeBodyHead('authorization: Token key-1\r\n'),
    bodyBytes: SENT_BODY_BYTES,
    isReading: true,
  },
};

When(
  /^(\d+) callers ((?:wait|do not read|with(?:out)? a key).+)$/,
  async function run(this: MemoryWorld, count: string, load: string) {
    const { head, bodyBytes, isReading } = HOARDERS[load.trim()];
    for (let number = 0; number < Number(count); number += 1) {
      const socket = connect(hostAndPort(this.memoryRouter.callersAddress));
      // The router may close the connection of a message that keeps too much.
      socket.on('error', () => undefined);
      this.hoarders.push(socket);
      await once(socket, 'connect');
      if (isReading) socket.resume();
      socket.write(head(`hoarder-${number}`));
      if (bodyBytes > 0) socket.write(Buffer.alloc(bodyBytes, 'x'));
    }
  },
);

When(
  '{int} sound requests a second and {int} streams come for {int} seconds',
  { timeout: READY_MS },
  async function run(this: MemoryWorld, perSecond: number, streams: number, seconds: number) {
    const { callersAddress } = this.memoryRouter;
    const sent: Promise<ReceivedStatus>[] = [];
    const total = perSecond * seconds;
    for (let number = 0; number < total; number += 1) {
      sent.push(sendRequest(callersAddress, `read-${number}`, '/read/', {}));
      if (number % Math.floor(total / streams) === 0)
        sent.push(sendRequest(callersAddress, `stream-${number}`, '/stream/', STREAM_HEADERS));
      await pause(SOUND_INTERVAL_MS);
    }
    this.soundAnswers = await Promise.all(sent);
  },
);

Then('each sound request and stream was answered completely', function check(this: MemoryWorld) {
  const failed = this.soundAnswers.filter(
    ({ status, isComplete }) => status !== 200 || !isComplete,
  );
  assert.deepEqual(failed, []);
});

Then(
  'the process runs on, and never took more than {int} MB',
  function check(this: MemoryWorld, mb: number) {
    assert.ok(this.memoryRouter.isRunning);
    const peak = this.memoryRouter.peakMemoryMb;
    assert.ok(peak > 0 && peak <= mb, `${peak} MB`);
  },
);

After(async function stop(this: MemoryWorld) {
  if (this.memoryRouter === undefined) return;
  for (const socket of this.hoarders) socket.destroy();
  await this.memoryRouter.dispose();
  for (const server of this.memoryServers) server.stop();
  this.memoryStore.close();
});
