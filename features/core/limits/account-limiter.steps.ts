import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { runLimitCase, type DemandShape, type LimitRow } from '../../../bench/Limits.js';

interface LimitWorld {
  row: LimitRow;
}

When(
  'the limit is simulated with {string} demand at {float} times the limit and seed {int}',
  function run(this: LimitWorld, demand: string, load: number, seed: number) {
    this.row = runLimitCase(demand as DemandShape, load, seed);
  },
);

Then(
  'more than 0.5 times the limit is admitted on average, and at most {float} times in any second',
  function check(this: LimitWorld, most: number) {
    assert.ok(this.row.admitted > 0.5 && this.row.highestSecond <= most, JSON.stringify(this.row));
  },
);

Then('at most {float} of the limit stays unused', function check(this: LimitWorld, most: number) {
  assert.ok(this.row.unused <= most, JSON.stringify(this.row));
});
