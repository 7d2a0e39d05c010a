import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpClient, type HttpAnswer, type HttpCall } from '../../src/adapters/http/HttpClient.js';

interface KeptWorld {
  keepingServer: Server;
  keptSockets: Set<Socket>;
  keptAddress: string;
  httpClient: HttpClient;
  keptCall: Promise<HttpAnswer>;
}

const CALLS: Readonly<Record<string, Pick<HttpCall, 'method' | 'isRepeatable'>>> = {
  'a GET': { method: 'GET' },
  'a repeatable POST': { method: 'POST', isRepeatable: true },
  'another POST': { method: 'POST' },
};

function makeCall(world: KeptWorld, name: string): Promise<HttpAnswer> {
  const call = { ...CALLS[name], address: world.keptAddress, path: '/', timeoutMs: 1000 };
  return world.httpClient.call(call);
}

Given(
  /^a server that keeps idle connections for (\d+) ms and (announces|does not announce) that$/,
  async function set(this: KeptWorld, ms: string, announces: string) {
    this.keptSockets = new Set();
    this.keepingServer = createServer((request, response) => {
      request.resume();
      const headers =
        announces === 'announces' ? {} : { connection: 'keep-alive', 'keep-alive': 'max=100' };
      response.writeHead(200, headers).end('answer');
    });
    this.keepingServer.keepAliveTimeout = Number(ms);
    this.keepingServer.on('connection', (socket) => {
      this.keptSockets.add(socket);
      socket.once('close', () => this.keptSockets.delete(socket));
    });
    await new Promise<void>((resolve) => {
      this.keepingServer.listen(0, '127.0.0.1', resolve);
    });
    this.keptAddress = `127.0.0.1:${(this.keepingServer.address() as AddressInfo).port}`;
  },
);

Given('a client with a connection to it', async function set(this: KeptWorld) {
  this.httpClient = new HttpClient();
  await makeCall(this, 'a GET');
});

When(
  /^after (\d+) ms the server closes the connection, and in the same moment the client makes (.+)$/,
  { timeout: 10_000 },
  async function run(this: KeptWorld, ms: string, name: string) {
    await new Promise((resolve) => {
      setTimeout(resolve, Number(ms));
    });
    for (const socket of this.keptSockets) socket.destroy();
    this.keptCall = makeCall(this, name);
    this.keptCall.catch(() => undefined);
  },
);

Then('the call succeeds', async function check(this: KeptWorld) {
  assert.equal((await this.keptCall).body.toString(), 'answer');
});

Then('the call fails', async function check(this: KeptWorld) {
  await assert.rejects(this.keptCall);
});

After(function stop(this: KeptWorld) {
  this.httpClient?.dispose();
  this.keepingServer?.closeAllConnections();
  this.keepingServer?.close();
});
