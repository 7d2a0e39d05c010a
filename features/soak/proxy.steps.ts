import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { pause } from '../platform/Ports.js';
import { resetConnection } from '../platform/Sockets.js';
import { FaultProxy, type LinkFault } from './FaultProxy.js';

/** One end of the connection and what it received. */
interface Peer {
  readonly socket: Socket;
  /** Numbers of the received chunks, then 'end' or the code of the error. */
  readonly received: string[];
  /** Time at which each chunk arrived, by its number. */
  readonly arrivedAt: Map<number, number>;
}

interface ProxyWorld {
  faultProxy?: FaultProxy;
  proxiedServer: Server;
  proxyPeers: Record<string, Peer>;
  /** Time at which each chunk was sent, by its number. */
  sentAt: Map<number, number>;
  /** Number of timers that the proxy's reset stopped. */
  stoppedTimers: number;
}

/** Time between two chunks, shorter than the delay of the proxy. */
const SEND_INTERVAL_MS = 10;

/** Time within which everything sent has arrived, in milliseconds. */
const ARRIVAL_TIMEOUT_MS = 3000;

/** Time until the handles of closed sockets are released, in milliseconds. */
const CLOSE_DELAY_MS = 500;

const BYTES_PER_MB = 1_000_000;

/** Records what arrives at `socket`: chunks are lines that begin with their number. */
function record(socket: Socket): Peer {
  const peer: Peer = { socket, received: [], arrivedAt: new Map() };
  let unread = '';
  socket.setNoDelay(true);
  socket.on('data', (bytes: Buffer) => {
    const lines = (unread + bytes.toString()).split('\n');
    unread = lines.pop() as string;
    for (const line of lines) {
      const number = line.trim();
      peer.received.push(number);
      peer.arrivedAt.set(Number(number), performance.now());
    }
  });
  socket.on('end', () => peer.received.push('end'));
  socket.on('error', ({ code }: NodeJS.ErrnoException) => peer.received.push(String(code)));
  return peer;
}

/** Waits until `isDone`, at most `timeoutMs`. */
async function waitUntil(isDone: () => boolean, timeoutMs: number): Promise<void> {
  const endsAt = performance.now() + timeoutMs;
  while (!isDone() && performance.now() < endsAt) await pause(5);
}

/** Waits until the proxy has read what was sent: the event loop polls its sockets in between. */
async function waitForPoll(): Promise<void> {
  for (let polls = 0; polls < 2; polls += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

async function sendChunks(
  { proxyPeers, sentAt }: ProxyWorld,
  sender: string,
  numbers: readonly number[],
  size: number,
): Promise<void> {
  for (const number of numbers) {
    sentAt.set(number, performance.now());
    proxyPeers[sender].socket.write(`${String(number).padEnd(size - 1)}\n`);
    await pause(SEND_INTERVAL_MS);
    await waitForPoll();
  }
}

function numbersBetween(first: number, last: number): number[] {
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

async function checkReceived(
  { received }: Peer,
  numbers: readonly number[],
  last: string,
): Promise<void> {
  await waitUntil(() => received.includes(last), ARRIVAL_TIMEOUT_MS);
  assert.equal(received.join(' '), [...numbers, last].join(' '));
}

async function checkClosed({ faultProxy }: ProxyWorld): Promise<void> {
  const proxy = faultProxy as FaultProxy;
  await waitUntil(() => proxy.openSockets === 0, CLOSE_DELAY_MS);
  assert.equal(proxy.openSockets, 0);
}

function countTimers(): number {
  return process.getActiveResourcesInfo().filter((type) => type === 'Timeout').length;
}

Given(
  'a caller with a connection to a server through a fault proxy',
  async function open(this: ProxyWorld) {
    this.sentAt = new Map();
    this.faultProxy = new FaultProxy();
    this.proxiedServer = createServer({ allowHalfOpen: true });
    this.proxiedServer.listen(0, '127.0.0.1');
    await once(this.proxiedServer, 'listening');
    const { port } = this.proxiedServer.address() as AddressInfo;
    const address = await this.faultProxy.listen(`127.0.0.1:${port}`);
    const accepted = once(this.proxiedServer, 'connection');
    const caller = record(connect({ ...hostAndPort(address), allowHalfOpen: true }));
    const [socket] = (await accepted) as [Socket];
    this.proxyPeers = { caller, server: record(socket) };
  },
);

After(function close(this: ProxyWorld) {
  if (this.faultProxy === undefined) return;
  for (const { socket } of Object.values(this.proxyPeers)) socket.destroy();
  this.proxiedServer.close();
  this.faultProxy.close();
});

When(
  'the {word} sends chunks {int} to {int} while the link is {string}',
  async function send(
    this: ProxyWorld,
    sender: string,
    first: number,
    last: number,
    fault: LinkFault,
  ) {
    (this.faultProxy as FaultProxy).fault = fault;
    await sendChunks(this, sender, numbersBetween(first, last), 16);
  },
);

When(
  'the {word} sends chunks {int} to {int} of {int} MB each',
  async function send(
    this: ProxyWorld,
    sender: string,
    first: number,
    last: number,
    megabytes: number,
  ) {
    await sendChunks(this, sender, numbersBetween(first, last), megabytes * BYTES_PER_MB);
  },
);

When('the link becomes {string}', function change(this: ProxyWorld, fault: LinkFault) {
  (this.faultProxy as FaultProxy).fault = fault;
});

When('the {word} ends its side', function end(this: ProxyWorld, sender: string) {
  this.proxyPeers[sender].socket.end();
});

When('the server resets the connection', function reset(this: ProxyWorld) {
  resetConnection(this.proxyPeers.server.socket);
});

When('the proxy resets the connection', function reset(this: ProxyWorld) {
  const timers = countTimers();
  (this.faultProxy as FaultProxy).reset();
  this.stoppedTimers = timers - countTimers();
});

When('the {word} stops reading', function stop(this: ProxyWorld, receiver: string) {
  this.proxyPeers[receiver].socket.pause();
});

When(
  'after {int} ms the {word} reads again',
  async function resume(this: ProxyWorld, delayMs: number, receiver: string) {
    await pause(delayMs);
    this.proxyPeers[receiver].socket.resume();
  },
);

Then(
  'the {word} receives chunks {int} to {int} in order, then {string}',
  async function check(
    this: ProxyWorld,
    receiver: string,
    first: number,
    last: number,
    end: string,
  ) {
    await checkReceived(this.proxyPeers[receiver], numbersBetween(first, last), end);
  },
);

Then(
  'the {word} receives no chunk, then {string}',
  async function check(this: ProxyWorld, receiver: string, end: string) {
    await checkReceived(this.proxyPeers[receiver], [], end);
  },
);

Then(
  'the {word} has received just chunks {int} to {int} after {int} ms',
  async function check(
    this: ProxyWorld,
    receiver: string,
    first: number,
    last: number,
    delayMs: number,
  ) {
    await pause(delayMs);
    const { received } = this.proxyPeers[receiver];
    assert.equal(received.join(' '), numbersBetween(first, last).join(' '));
  },
);

Then(
  'chunks {int} to {int} arrived no earlier than {int} ms after they were sent',
  function check(this: ProxyWorld, first: number, last: number, delayMs: number) {
    const peers = Object.values(this.proxyPeers);
    for (const number of numbersBetween(first, last)) {
      const receiver = peers.find(({ arrivedAt }) => arrivedAt.has(number)) as Peer;
      const tookMs =
        (receiver.arrivedAt.get(number) as number) - (this.sentAt.get(number) as number);
      assert.ok(tookMs >= delayMs, `chunk ${number} arrived after ${tookMs} ms`);
    }
  },
);

Then(
  'the proxy has no open socket once both sides have ended',
  async function check(this: ProxyWorld) {
    for (const { socket } of Object.values(this.proxyPeers)) socket.end();
    await checkClosed(this);
  },
);

Then('the proxy has no open socket', async function check(this: ProxyWorld) {
  await checkClosed(this);
});

Then('the reset has stopped {int} timer', function check(this: ProxyWorld, timers: number) {
  assert.equal(this.stoppedTimers, timers);
});
