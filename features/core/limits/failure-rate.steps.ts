import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { FailureRate } from '../../../src/core/limits/FailureRate.js';

interface FailureWorld {
  restarts: boolean;
}

When(
  '{int} unexpected failures occur, one every {int} ms',
  function run(this: FailureWorld, count: number, ms: number) {
    const rate = new FailureRate();
    this.restarts = false;
    for (let index = 0; index < count; index += 1) this.restarts ||= rate.record(index * ms);
  },
);

Then(/^the process (goes on|restarts)$/, function check(this: FailureWorld, result: string) {
  assert.equal(this.restarts, result === 'restarts');
});
