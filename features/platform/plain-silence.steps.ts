import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { AnswerStyle, answerTo, FakeBackendServer, PART_INTERVAL_MS } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, startRouter, type StartedRouter } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface Answer {
  readonly outcome: string;
  readonly body: string;
  readonly ms: number;
}

interface SilentWorld {
  silentStore: FakeStore;
  silentServer: FakeBackendServer;
  silentRouter: StartedRouter;
  silentAnswer: Answer;
  silence: Promise<void>;
}

const TESTED_ID = 'tested';

/** Time within which a new instance answers, in milliseconds. */
const READY_MS = 8000;

function send(
  address: string,
  method: string,
  path: string,
  id: string,
  deadlineMs: number,
): Promise<Answer> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (outcome: string, body: string): void =>
      resolve({ outcome, body, ms: performance.now() - sentAt });
    const headers = {
      host: 'host',
      authorization: 'Token key-1',
      'x-attempt-id': id,
      'x-deadline-ms': String(deadlineMs),
    };
    const options = { ...hostAndPort(address), method, path, agent: false, headers };
    const outgoing = httpRequest(options, (message) => {
      let body = '';
      message.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      message.on('error', () => finish('cut', body));
      message.on('end', () => {
        const refused = /"outcome":"([a-z-]+)"/.exec(body)?.[1] ?? '';
        finish(`${message.statusCode} ${refused}`.trim(), body);
      });
    });
    outgoing.on('error', () => finish('closed', ''));
    outgoing.end(method === 'POST' ? 'body' : undefined);
  });
}

Given(
  'a store, one plain server and a router instance that has answered',
  { timeout: 2 * READY_MS },
  async function set(this: SilentWorld) {
    this.silentStore = new FakeStore();
    const storeAddress = await this.silentStore.listen();
    this.silentStore.put('op', 'config', configuration(3));
    this.silentServer = new FakeBackendServer('plain-0', 'plain', 'a', '', this.silentStore);
    await this.silentServer.listen();
    this.silentRouter = await startRouter('router-1', storeAddress, []);
    const endsAt = performance.now() + READY_MS;
    for (;;) {
      const { status } = await sendRequest(this.silentRouter.callers, 'first', '/book/', {});
      if (status === 200) return;
      assert.ok(performance.now() < endsAt, `status ${status}`);
      await pause(100);
    }
  },
);

When(
  /^the server falls silent for (\d+) ms "(.+)" of a (\w+) to "(.+)" on a (new|kept) connection with a deadline of (\d+) ms$/,
  { timeout: 10_000 },
  async function run(
    this: SilentWorld,
    ms: string,
    when: string,
    method: string,
    path: string,
    connection: string,
    deadlineMs: string,
  ) {
    const { callers } = this.silentRouter;
    if (connection === 'kept')
      assert.equal((await send(callers, 'GET', '/read/1', 'opened', 1000)).outcome, '200');
    const isWithin = when === 'within the body';
    if (isWithin) this.silentServer.style = AnswerStyle.InTwoParts;
    else this.silence = this.silentServer.fallSilent(Number(ms));
    const answered = send(callers, method, `${path}1`, TESTED_ID, Number(deadlineMs));
    if (isWithin) {
      await pause(PART_INTERVAL_MS / 2);
      this.silence = this.silentServer.fallSilent(Number(ms));
    }
    this.silentAnswer = await answered;
  },
);

Then(
  'its outcome is {string}, and it comes between {int} and {int} ms after the request',
  function check(this: SilentWorld, outcome: string, from: number, to: number) {
    const { body, ms } = this.silentAnswer;
    assert.equal(this.silentAnswer.outcome, outcome, body);
    if (outcome === '200') assert.equal(body, answerTo(TESTED_ID));
    assert.ok(ms >= from && ms <= to, `${Math.round(ms)} ms`);
  },
);

Then('the server ran it once', function check(this: SilentWorld) {
  assert.equal(this.silentServer.runs.filter(({ id }) => id === TESTED_ID).length, 1);
});

Then(
  'a further booking is answered within {int} ms of the end of the silence',
  async function check(this: SilentWorld, ms: number) {
    await this.silence;
    this.silentServer.style = AnswerStyle.Whole;
    const { outcome } = await send(this.silentRouter.callers, 'POST', '/book/1', 'further', ms);
    assert.equal(outcome, '200');
  },
);

After(function stop(this: SilentWorld) {
  this.silentRouter?.router.dispose();
  this.silentServer?.stop();
  this.silentStore?.close();
});
