import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { soakProcesses, type ProcessSoakResult } from './Soak.js';

interface SoakWorld {
  result: ProcessSoakResult;
}

When(
  '{int} instances and {int} callers run under the faults of seed {int} for {int} seconds',
  { timeout: 90_000 },
  async function run(
    this: SoakWorld,
    instances: number,
    callers: number,
    seed: number,
    seconds: number,
  ) {
    this.result = await soakProcesses({ seed, instances, callers, faultsMs: seconds * 1000 });
  },
);

Then('no guarantee was violated', function check(this: SoakWorld) {
  const { served, faults, violations } = this.result;
  assert.deepEqual(violations, [], faults.join('\n'));
  assert.ok(served > 0);
});
