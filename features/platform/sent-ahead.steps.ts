import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { SystemClock } from '../../src/adapters/SystemClock.js';
import { ConnectionBudget } from '../../src/core/limits/ConnectionBudget.js';
import { InputTurns } from '../../src/core/limits/InputTurns.js';
import { MemoryBudget } from '../../src/core/limits/MemoryBudget.js';
import type { CallerReply } from '../../src/core/relay/Types.js';
import { Ingress } from '../../src/platform/Ingress.js';
import { answerHead } from '../core/FleetFixture.js';
import { pause } from './Ports.js';

interface AheadWorld {
  aheadIngress: Ingress;
  aheadAddress: string;
  isLeaving: boolean;
  /** Requests that were passed on and wait for their answers. */
  passedOn: { id: string; reply: CallerReply }[];
  /** Whether requests are answered as soon as they are passed on. */
  answersAtOnce: boolean;
  socket: Socket;
  received: string;
}

/** Time within which something on a loopback connection has happened, in milliseconds. */
const SETTLED_MS = 200;

function bodyOf(id: string): string {
  return `answer to ${id}`;
}

function beginAnswer(reply: CallerReply, id: string): void {
  reply.writeHead(answerHead({ headers: ['content-length', String(bodyOf(id).length)] }));
  reply.write(Buffer.from(bodyOf(id).slice(0, 6)));
}

function endAnswer(reply: CallerReply, id: string): void {
  reply.write(Buffer.from(bodyOf(id).slice(6)));
  reply.end();
}

/** Answers what was passed on, and from now on each request at once. */
function answerAll(world: AheadWorld): void {
  Object.assign(world, { answersAtOnce: true });
  for (const { id, reply } of world.passedOn.splice(0)) {
    beginAnswer(reply, id);
    endAnswer(reply, id);
  }
}

Given('an instance that answers requests when it is told to', async function set(this: AheadWorld) {
  Object.assign(this, { isLeaving: false, passedOn: [], answersAtOnce: false, received: '' });
  const clock = new SystemClock();
  this.aheadIngress = new Ingress({
    clock,
    memory: new MemoryBudget(clock, 1e8),
    turns: new InputTurns(clock, (step) => setImmediate(step)),
    connections: new ConnectionBudget(clock, 100),
    onConnectionEnd: () => undefined,
    isLeaving: () => this.isLeaving,
    judgeHead: () => undefined,
    refuse: (_request, reply, refused) => reply.refuse(refused),
    handleError: () => undefined,
    limits: () => undefined,
    accept: ({ id }, reply) => {
      this.passedOn.push({ id, reply });
      if (this.answersAtOnce) answerAll(this);
      return { cancel: () => undefined, evict: () => undefined };
    },
  });
  this.aheadAddress = await this.aheadIngress.listen('127.0.0.1:0');
  this.socket = connect(hostAndPort(this.aheadAddress));
  await once(this.socket, 'connect');
  this.socket.on('error', () => undefined);
  this.socket.on('data', (bytes: Buffer) => {
    this.received += bytes.toString();
  });
});

function requestText(id: string): string {
  return `POST /x HTTP/1.1\r\nhost: host\r\nx-attempt-id: ${id}\r\ncontent-length: 4\r\n\r\nbody`;
}

When(
  /^the caller sends (\d+) requests ahead, and the stop begins (before|between the head and end of) the first is answered$/,
  async function run(this: AheadWorld, count: string, when: string) {
    const ids = Array.from({ length: Number(count) }, (_, index) => `request-${index + 1}`);
    this.socket.write(ids.map(requestText).join(''));
    await pause(SETTLED_MS);
    if (when === 'before') this.isLeaving = true;
    else {
      const [{ id, reply }] = this.passedOn.splice(0, 1);
      beginAnswer(reply, id);
      await pause(SETTLED_MS);
      Object.assign(this, { isLeaving: true, answersAtOnce: true });
      endAnswer(reply, id);
    }
    answerAll(this);
    await pause(SETTLED_MS);
  },
);

function closed(socket: Socket): boolean {
  return socket.closed || socket.readableEnded;
}

Then(
  'all {int} are answered in order, and the connection is closed after the last one',
  function check(this: AheadWorld, count: number) {
    const answered = [...this.received.matchAll(/answer to request-(\d+)/g)].map(([, n]) => n);
    const expected = Array.from({ length: count }, (_, index) => String(index + 1));
    assert.deepEqual(answered, expected);
    assert.ok(closed(this.socket));
  },
);

const FOLLOWING_BYTES: Readonly<Record<string, string>> = {
  'bytes that are no request': 'no request\r\n\r\n',
  'a head that is too large': `GET / HTTP/1.1\r\nhost: host\r\nx-large: ${'x'.repeat(40_000)}\r\n\r\n`,
  'half a head': 'GET / HTTP/1.1\r\nhost: ho',
};

When(
  'the caller sends a request, and then {string}',
  async function run(this: AheadWorld, what: string) {
    this.socket.write(requestText('request-1'));
    await pause(SETTLED_MS);
    this.socket.write(FOLLOWING_BYTES[what]);
  },
);

When(
  'the request is answered after {int} ms',
  { timeout: 20_000 },
  async function run(this: AheadWorld, ms: number) {
    await pause(ms);
    answerAll(this);
    await pause(SETTLED_MS);
  },
);

Then(
  'the caller got that answer alone, and the connection is closed',
  function check(this: AheadWorld) {
    assert.equal(this.received.match(/HTTP\/1\.1 \d+/g)?.join(), 'HTTP/1.1 200');
    assert.ok(this.received.endsWith(bodyOf('request-1')), this.received);
    assert.ok(closed(this.socket));
  },
);

When('the caller sends {string} alone', async function run(this: AheadWorld, what: string) {
  this.socket.write(FOLLOWING_BYTES[what]);
  await pause(SETTLED_MS);
});

Then(
  'it is refused with status {int}, and the connection is closed',
  function check(this: AheadWorld, status: number) {
    assert.ok(this.received.startsWith(`HTTP/1.1 ${status} `), this.received);
    assert.ok(closed(this.socket));
  },
);

const STATES: Readonly<Record<string, string>> = {
  'passed on': requestText('request-1'),
  'partly read': requestText('request-1').slice(0, -2),
  'passed on, with another behind it': requestText('request-1') + requestText('request-2'),
  'answered in part': requestText('request-1'),
  'not there': '',
};

When(
  'a request is {string}, and the instance ends',
  async function run(this: AheadWorld, state: string) {
    this.socket.write(STATES[state]);
    await pause(SETTLED_MS);
    if (state === 'answered in part') beginAnswer(this.passedOn[0].reply, 'request-1');
    await pause(SETTLED_MS);
    this.isLeaving = true;
    await this.aheadIngress.stopListening();
    this.aheadIngress.refuseOpenRequests();
    await pause(SETTLED_MS);
    this.aheadIngress.close();
    await pause(SETTLED_MS);
  },
);

Then(
  'its caller got {string}, and the connection is closed',
  function check(this: AheadWorld, end: string) {
    const ends = [...this.received.matchAll(/HTTP\/1\.1 (\d+)(?:[^]*?"outcome":"([a-z-]+)")?/g)];
    const described = ends.map(([, status, outcome]) => [status, outcome].join(' ').trim());
    assert.equal(described.join(', '), end);
    assert.ok(closed(this.socket));
    assert.equal(this.aheadIngress.active, 0);
  },
);

After(function stop(this: AheadWorld) {
  this.socket?.destroy();
  this.aheadIngress?.close();
});
