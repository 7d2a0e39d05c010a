import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { decideLease } from '../../../src/core/leases/LeaseKeeper.js';

Then(
  'with a lease row that names {string} and is unchanged for {int} ms, the decision is {string} at {string}',
  (holder: string, ms: number, step: string, self: string) => {
    const predecessorPrefix = self.slice(0, self.indexOf('/') + 1);
    const row = { holder, fence: 1 };
    const reading = { row, isCurrent: true, isHolder: false, isHeld: false, unchangedMs: ms };
    assert.equal(decideLease({ ...reading, predecessorPrefix }), step);
  },
);
