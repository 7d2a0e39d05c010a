import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpClient } from '../../src/adapters/http/HttpClient.js';
import type { CalledProcess, ServerNotice } from '../../src/core/deployment/ServerNotices.js';
import { MemoryBudget } from '../../src/core/limits/MemoryBudget.js';
import { VirtualClock } from '../../src/fakes/VirtualClock.js';
import { ServerClient } from '../../src/platform/ServerClient.js';
import { backendServer } from '../core/FleetFixture.js';

interface NoticeWorld {
  noticeServer: Server;
  noticeProcess: ReturnType<typeof backendServer>;
  notices: { process: CalledProcess; notice: ServerNotice }[];
}

const REQUEST_ID = 'request-1';

const TIMEOUT_MS = 500;

/** Heads and bodies of answers by the second word of their names. */
const ANSWERS: Readonly<Record<string, string>> = {
  whole: `x-attempt-id: ${REQUEST_ID}\r\nx-server-seal: seal\r\ncontent-length: 5\r\n\r\nwhole`,
  cut: `x-attempt-id: ${REQUEST_ID}\r\nx-server-seal: seal\r\ncontent-length: 99\r\n\r\ncut`,
  'other-request': 'x-attempt-id: another\r\nx-server-seal: seal\r\ncontent-length: 5\r\n\r\nwhole',
  'not-executed': `x-attempt-id: ${REQUEST_ID}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`,
  json: 'content-type: application/json\r\ncontent-length: 13\r\n\r\n{"seq_no": 1}',
};

function sendCall(client: ServerClient, server: CalledProcess): Promise<unknown> {
  const clock = new VirtualClock();
  return new Promise((resolve) => {
    client.call(
      {
        request: {
          id: REQUEST_ID,
          host: 'host',
          path: '/',
          apiKey: undefined,
          arrivedAt: 0,
          deadlineMs: TIMEOUT_MS,
          prompt: undefined,
          sharedPromptParts: [],
          ownPromptPart: undefined,
          resumeAfter: undefined,
          message: { method: 'POST', target: '/', headers: [], body: Buffer.from('body') },
          memory: new MemoryBudget(clock, Infinity).open({ allowanceBytes: 0, onEvict: () => {} }),
        },
        server: { ...backendServer(server.id), ...server },
        stages: [],
        deadlineMs: TIMEOUT_MS,
        account: undefined,
        resumeAfter: undefined,
      },
      {
        onHead: () => {},
        onData: () => {},
        onEnd: () => resolve(undefined),
        onFailure: () => resolve(undefined),
      },
    );
  });
}

/** Calls to a server by their names in scenarios. */
const CALLS: Readonly<
  Record<string, (client: ServerClient, server: CalledProcess) => Promise<unknown>>
> = {
  request: sendCall,
  report: (client, { id, address }) => client.report(id, address, TIMEOUT_MS),
  order: (client, { id, address }) =>
    client.order({ id, address, span: { from: 0, to: 1 }, ordersAccepted: 0 }, TIMEOUT_MS),
  reroute: (client, { id, address }) =>
    client.reroute(id, address, REQUEST_ID, [{ server: id, address, from: 0, to: 1 }], TIMEOUT_MS),
};

Given(
  'a server whose answers are {string} with {string}',
  async function set(this: NoticeWorld, answer: string, headers: string) {
    const [status, body] = answer.split(' ');
    const head = headers.split('; ').join('\r\n');
    this.noticeServer = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () =>
        socket.end(`HTTP/1.1 ${status} Status\r\n${head}\r\n${ANSWERS[body]}`),
      );
    });
    await new Promise<void>((resolve) => {
      this.noticeServer.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.noticeServer.address() as AddressInfo;
    this.noticeProcess = backendServer('server', {
      address: `127.0.0.1:${port}`,
      incarnation: 7,
    });
  },
);

When('a {word} is sent to it', async function run(this: NoticeWorld, call: string) {
  this.notices = [];
  const http = new HttpClient();
  const client = new ServerClient(http, {
    processOf: () => this.noticeProcess,
    handleNotice: (process, notice) => this.notices.push({ process, notice }),
  });
  await CALLS[call](client, this.noticeProcess);
  client.dispose();
  http.dispose();
});

Then('its process is known to be leaving', function check(this: NoticeWorld) {
  const [{ process, notice }] = this.notices;
  assert.equal(process.id, 'server');
  assert.equal(process.incarnation, 7);
  assert.equal(notice.isLeaving, true);
});

Then('its process is not known to be leaving', function check(this: NoticeWorld) {
  assert.equal(this.notices.length, 1);
  assert.equal(this.notices[0].notice.isLeaving, false);
});

Then('it has asked for a pause of {string} ms', function check(this: NoticeWorld, ms: string) {
  const [{ notice }] = this.notices;
  assert.equal(notice.status, 503);
  assert.equal(notice.pauseMs, ms === 'none' ? undefined : Number(ms));
});

After(function stop(this: NoticeWorld) {
  this.noticeServer?.close();
});
