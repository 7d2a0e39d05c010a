import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Admission, type AdmissionRequest } from '../../../src/core/admission/Admission.js';

interface AdmissionWorld {
  admission: Admission;
  now: number;
  lastId: number;
  answer: string;
}

const LIMITS = { maxEntries: 10, maxBytes: 1e6 };

const never = (): Promise<void> => new Promise(() => {});

function admissionRequest(
  world: AdmissionWorld,
  account: string,
  cost: number,
  deadlineMs: number,
): AdmissionRequest {
  Object.assign(world, { lastId: world.lastId + 1 });
  return {
    id: `${world.lastId}`,
    account,
    weight: 1,
    priority: 0,
    deadline: world.now + deadlineMs,
    bytes: 1,
    cost,
  };
}

Given('an admission queue with {int} slots', function set(this: AdmissionWorld, slots: number) {
  this.now = 0;
  this.lastId = 0;
  this.admission = new Admission(slots, LIMITS, () => this.now);
});

Given('past runs {string}', async function set(this: AdmissionWorld, past: string) {
  for (const word of past.split(' ').filter((item) => item !== '')) {
    const [tokens, durationMs] = word.split(':').map(Number);
    await new Promise<void>((resolve) => {
      const run = async () => {
        this.now += durationMs;
        resolve();
      };
      this.admission.submit(admissionRequest(this, 'past', tokens, 1e9), run, () => {});
    });
    await new Promise(setImmediate);
  }
});

Given('a pause of {int} ms', function set(this: AdmissionWorld, pauseMs: number) {
  this.now += pauseMs;
});

Given(
  '{int} running and {int} waiting requests of {int} tokens of account {string}',
  async function set(
    this: AdmissionWorld,
    running: number,
    waiting: number,
    tokens: number,
    account: string,
  ) {
    for (let index = 0; index < running + waiting; index += 1) {
      assert.equal(
        this.admission.submit(admissionRequest(this, account, tokens, 1e9), never, () => {}),
        undefined,
      );
    }
    await new Promise(setImmediate);
  },
);

When(
  'account {string} asks for {int} tokens within {int} ms',
  function ask(this: AdmissionWorld, account: string, tokens: number, deadlineMs: number) {
    const refused = this.admission.submit(
      admissionRequest(this, account, tokens, deadlineMs),
      never,
      () => {},
    );
    this.answer = refused?.reason ?? 'queued';
    assert.ok(refused === undefined || refused.retryAfterMs > 0);
  },
);

Then('the answer is {string}', function check(this: AdmissionWorld, expected: string) {
  assert.equal(this.answer, expected);
});
