import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { ServerCall } from '../../src/core/relay/Types.js';
import { OpenCall } from '../../src/platform/OpenCall.js';
import { ServerAgent } from '../../src/platform/ServerAgent.js';
import { BODY, EarlyAnswerServer, ENDINGS, sendAnswer } from './EarlyAnswerServer.js';

interface AnswerEndWorld {
  earlyServer: EarlyAnswerServer;
  earlyAddress: string;
  readBody: string | undefined;
}

/** More than the system buffers for a connection whose other end does not read. */
const LARGE_BYTES = 64 * 1024 * 1024;

const SMALL_BYTES = 4;

const NO_NOTICES = { handleNotice: () => undefined, processOf: () => undefined };

const REQUEST_BYTES: Readonly<Record<string, number>> = {
  'it does not read': LARGE_BYTES,
  'it reads in part': LARGE_BYTES,
  'it reads to the end': LARGE_BYTES,
  'it could take at once': SMALL_BYTES,
};

/** Sends a request and returns the body of its answer; undefined if it is not whole. */
type Reader = (address: string, bytes: number) => Promise<string | undefined>;

function callServer(address: string, bytes: number): Promise<string | undefined> {
  const call = {
    request: {
      id: 'id-1',
      message: {
        method: 'POST',
        target: '/book/1',
        headers: ['x-attempt-id', 'id-1'],
        body: Buffer.alloc(bytes),
      },
    },
    server: { id: 'plain-0', address },
    stages: [],
    deadlineMs: 1000,
  } as unknown as ServerCall;
  const agent = new ServerAgent();
  let body = '';
  return new Promise((resolve) => {
    const listener = {
      onHead: () => undefined,
      onData: (chunk: Buffer) => {
        body += chunk.toString();
      },
      onEnd: () => resolve(body),
      onFailure: () => resolve(undefined),
    };
    const open = new OpenCall(call, listener, agent, NO_NOTICES, () => undefined);
    assert.ok(open !== undefined);
  });
}

const READERS: Readonly<Record<string, Reader>> = {
  'the server client': callServer,
};

Given(
  /^a server that sends an answer (with.* a length) as soon as it has a request's head, then (.+)$/,
  async function set(this: AnswerEndWorld, framing: string, ending: string) {
    this.earlyServer = new EarlyAnswerServer((socket, id) => {
      sendAnswer(socket, id, framing);
      ENDINGS[ending](socket);
    });
    this.earlyAddress = await this.earlyServer.listen();
  },
);

When(
  /^(the server client|the plain transport|the client) sends it a request that (it .+)$/,
  async function run(this: AnswerEndWorld, reader: string, request: string) {
    this.readBody = await READERS[reader](this.earlyAddress, REQUEST_BYTES[request]);
  },
);

Then(/^the answer is (whole|incomplete)$/, function check(this: AnswerEndWorld, outcome: string) {
  assert.equal(this.readBody, outcome === 'whole' ? BODY : undefined);
});

After(function stop(this: AnswerEndWorld) {
  this.earlyServer?.close();
});
