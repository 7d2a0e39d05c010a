import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpClient } from '../../src/adapters/http/HttpClient.js';
import { HttpPlainTransport } from '../../src/adapters/http/HttpPlainTransport.js';
import type { PlainCall } from '../../src/core/requests/PlainTransport.js';
import { BODY, EarlyAnswerServer, ENDINGS, sendAnswer } from './EarlyAnswerServer.js';
import { openCall } from './OpenedCall.js';

interface AnswerEndWorld {
  earlyServer: EarlyAnswerServer;
  readingServer: Server | undefined;
  earlyAddress: string;
  readBody: string | undefined;
}

/** More than the system buffers for a connection whose other end does not read. */
const LARGE_BYTES = 64 * 1024 * 1024;

const SMALL_BYTES = 4;

const PART_BYTES = 64 * 1024;

const REQUEST_BYTES: Readonly<Record<string, number>> = {
  'it does not read': LARGE_BYTES,
  'it reads in part': LARGE_BYTES,
  'it reads to the end': LARGE_BYTES,
  'it could take at once': SMALL_BYTES,
};

/** Sends a request and returns the body of its answer; undefined if it is not whole. */
type Reader = (address: string, bytes: number) => Promise<string | undefined>;

function callServer(address: string, bytes: number): Promise<string | undefined> {
  let body = '';
  return new Promise((resolve) => {
    openCall(address, 'POST', Buffer.alloc(bytes), {
      onHead: () => undefined,
      onData: (chunk) => {
        body += chunk.toString();
      },
      onEnd: () => resolve(body),
      onFailure: () => resolve(undefined),
    });
  });
}

/** Returns the body in parts, as a caller that is still sending it. */
async function* parts(bytes: number): AsyncGenerator<Buffer> {
  for (let left = bytes; left > 0; left -= PART_BYTES)
    yield Buffer.alloc(Math.min(left, PART_BYTES));
}

async function sendPlainCall(
  address: string,
  body: PlainCall['body'],
): Promise<string | undefined> {
  const call = { method: 'POST', path: '/', headers: {}, body, timeoutMs: 1000 };
  let text = '';
  try {
    const response = await new HttpPlainTransport().send(address, call);
    for await (const part of response.body) text += Buffer.from(part).toString();
    return text;
  } catch {
    return undefined;
  }
}

async function callClient(address: string, bytes: number): Promise<string | undefined> {
  const client = new HttpClient();
  const call = { address, method: 'POST', path: '/', body: Buffer.alloc(bytes), timeoutMs: 1000 };
  try {
    return (await client.call(call)).body.toString();
  } catch {
    return undefined;
  } finally {
    client.dispose();
  }
}

const READERS: Readonly<Record<string, Reader>> = {
  'the server client': callServer,
  'the plain transport': (address, bytes) => sendPlainCall(address, Buffer.alloc(bytes)),
  'the plain transport, in parts': (address, bytes) => sendPlainCall(address, parts(bytes)),
  'the HTTP client': callClient,
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

Given(
  'a server that reads a whole request, sends an answer without a length and ends its connection',
  async function set(this: AnswerEndWorld) {
    this.readingServer = createServer({ requireHostHeader: false }, (request) => {
      request.resume();
      request.once('end', () => {
        sendAnswer(request.socket, String(request.headers['x-attempt-id']), 'without a length');
        request.socket.end();
      });
    });
    await new Promise<void>((resolve) => {
      this.readingServer?.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.readingServer.address() as AddressInfo;
    this.earlyAddress = `127.0.0.1:${port}`;
  },
);

When(
  /^(the .+) sends it a request that (it .+)$/,
  async function run(this: AnswerEndWorld, reader: string, request: string) {
    this.readBody = await READERS[reader](this.earlyAddress, REQUEST_BYTES[request]);
  },
);

Then(/^the answer is (whole|incomplete)$/, function check(this: AnswerEndWorld, outcome: string) {
  assert.equal(this.readBody, outcome === 'whole' ? BODY : undefined);
});

After(function stop(this: AnswerEndWorld) {
  this.earlyServer?.close();
  this.readingServer?.close();
});
