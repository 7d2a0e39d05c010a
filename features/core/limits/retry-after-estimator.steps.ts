import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RetryAfterEstimator } from '../../../src/core/limits/RetryAfterEstimator.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';

interface AdviceWorld {
  advice: RetryAfterEstimator | undefined;
  now: number;
  waits: number[];
}

Given(
  '{int} of {int} requests a second are refused for {int} seconds',
  function run(this: AdviceWorld, refused: number, rate: number, seconds: number) {
    this.advice ??= new RetryAfterEstimator(new SeededRandom(1));
    this.now ??= 0;
    for (let count = 0; count < rate * seconds; count += 1) {
      this.now += 1000 / rate;
      this.advice.record(count % rate < refused, this.now);
    }
  },
);

When('a caller with {int} ms left is refused', function run(this: AdviceWorld, left: number) {
  assert.ok(this.advice);
  this.waits = [this.advice.delayMs(left, this.now)];
});

When(
  '{int} callers with {int} ms left are refused',
  function run(this: AdviceWorld, callers: number, left: number) {
    const { advice, now } = this;
    assert.ok(advice);
    this.waits = Array.from({ length: callers }, () => advice.delayMs(left, now));
  },
);

Then(
  'it shall come back after {int} to {int} ms',
  function check(this: AdviceWorld, from: number, to: number) {
    const [wait] = this.waits;
    assert.ok(wait >= from && wait <= to, `${wait} ms`);
  },
);

Then(
  'no half of a second has more than {int} of their returns',
  function check(this: AdviceWorld, most: number) {
    const sorted = [...this.waits].sort((one, other) => one - other);
    for (const [index, wait] of sorted.entries()) {
      const together = sorted.slice(index).filter((later) => later - wait < 500).length;
      assert.ok(together <= most, `${together} at ${wait} ms`);
    }
  },
);
