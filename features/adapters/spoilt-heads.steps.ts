import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpClient } from '../../src/adapters/http/HttpClient.js';
import { HttpEngine } from '../../src/adapters/http/HttpEngine.js';
import { HttpPlainTransport } from '../../src/adapters/http/HttpPlainTransport.js';
import { encodeEnd } from '../../src/adapters/http/TokenFrames.js';
import type { AnswerHead } from '../../src/core/relay/Types.js';
import { FinishReason, type StreamOpening } from '../../src/core/streams/Types.js';
import { ServerAgent } from '../../src/platform/ServerAgent.js';
import { pause } from '../platform/Ports.js';
import { CALL_ID, openCall } from './OpenedCall.js';

interface SpoiltWorld {
  spoiltServer: Server;
  spoiltAddress: string;
  spoiltSockets: Set<Socket>;
  connections: number;
  keptAgent: ServerAgent;
}

enum Outcome {
  Taken = 'taken',
  Discarded = 'discarded',
  /** The reader has not decided in time. */
  Open = 'open',
}

/** Time within which a reader decides about an answer, in milliseconds. */
const DECISION_MS = 2000;

/** Time limit of a call, in milliseconds. */
const CALL_TIMEOUT_MS = DECISION_MS / 2;

/** A complete answer of an engine, which is as good as any for the other readers. */
const BODY = encodeEnd(FinishReason.Stop, 0);

const SEALED = `x-attempt-id: ${CALL_ID}\r\nx-server-seal: seal\r\n`;

const LENGTH = `content-length: ${BODY.length}\r\n`;

const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';

const SWITCH = `HTTP/1.1 101 Switching Protocols\r\n${SEALED}connection: upgrade\r\nupgrade: other\r\n\r\n`;

function status(code: string): string {
  return `HTTP/1.1 ${code} Text\r\n${SEALED}${LENGTH}\r\n`;
}

function lines(text: string): string {
  return `HTTP/1.1 200 OK\r\n${SEALED}${text}\r\n`;
}

/** Heads by what is wrong with them. */
const HEADS: Readonly<Record<string, string>> = {
  'a sound head': status('200'),
  'status 000': status('000'),
  'status 099': status('099'),
  'status 101': status('101'),
  'status 101, for another protocol': SWITCH,
  'status 101 after an interim answer': `${INTERIM}${SWITCH}`,
  'status 600': status('600'),
  'status 999': status('999'),
  'a blank within a name': lines(`${LENGTH}x foo: 1\r\n`),
  'a blank after a name': lines(`${LENGTH}x-foo : 1\r\n`),
  'a blank within the name of its length': lines(`content length: ${BODY.length}\r\n`),
  'a blank after the name of its length': lines(`content-length : ${BODY.length}\r\n`),
  'a tab within a name': lines(`${LENGTH}x\tfoo: 1\r\n`),
  'a control byte within a name': lines(`${LENGTH}x\u0001foo: 1\r\n`),
  'a NUL within a name': lines(`${LENGTH}x\u0000foo: 1\r\n`),
  'a DEL within a name': lines(`${LENGTH}x\u007ffoo: 1\r\n`),
  'a CR within a name': lines(`${LENGTH}x\rfoo: 1\r\n`),
  'a blank within a name that Connection lists': lines(
    `${LENGTH}x foo: 1\r\nconnection: x foo\r\n`,
  ),
  'a blank within a name after 2000 lines': lines(`${LENGTH}${'a:\r\n'.repeat(2000)}x foo: 1\r\n`),
  'a line without a name': lines(`${LENGTH}: 1\r\n`),
  'a line without a colon': lines(`${LENGTH}x-foo\r\n`),
  'a line that begins with a blank': lines(`${LENGTH} x-foo: 1\r\n`),
  'two lengths': lines(`${LENGTH}content-length: 1\r\n`),
  'a length beside chunks': lines(`${LENGTH}transfer-encoding: chunked\r\n`),
  'an interim answer before status 000': `${INTERIM}${status('000')}`,
  'an interim answer before a spoilt name': `${INTERIM}${lines(`${LENGTH}x foo: 1\r\n`)}`,
};

function callServer(address: string, method: string, agent?: ServerAgent): Promise<Outcome> {
  return new Promise((resolve) => {
    const listener = {
      // The relay closes the call then, before its body.
      onHead: ({ sendable }: AnswerHead) => {
        if (!sendable) resolve(Outcome.Discarded);
      },
      onData: () => undefined,
      onEnd: () => resolve(Outcome.Taken),
      onFailure: () => resolve(Outcome.Discarded),
    };
    const open = openCall(address, method, Buffer.alloc(0), listener, agent);
    setTimeout(() => open.dispose(), CALL_TIMEOUT_MS).unref();
  });
}

async function sendPlainCall(address: string): Promise<Outcome> {
  const response = await new HttpPlainTransport().send(address, {
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
    timeoutMs: CALL_TIMEOUT_MS,
  });
  for await (const part of response.body) assert.ok(part.length > 0);
  return Outcome.Taken;
}

async function callClient(address: string): Promise<Outcome> {
  const client = new HttpClient();
  try {
    await client.call({ address, method: 'POST', path: '/', timeoutMs: CALL_TIMEOUT_MS });
    return Outcome.Taken;
  } finally {
    client.dispose();
  }
}

function openStream(address: string): Promise<Outcome> {
  const client = new HttpClient();
  const opening = { stages: [{ server: 'engine-0', address }] } as unknown as StreamOpening;
  return new Promise<Outcome>((resolve) => {
    new HttpEngine(client).open(opening, {
      onToken: () => undefined,
      onEnd: () => resolve(Outcome.Taken),
      onFailure: () => resolve(Outcome.Discarded),
    });
  }).finally(() => client.dispose());
}

/** Sends a request and returns what becomes of its answer; an error means that it is discarded. */
type Reader = (address: string) => Promise<Outcome>;

const READERS: Readonly<Record<string, Reader>> = {
  'the server client': (address) => callServer(address, 'POST'),
  'the plain transport': sendPlainCall,
  'the HTTP client': callClient,
  'the engine client': openStream,
};

function decide(outcome: Promise<Outcome>): Promise<Outcome> {
  return Promise.race([
    outcome.catch(() => Outcome.Discarded),
    pause(DECISION_MS).then(() => Outcome.Open),
  ]);
}

/** @param heads - heads of the answers of one connection; the last one is repeated */
async function listen(world: SpoiltWorld, heads: readonly string[]): Promise<void> {
  world.connections = 0;
  world.keptAgent = new ServerAgent();
  world.spoiltSockets = new Set();
  world.spoiltServer = createServer((socket) => {
    world.connections += 1;
    world.spoiltSockets.add(socket);
    socket.on('error', () => undefined);
    let answers = 0;
    socket.on('data', (request) => {
      const head = HEADS[heads[Math.min(answers, heads.length - 1)]];
      answers += 1;
      const isBodyless = request.toString('latin1').startsWith('HEAD ');
      socket.write(
        Buffer.concat([Buffer.from(head, 'latin1'), isBodyless ? Buffer.alloc(0) : BODY]),
      );
    });
  });
  await new Promise<void>((resolve) => {
    world.spoiltServer.listen(0, '127.0.0.1', resolve);
  });
  world.spoiltAddress = `127.0.0.1:${(world.spoiltServer.address() as AddressInfo).port}`;
}

Given(
  /^a server that answers with (a sound head, and then with )?(.+)$/,
  async function set(this: SpoiltWorld, sound: string | null, head: string) {
    await listen(this, sound === null ? [head] : ['a sound head', head]);
  },
);

When(
  /^the server client gets a sound answer to a (\w+) request$/,
  async function run(this: SpoiltWorld, method: string) {
    const outcome = await decide(callServer(this.spoiltAddress, method, this.keptAgent));
    assert.equal(outcome, Outcome.Taken);
  },
);

Then(
  /^the server client discards the answer to a (\w+) request$/,
  async function check(this: SpoiltWorld, method: string) {
    const outcome = await decide(callServer(this.spoiltAddress, method, this.keptAgent));
    assert.equal(outcome, Outcome.Discarded);
  },
);

Then('it has opened {int} connection', function check(this: SpoiltWorld, connections: number) {
  assert.equal(this.connections, connections);
});

Then(
  /^(the [\w ]+) (takes|discards) the answer$/,
  { timeout: 2 * DECISION_MS },
  async function check(this: SpoiltWorld, reader: string, verb: string) {
    const expected = verb === 'takes' ? Outcome.Taken : Outcome.Discarded;
    assert.equal(await decide(READERS[reader](this.spoiltAddress)), expected);
  },
);

After(function stop(this: SpoiltWorld) {
  this.keptAgent?.destroy();
  this.spoiltServer?.close();
  for (const socket of this.spoiltSockets ?? []) socket.destroy();
});
