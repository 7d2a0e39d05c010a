import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { decideLease } from '../../../src/core/leases/LeaseKeeper.js';

Then(
  'a row held by {string}, unchanged for {int} ms, requires the step {string} of {string}',
  (holder: string, ms: number, step: string, self: string) => {
    const predecessorPrefix = self.slice(0, self.indexOf('/') + 1);
    assert.equal(decideLease({ holder, fence: 1 }, false, ms, predecessorPrefix), step);
  },
);
