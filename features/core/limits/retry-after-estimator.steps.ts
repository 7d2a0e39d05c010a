import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RetryAfterEstimator } from '../../../src/core/limits/RetryAfterEstimator.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';

interface EstimatorWorld {
  estimator: RetryAfterEstimator | undefined;
  now: number;
  delays: number[];
}

Given(
  '{int} of {int} requests per second are refused for {int} seconds',
  function run(this: EstimatorWorld, refused: number, rate: number, seconds: number) {
    this.estimator ??= new RetryAfterEstimator(new SeededRandom(1));
    this.now ??= 0;
    for (let count = 0; count < rate * seconds; count += 1) {
      this.now += 1000 / rate;
      this.estimator.record(count % rate < refused, this.now);
    }
  },
);

When('a caller with {int} ms left is refused', function run(this: EstimatorWorld, left: number) {
  assert.ok(this.estimator);
  this.delays = [this.estimator.delayMs(left, this.now)];
});

When(
  '{int} callers with {int} ms left are refused',
  function run(this: EstimatorWorld, callers: number, left: number) {
    const { estimator, now } = this;
    assert.ok(estimator);
    this.delays = Array.from({ length: callers }, () => estimator.delayMs(left, now));
  },
);

Then(
  'its retry-after delay is {int} to {int} ms',
  function check(this: EstimatorWorld, from: number, to: number) {
    const [delay] = this.delays;
    assert.ok(delay >= from && delay <= to, `the delay is ${delay} ms`);
  },
);

Then(
  'at most {int} of them retry in any half second',
  function check(this: EstimatorWorld, most: number) {
    const sorted = [...this.delays].sort((one, other) => one - other);
    for (const [index, delay] of sorted.entries()) {
      const together = sorted.slice(index).filter((later) => later - delay < 500).length;
      assert.ok(together <= most, `${together} callers retry within 500 ms from ${delay} ms`);
    }
  },
);
