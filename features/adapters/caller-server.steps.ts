import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { connect, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { CallerServer } from '../../src/adapters/http/CallerServer.js';
import type { CallerServerDependencies } from '../../src/adapters/http/Types.js';
import { Invariants } from '../../src/core/Invariant.js';
import { Configuration } from '../../src/core/tickets/Configuration.js';
import type { AnswerListener } from '../../src/core/streams/StreamSession.js';
import { FinishReason } from '../../src/core/streams/Types.js';
import { ObjectKind } from '../../src/core/tickets/Types.js';
import { DEMO_KEYS } from '../../src/fakes/DemoFleet.js';
import { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../src/fakes/VirtualClock.js';
import { sendRequest, type CallerAnswer } from '../entry/Caller.js';
import { pause } from '../platform/Ports.js';

interface ServerWorld {
  callerServer: CallerServer;
  callerAddress: string;
  keyAnswer: CallerAnswer;
  refusals: string[];
  completion: AnswerListener;
  rawSocket: Socket;
  received: string;
}

/** Time within which something on a loopback connection has happened, in milliseconds. */
const SETTLED_MS = 200;

function configuration(): Configuration {
  const known = new Configuration(new Invariants(true));
  const keyHashes = [createHash('sha256').update(DEMO_KEYS.workshop).digest('hex')];
  const state = { keyHashes, weight: 1, requestsPerSecond: 1, concurrency: 1 };
  const change = { kind: ObjectKind.ClientAccount, name: 'workshop', base: 0, state };
  const ticket = { number: 1, submission: '', at: '', author: '', reason: '' };
  known.apply({ ...ticket, changes: [change] });
  return known;
}

Given(
  "a callers' server in which minting a key meets an unexpected error",
  async function set(this: ServerWorld) {
    this.refusals = [];
    const dependencies: Partial<CallerServerDependencies> = {
      clock: new VirtualClock(),
      configuration: configuration(),
      keyMint: {
        mint: () => {
          throw new Error('unexpected');
        },
      } as never,
      metrics: { countRefusal: (reason: string) => this.refusals.push(reason) } as never,
      isReady: () => true,
      isLeaving: () => false,
      isStopping: () => false,
      maxBodyBytes: 1000,
    };
    this.callerServer = new CallerServer(dependencies as CallerServerDependencies);
    this.callerAddress = await this.callerServer.listen('127.0.0.1:0');
  },
);

When('a caller asks it for a key', async function run(this: ServerWorld) {
  this.keyAnswer = await sendRequest({
    address: this.callerAddress,
    method: 'POST',
    path: '/v1/request-keys',
  });
});

Then(
  'the caller is told {int} {string} {string}, and the error is counted',
  function check(this: ServerWorld, status: number, outcome: string, reason: string) {
    const { headers } = this.keyAnswer;
    assert.equal(this.keyAnswer.status, status);
    assert.equal(headers['acaciadrum-outcome'], outcome);
    assert.equal(headers['acaciadrum-reason'], reason);
    assert.deepEqual(this.refusals, [reason]);
  },
);

Given(
  "a callers' server that runs completions until it is told that they end",
  async function set(this: ServerWorld) {
    const dependencies: Partial<CallerServerDependencies> = {
      clock: new VirtualClock(),
      random: new SeededRandom(1),
      configuration: configuration(),
      completions: {
        submit: (_request: object, listener: AnswerListener) => {
          this.completion = listener;
          return { dispose: () => {} };
        },
      } as never,
      metrics: { countCompleted: () => {}, recordTime: () => {} } as never,
      isReady: () => true,
      isLeaving: () => false,
      isStopping: () => false,
      maxBodyBytes: 1000,
    };
    this.callerServer = new CallerServer(dependencies as CallerServerDependencies);
    this.callerAddress = await this.callerServer.listen('127.0.0.1:0');
  },
);

const FOLLOWING_BYTES: Readonly<Record<string, string>> = {
  'bytes that are no request': 'no request\r\n\r\n',
  'half a head': 'GET / HTTP/1.1\r\nhost: ho',
};

When(
  'a caller asks for a completion, and then sends {string}',
  async function run(this: ServerWorld, what: string) {
    this.received = '';
    this.rawSocket = connect(hostAndPort(this.callerAddress));
    this.rawSocket.on('error', () => undefined);
    this.rawSocket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString();
    });
    const body = JSON.stringify({ model: 'model', prompt: 'x', max_tokens: 1 });
    this.rawSocket.write(
      `POST /v1/completions HTTP/1.1\r\nhost: host\r\nauthorization: Bearer ${DEMO_KEYS.workshop}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    await pause(SETTLED_MS);
    this.rawSocket.write(FOLLOWING_BYTES[what]);
  },
);

When(
  'the completion ends after {int} ms',
  { timeout: 20_000 },
  async function run(this: ServerWorld, ms: number) {
    await pause(ms);
    this.completion.onToken('done', 0);
    this.completion.onEnd(FinishReason.Length, 1);
    await pause(SETTLED_MS);
  },
);

Then(
  'the caller has the completion alone, and the server has closed the connection',
  function check(this: ServerWorld) {
    assert.equal(this.received.match(/HTTP\/1\.1 \d+/g)?.join(), 'HTTP/1.1 200');
    assert.ok(this.received.includes('"done"'), this.received);
    assert.ok(this.rawSocket.closed || this.rawSocket.readableEnded);
  },
);

After(async function stop(this: ServerWorld) {
  this.rawSocket?.destroy();
  await this.callerServer?.close();
});
