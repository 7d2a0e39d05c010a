import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ReturningCallers } from '../../../src/core/admission/ReturningCallers.js';

interface ReturningWorld {
  returning: ReturningCallers;
  isReturn: boolean;
}

Given(
  'a request that was refused, and {int} others since',
  function set(this: ReturningWorld, others: number) {
    this.returning = new ReturningCallers();
    this.returning.recordRefusal('own', 0);
    for (let other = 0; other < others; other += 1)
      this.returning.recordRefusal(`other-${other}`, 1);
  },
);

When(
  'it comes back {int} times, the last time {int} ms after its refusal',
  function run(this: ReturningWorld, times: number, ms: number) {
    for (let time = 1; time <= times; time += 1)
      this.isReturn = this.returning.takeReturn('own', (ms * time) / times);
  },
);

Then('it counts as {}', function check(this: ReturningWorld, known: string) {
  assert.equal(this.isReturn, known === 'a return');
});
