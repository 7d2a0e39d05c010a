import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { EvenSpread } from '../../../src/core/limits/EvenSpread.js';
import { RetryAfterEstimator } from '../../../src/core/limits/RetryAfterEstimator.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';

interface RankedWorld {
  ranks: readonly [RetryAfterEstimator, RetryAfterEstimator];
  now: number;
  delays: number[];
}

/** Difference between two delays that are as long, for their spread, in milliseconds. */
const SPREAD_MS = 2500;

const RELATIONS: Readonly<Record<string, (rank0: number, rank2: number) => boolean>> = {
  longer: (rank0, rank2) => rank2 > rank0 + 500,
  'as long': (rank0, rank2) => Math.abs(rank2 - rank0) < SPREAD_MS,
};

Given(
  '{int} of {int} requests per second of rank 0 and {int} of {int} of rank 2 are refused for {int} seconds',
  function run(
    this: RankedWorld,
    first: number,
    rate: number,
    second: number,
    _rate: number,
    seconds: number,
  ) {
    const random = new SeededRandom(1);
    const whole = new RetryAfterEstimator(random);
    const ranked = () => new RetryAfterEstimator(new EvenSpread(random), whole);
    this.ranks = [ranked(), ranked()];
    this.now = 0;
    for (let count = 0; count < rate * seconds; count += 1) {
      this.now += 1000 / rate;
      this.ranks[0].record(count % rate < first, this.now);
      this.ranks[1].record(count % rate < second, this.now);
    }
  },
);

When(
  'a caller of each rank with {int} ms left is refused',
  function run(this: RankedWorld, left: number) {
    this.delays = this.ranks.map((estimator) => estimator.delayMs(left, this.now));
  },
);

When(
  '{int} callers of rank 2 with {int} ms left are refused',
  function run(this: RankedWorld, callers: number, left: number) {
    const [, rank2] = this.ranks;
    this.delays = Array.from({ length: callers }, () => rank2.delayMs(left, this.now));
  },
);

Then(
  'the retry-after delay of rank 0 is {int} to {int} ms, and that of rank 2 is {}',
  function check(this: RankedWorld, from: number, to: number, relation: string) {
    const [rank0, rank2] = this.delays;
    assert.ok(rank0 >= from && rank0 <= to, `the delay of rank 0 is ${rank0} ms`);
    assert.ok(RELATIONS[relation](rank0, rank2), `the delays are ${rank0} and ${rank2} ms`);
  },
);

Then('their retries are at least {int} ms apart', function check(this: RankedWorld, least: number) {
  const sorted = [...this.delays].sort((one, other) => one - other);
  for (const [index, delay] of sorted.entries())
    assert.ok(index === 0 || delay - sorted[index - 1] >= least, `they are ${sorted.join(' ')}`);
});

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
