import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Admission, type AdmissionRequest } from '../../../src/core/admission/Admission.js';

interface AdmissionWorld {
  admission: Admission;
  now: number;
  serial: number;
  answer: string;
}

const CAPACITY = { maxEntries: 10, maxBytes: 1e6 };

const never = (): Promise<void> => new Promise(() => {});

function applicant(
  world: AdmissionWorld,
  account: string,
  cost: number,
  deadlineMs: number,
): AdmissionRequest {
  Object.assign(world, { serial: world.serial + 1 });
  return {
    id: `${world.serial}`,
    account,
    weight: 1,
    priority: 0,
    deadline: world.now + deadlineMs,
    bytes: 1,
    cost,
  };
}

Given('a queue with {int} places', function set(this: AdmissionWorld, places: number) {
  this.now = 0;
  this.serial = 0;
  this.admission = new Admission(places, CAPACITY, () => this.now);
});

Given('past runs {string}', async function set(this: AdmissionWorld, past: string) {
  for (const word of past.split(' ').filter((item) => item !== '')) {
    const [tokens, durationMs] = word.split(':').map(Number);
    await new Promise<void>((resolve) => {
      const run = async () => {
        this.now += durationMs;
        resolve();
      };
      this.admission.submit(applicant(this, 'past', tokens, 1e9), run, () => {});
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
        this.admission.submit(applicant(this, account, tokens, 1e9), never, () => {}),
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
      applicant(this, account, tokens, deadlineMs),
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
