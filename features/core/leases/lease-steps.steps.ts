import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { decideLease } from '../../../src/core/leases/LeaseKeeper.js';

Then(
  'a row held by {string}, unchanged for {int} ms, is to be {string} by {string}',
  (holder: string, ms: number, step: string, self: string) => {
    const predecessor = self.slice(0, self.indexOf('/') + 1);
    assert.equal(decideLease({ holder, fence: 1 }, false, ms, predecessor), step);
  },
);
