import assert from 'node:assert/strict';
import { request } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';

interface SilentServerWorld {
  silentServer?: FakeBackendServer;
  silentStore?: FakeStore;
  silentAddress: string;
  answeredAfterMs: number;
}

const ID = 'engine-a-1';

/** Path and headers of each kind of request. */
const REQUESTS: Readonly<Record<string, { path: string; headers: Record<string, string> }>> = {
  'a report': { path: '/-/report', headers: {} },
  'a whole answer': { path: '/read/1', headers: {} },
  'a complete stream': { path: '/stream/1', headers: { 'x-hop-count': 'first=0-80' } },
};

Given(
  'a fake server that is silent for {int} ms',
  async function start(this: SilentServerWorld, ms: number) {
    this.silentStore = new FakeStore();
    this.silentServer = new FakeBackendServer(ID, 'engine', 'a', 'whole', this.silentStore);
    await this.silentServer.listen((ownAddress) => {
      this.silentAddress = ownAddress;
      return ownAddress;
    });
    // It goes on while the request waits.
    this.silentServer.fallSilent(ms).catch(assert.fail);
  },
);

When(/^it is asked for (a .+)$/, async function ask(this: SilentServerWorld, what: string) {
  const { path, headers } = REQUESTS[what];
  const sentAt = performance.now();
  await new Promise<void>((resolve, reject) => {
    const outgoing = request(
      {
        ...hostAndPort(this.silentAddress),
        method: 'POST',
        path,
        headers: { 'x-attempt-id': '1', 'x-expect-instance': ID, ...headers },
      },
      (response) => response.resume().once('end', resolve),
    );
    outgoing.once('error', reject).end();
  });
  this.answeredAfterMs = performance.now() - sentAt;
});

Then(
  'the answer is complete {int} ms later at the earliest',
  function check(this: SilentServerWorld, ms: number) {
    assert.ok(this.answeredAfterMs >= ms, `after ${Math.round(this.answeredAfterMs)} ms`);
  },
);

After(function stop(this: SilentServerWorld) {
  this.silentServer?.stop();
  this.silentStore?.close();
});
