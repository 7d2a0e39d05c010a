import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { decideLease } from '../../../src/core/leases/LeaseKeeper.js';

Then(
  '{string} decides on the step {string} for a lease row that names {string} and is unchanged for {int} ms',
  (self: string, step: string, holder: string, ms: number) => {
    const predecessorPrefix = self.slice(0, self.indexOf('/') + 1);
    assert.equal(decideLease({ holder, fence: 1 }, false, ms, predecessorPrefix), step);
  },
);
