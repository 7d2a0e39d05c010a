import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpClient } from '../../src/adapters/http/HttpClient.js';
import { HttpPlainTransport } from '../../src/adapters/http/HttpPlainTransport.js';
import type { ServerCall } from '../../src/core/relay/Types.js';
import { ServerClient } from '../../src/platform/ServerClient.js';
import { backendServer, RelayFixture } from '../core/FleetFixture.js';

interface StallWorld {
  stalledServer: Server;
  stalledAddress: string;
  serverClient: ServerClient;
  pendingAnswer: Promise<string>;
  askedAt: number;
}

/** Timeout of a request for a report, in milliseconds, as the silence detector has it. */
const REPORT_MS = 60;

/** Timeout of a reroute, in milliseconds, as streams have it. */
const REROUTE_MS = 250;

/** Timeout of a probe of an address, in milliseconds. */
const PROBE_MS = 250;

async function listen(world: StallWorld, server: Server): Promise<void> {
  world.stalledServer = server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  world.stalledAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  world.serverClient = new ServerClient(new HttpClient(), {
    processOf: () => undefined,
    handleNotice: () => undefined,
  });
}

Given('a server that answers at once', async function set(this: StallWorld) {
  const server = createServer((request, response) => {
    request.resume();
    const { 'x-attempt-id': id } = request.headers;
    response.writeHead(200, {
      'content-type': 'application/json',
      ...(id !== undefined && { 'x-attempt-id': id }),
    });
    response.end('{"seq_no":7}');
  });
  await listen(this, server);
});

Given(
  'a server that accepts connections and answers nothing',
  async function set(this: StallWorld) {
    await listen(this, createServer());
  },
);

function sendBooking({ serverClient, stalledAddress }: StallWorld): Promise<string> {
  const request = new RelayFixture().request({ prompt: undefined });
  const call: ServerCall = {
    request: { ...request, message: { ...request.message, method: 'POST', headers: [] } },
    server: backendServer('booked', { address: stalledAddress, service: 'plain' }),
    stages: [],
    deadlineMs: 2000,
    account: undefined,
    resumeAfter: undefined,
  };
  return new Promise((resolve) => {
    serverClient.call(call, {
      onHead: () => {},
      onData: () => {},
      onEnd: () => resolve('complete'),
      onFailure: resolve,
    });
  });
}

async function askForReport({ serverClient, stalledAddress }: StallWorld): Promise<string> {
  const report = await serverClient.report('server', stalledAddress, REPORT_MS);
  return report === undefined ? 'no report' : 'report';
}

type Begin = (world: StallWorld) => Promise<string>;

const BEGINNINGS: Readonly<Record<string, Begin>> = {
  'asked for a report on a new connection': askForReport,
  'asked for a report on a kept connection': askForReport,
  'asked it to move a stream': async ({ serverClient, stalledAddress }) => {
    const { status } = await serverClient.reroute('server', stalledAddress, 'r', [], REROUTE_MS);
    return status;
  },
  'looked whether it listens': async ({ serverClient, stalledAddress }) =>
    String(await serverClient.isListening(stalledAddress, PROBE_MS)),
  'sent it a booking': sendBooking,
  'sent it a call of our own interface': async ({ stalledAddress }) => {
    const transport = new HttpPlainTransport();
    const call = { method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0), timeoutMs: 100 };
    try {
      const { status, body } = await transport.send(stalledAddress, call);
      await body[Symbol.asyncIterator]().return?.();
      return String(status);
    } catch (error) {
      return (error as Error).message;
    }
  },
};

/** Lets what was called begin to connect, before any input is read. */
async function beginToConnect(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
  }
}

function standStill(ms: number): void {
  const endsAt = performance.now() + ms;
  while (performance.now() < endsAt);
}

When(
  /^the process stands still for (\d+) ms just after it has (.+)$/,
  async function run(this: StallWorld, ms: string, begun: string) {
    if (begun.endsWith('kept connection')) assert.equal(await askForReport(this), 'report');
    this.pendingAnswer = BEGINNINGS[begun](this);
    await beginToConnect();
    standStill(Number(ms));
  },
);

When(/^the process has (.+) and runs on$/, function run(this: StallWorld, begun: string) {
  this.askedAt = performance.now();
  this.pendingAnswer = BEGINNINGS[begun](this);
});

Then("the server's {string} arrives", async function check(this: StallWorld, answer: string) {
  assert.equal(await this.pendingAnswer, answer);
});

Then('no answer arrives within {int} ms', async function check(this: StallWorld, ms: number) {
  assert.match(await this.pendingAnswer, /no report|lost/);
  const waitedMs = performance.now() - this.askedAt;
  assert.ok(waitedMs < ms, `${waitedMs} ms`);
});

After(function stop(this: StallWorld) {
  this.stalledServer?.closeAllConnections();
  this.stalledServer?.close();
  this.serverClient?.dispose();
});
