import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { BODY, EarlyAnswerServer, ENDINGS, sendAnswer } from '../adapters/EarlyAnswerServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, startRouter, type StartedRouter } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface UploadWorld {
  uploadStore: FakeStore;
  uploadServer: EarlyAnswerServer;
  uploadRouter: StartedRouter;
  uploadOutcome: string;
}

const MAX_BODY_BYTES = 32_000_000;

/** Time within which a new instance answers, in milliseconds. */
const READY_MS = 8000;

const UPLOAD_ID = 'upload';

/** Returns `whole` with the body, `cut`, or the status with the reason of a refusal. */
function upload(address: string, path: string, bytes: number): Promise<string> {
  return new Promise((resolve) => {
    const headers = {
      host: 'host',
      authorization: 'Token key-1',
      'x-attempt-id': UPLOAD_ID,
      'x-deadline-ms': '4000',
    };
    const options = { ...hostAndPort(address), method: 'POST', path, agent: false, headers };
    const outgoing = httpRequest(options, (message) => {
      let body = '';
      message.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      message.on('error', () => resolve('cut'));
      message.on('end', () => {
        const reason = /"reason":"([a-z-]+)"/.exec(body)?.[1];
        resolve(
          reason === undefined ? `whole ${body}` : `status ${message.statusCode}, reason ${reason}`,
        );
      });
    });
    outgoing.on('error', () => resolve('closed'));
    outgoing.end(Buffer.alloc(bytes));
  });
}

Given(
  /^a router instance before a server that sends an answer (with.* a length) as soon as it has a request's head, then (.+)$/,
  { timeout: 2 * READY_MS },
  async function set(this: UploadWorld, framing: string, ending: string) {
    this.uploadServer = new EarlyAnswerServer((socket, id) => {
      const isUpload = id === UPLOAD_ID;
      sendAnswer(socket, id, isUpload ? framing : 'with a length');
      ENDINGS[isUpload ? ending : 'its end'](socket);
    });
    const address = await this.uploadServer.listen();
    this.uploadStore = new FakeStore();
    const storeAddress = await this.uploadStore.listen();
    const base = configuration(1);
    const limits = { ...base.limits, max_body_bytes: MAX_BODY_BYTES };
    this.uploadStore.put('op', 'config', { ...base, limits });
    this.uploadStore.put('servers', 'plain-0', {
      service: 'plain',
      address,
      zone: 'a',
      version: 'v1',
      slots: 100,
      state: 'ready',
      seq_no: 1,
      born: 1,
    });
    this.uploadRouter = await startRouter('router-1', storeAddress, []);
    const endsAt = performance.now() + READY_MS;
    for (;;) {
      const { status } = await sendRequest(this.uploadRouter.callers, 'first', '/book/', {});
      if (status === 200) return;
      assert.ok(performance.now() < endsAt, `status ${status}`);
      await pause(100);
    }
  },
);

When(
  'a caller uploads {int} bytes to {string}',
  { timeout: READY_MS },
  async function run(this: UploadWorld, bytes: number, path: string) {
    this.uploadOutcome = await upload(this.uploadRouter.callers, path, bytes);
  },
);

Then('the caller receives the whole answer', function check(this: UploadWorld) {
  assert.equal(this.uploadOutcome, `whole ${BODY}`);
});

Then(
  /^the caller receives (status \d+, reason .+)$/,
  function check(this: UploadWorld, outcome: string) {
    assert.equal(this.uploadOutcome, outcome);
  },
);

After(function stop(this: UploadWorld) {
  this.uploadRouter?.router.dispose();
  this.uploadServer?.close();
  this.uploadStore?.close();
});
