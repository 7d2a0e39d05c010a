import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { SystemClock } from '../../src/adapters/SystemClock.js';
import { ConnectionBudget } from '../../src/core/limits/ConnectionBudget.js';
import { InputTurns } from '../../src/core/limits/InputTurns.js';
import { MemoryBudget } from '../../src/core/limits/MemoryBudget.js';
import { Ingress } from '../../src/platform/Ingress.js';
import { pause } from './Ports.js';

interface IngressWorld {
  testedIngress: Ingress;
  address: string;
  isLeaving: boolean;
  accepted: string[];
  callerSocket: Socket;
  received: string;
  errors: string[];
  turns: InputTurns;
  socketError: Error | undefined;
  idleSocket: Socket;
  receivedBytes: number;
}

/** Time within which an answer on a loopback connection arrives, in milliseconds. */
const ANSWER_MS = 200;

const TURN_DELAY_MS = 50;

/** Time that reading takes beside which other input waits for its turn, in milliseconds. */
const COSTLY_MS = 40;

const EVENT = 'id: 1\ndata: event 1\n\n';

async function listen(world: IngressWorld, stopsMeanwhile: boolean, fails = false): Promise<void> {
  Object.assign(world, { isLeaving: false, accepted: [], received: '', errors: [] });
  // A turn comes late, as on a busy machine.
  world.turns = new InputTurns(new SystemClock(), (step) => setTimeout(step, TURN_DELAY_MS));
  world.testedIngress = new Ingress({
    clock: new SystemClock(),
    memory: new MemoryBudget(new SystemClock(), 1e8),
    turns: world.turns,
    connections: new ConnectionBudget(new SystemClock(), 100),
    onConnectionEnd: (end) => world.errors.push(end),
    isLeaving: () => world.isLeaving,
    judgeHead: () => undefined,
    refuse: (_request, reply, refused) => reply.refuse(refused),
    handleError: (id) => world.errors.push(id),
    limits: () => undefined,
    accept: ({ id }, reply) => {
      world.accepted.push(id);
      if (fails) throw new Error('unexpected');
      const body = id.startsWith('large-')
        ? Buffer.alloc(Number(id.slice(6)), 'x')
        : Buffer.from(EVENT);
      // The head is sent before the stop, so it does not announce the end of the connection.
      reply.writeHead({
        status: 200,
        headers: ['content-length', String(body.length)],
        sendable: true,
        signed: true,
        misdirected: false,
        notExecuted: false,
        identityEncoded: true,
        isDelimited: true,
        requestsPerSecond: undefined,
        blamedAddress: undefined,
      });
      world.isLeaving = stopsMeanwhile;
      reply.write(body);
      reply.end();
      return { cancel: () => undefined, evict: () => undefined };
    },
  });
  world.address = await world.testedIngress.listen('127.0.0.1:0');
}

function requestText(id: string): string {
  return `POST /x HTTP/1.1\r\nhost: host\r\nx-attempt-id: ${id}\r\ncontent-length: 4\r\n\r\nbody`;
}

Given(
  'an instance that is told to stop while it answers a request on a kept connection',
  async function set(this: IngressWorld) {
    await listen(this, true);
  },
);

Given(
  'an instance that answers requests on a kept connection',
  async function set(this: IngressWorld) {
    await listen(this, false);
  },
);

Given(
  'an instance in which each request meets an unexpected error',
  async function set(this: IngressWorld) {
    await listen(this, false, true);
  },
);

When(
  'the caller sends its next request on that connection as soon as it has the answer',
  async function run(this: IngressWorld) {
    this.callerSocket = connect(hostAndPort(this.address));
    await once(this.callerSocket, 'connect');
    this.callerSocket.on('error', () => undefined);
    const answered = new Promise<void>((resolve) => {
      this.callerSocket.on('data', (bytes: Buffer) => {
        this.received += bytes.toString();
        resolve();
      });
    });
    this.callerSocket.write(requestText('first'));
    await answered;
    this.callerSocket.write(requestText('second'));
    await pause(ANSWER_MS);
  },
);

Then(
  'the second request is not passed on, and the connection is closed',
  function check(this: IngressWorld) {
    assert.deepEqual(this.accepted, ['first']);
    assert.equal(this.received.split('HTTP/1.1 200').length, 2);
    assert.ok(this.callerSocket.closed);
  },
);

When(
  'the caller sends a request with the header {string}',
  async function run(this: IngressWorld, text: string) {
    this.callerSocket = connect(hostAndPort(this.address));
    await once(this.callerSocket, 'connect');
    this.callerSocket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString();
    });
    const line = JSON.parse(`"${text}"`) as string;
    const request = requestText('first').replace('\r\n\r\n', `\r\n${line}\r\n\r\n`);
    this.callerSocket.write(Buffer.from(request, 'latin1'));
    await pause(ANSWER_MS);
  },
);

Then(
  'it is answered with status {int}, and {int} requests are passed on',
  function check(this: IngressWorld, status: number, accepted: number) {
    assert.ok(this.received.startsWith(`HTTP/1.1 ${status} `), this.received);
    assert.equal(this.accepted.length, accepted);
  },
);

Given('a second connection that is idle', async function set(this: IngressWorld) {
  this.idleSocket = connect(hostAndPort(this.address));
  await once(this.idleSocket, 'connect');
  this.idleSocket.resume();
});

When(
  'the caller reads its answer of {int} bytes only after the instance has stopped listening',
  async function run(this: IngressWorld, bytes: number) {
    this.callerSocket = connect(hostAndPort(this.address));
    await once(this.callerSocket, 'connect');
    this.callerSocket.write(requestText(`large-${bytes}`));
    await pause(ANSWER_MS);
    this.isLeaving = true;
    await this.testedIngress.stopListening();
    this.receivedBytes = 0;
    this.callerSocket.on('data', ({ length }: Buffer) => {
      this.receivedBytes += length;
    });
    await once(this.callerSocket, 'end');
  },
);

When(
  "the caller's request arrives, and before it is read the instance stops listening",
  async function run(this: IngressWorld) {
    this.callerSocket = connect(hostAndPort(this.address));
    await once(this.callerSocket, 'connect');
    this.callerSocket.on('error', () => undefined);
    this.callerSocket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString();
    });
    await pause(ANSWER_MS);
    this.callerSocket.write(requestText('first'));
    this.isLeaving = true;
    await this.testedIngress.stopListening();
    await pause(ANSWER_MS);
  },
);

/** Reads input for so long that what arrives next has to wait for its turn. */
function readCostlyInput(turns: InputTurns): void {
  let isRead = false;
  const turn = turns.open({
    get hasInput() {
      return !isRead;
    },
    readPiece: () => {
      const endsAt = performance.now() + COSTLY_MS;
      while (performance.now() < endsAt);
      isRead = true;
      return 1;
    },
    setWaiting: () => undefined,
    onEvict: () => undefined,
  });
  turn.request();
}

When(
  "the caller's request arrives, and while it waits for its turn the instance stops listening",
  async function run(this: IngressWorld) {
    this.callerSocket = connect(hostAndPort(this.address));
    await once(this.callerSocket, 'connect');
    this.callerSocket.on('error', () => undefined);
    this.callerSocket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString();
    });
    await pause(ANSWER_MS);
    this.callerSocket.write(requestText('first'));
    readCostlyInput(this.turns);
    this.isLeaving = true;
    await this.testedIngress.stopListening();
    await pause(ANSWER_MS);
  },
);

When(
  'the caller sends a body of {int} bytes, and reads its answer at the end',
  async function run(this: IngressWorld, bytes: number) {
    this.callerSocket = connect(hostAndPort(this.address));
    await once(this.callerSocket, 'connect');
    this.callerSocket.on('error', (error) => {
      this.socketError = error;
    });
    const head = requestText('first').split('content-length')[0];
    this.callerSocket.write(`${head}content-length: ${bytes}\r\n\r\n`);
    for (let sent = 0; sent < bytes; sent += 100_000) {
      this.callerSocket.write(Buffer.alloc(100_000, 'x'));
      await pause(1);
    }
    this.callerSocket.on('data', (part: Buffer) => {
      this.received += part.toString();
    });
    await pause(ANSWER_MS);
  },
);

Then(
  'it is refused with status {int}, without a reset',
  function check(this: IngressWorld, status: number) {
    assert.ok(this.received.startsWith(`HTTP/1.1 ${status}`), this.received);
    assert.equal(this.socketError, undefined);
    assert.deepEqual(this.accepted, []);
  },
);

Then('one request is answered', function check(this: IngressWorld) {
  assert.deepEqual(this.accepted, ['first']);
  assert.equal(this.received.split('HTTP/1.1 200').length, 2);
});

Then('it gets all {int} bytes', function check(this: IngressWorld, bytes: number) {
  assert.ok(this.receivedBytes > bytes, `${this.receivedBytes} bytes with the head`);
});

Then('the idle connection is closed', async function check(this: IngressWorld) {
  if (!this.idleSocket.closed) await once(this.idleSocket, 'close');
  assert.equal(this.testedIngress.active, 0);
});

Then('both requests are answered', function check(this: IngressWorld) {
  assert.deepEqual(this.accepted, ['first', 'second']);
  assert.equal(this.received.split('HTTP/1.1 200').length, 3);
});

Then(
  'both requests are answered with status {int}, and the errors are logged',
  function check(this: IngressWorld, status: number) {
    assert.equal(this.received.split(`HTTP/1.1 ${status}`).length, 3);
    assert.deepEqual(this.errors, ['first', 'second']);
  },
);

After(function stop(this: IngressWorld) {
  this.callerSocket?.destroy();
  this.testedIngress?.close();
});
