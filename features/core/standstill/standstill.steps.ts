import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { StandstillGuard } from '../../../src/core/standstill/StandstillGuard.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface StandstillWorld {
  standClock: VirtualClock;
  guard: StandstillGuard;
  asked: number;
  /** Numbers of the pieces of work in the order in which they began, with the times. */
  begun: { number: number; at: number }[];
  arrivals: number[];
  logged: string[];
}

/** Longest wait that is looked for, in milliseconds. */
const OBSERVED_MS = 3000;

const SPECIAL_ANSWERS: Readonly<Record<string, () => Promise<void>>> = {
  never: () => new Promise(() => {}),
  refused: () => Promise.reject(new Error('no peer')),
};

Given(
  'an instance whose question is answered after {string} ms',
  function set(this: StandstillWorld, answer: string) {
    this.standClock = new VirtualClock();
    this.asked = 0;
    this.begun = [];
    this.arrivals = [];
    this.logged = [];
    const ask = SPECIAL_ANSWERS[answer] ?? (() => this.standClock.sleep(Number(answer)));
    this.guard = new StandstillGuard({
      clock: this.standClock,
      decisions: { record: (event) => this.logged.push(event) },
      ask: () => {
        this.asked += 1;
        return ask();
      },
    });
    this.guard.start();
  },
);

When(
  'it runs for {int} ms and stands still for {int} ms',
  async function run(this: StandstillWorld, ms: number, pauseMs: number) {
    await this.standClock.runUntil(this.standClock.now() + ms);
    this.standClock.jump(pauseMs);
  },
);

When('its timers fire for {int} ms', async function run(this: StandstillWorld, ms: number) {
  await this.standClock.runUntil(this.standClock.now() + ms);
});

When('work arrives, before any timer', function run(this: StandstillWorld) {
  const number = this.arrivals.length;
  this.arrivals.push(this.standClock.now());
  this.guard.whenInformed(() => this.begun.push({ number, at: this.standClock.now() }));
});

Then(
  /^(?:the|all) work begins (\d+) ms later$/,
  async function check(this: StandstillWorld, text: string) {
    const lastArrivalAt = this.arrivals.at(-1) as number;
    await this.standClock.runUntil(lastArrivalAt + OBSERVED_MS);
    assert.deepEqual(
      this.begun,
      this.arrivals.map((_, number) => ({ number, at: lastArrivalAt + Number(text) })),
    );
  },
);

When('work arrives that will fail with an unexpected error', function run(this: StandstillWorld) {
  this.guard.whenInformed(() => {
    throw new Error('unexpected');
  });
});

Then('the error of that work is logged', function check(this: StandstillWorld) {
  assert.equal(this.logged.filter((event) => event === 'standstill-error').length, 1);
});

Then('it has asked {int} times', function check(this: StandstillWorld, times: number) {
  assert.equal(this.asked, times);
});
