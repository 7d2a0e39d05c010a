import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { soakProcesses, type ProcessSoakResult } from './Soak.js';

interface SoakWorld {
  result: ProcessSoakResult;
}

When(
  /^(\d+) instances and (\d+) callers run under the faults of seed (\d+) for (\d+) seconds(, with a crashing prompt part|, with servers that leave and ask for pauses in their answers)?$/,
  { timeout: 90_000 },
  async function run(
    this: SoakWorld,
    instances: string,
    callers: string,
    seed: string,
    seconds: string,
    kind: string | null,
  ) {
    this.result = await soakProcesses({
      seed: Number(seed),
      instances: Number(instances),
      callers: Number(callers),
      faultsMs: Number(seconds) * 1000,
      hasCrashingPart: kind?.includes('crashing') === true,
      hasServerNotices: kind?.includes('servers') === true,
    });
  },
);

Then('no guarantee was violated', function check(this: SoakWorld) {
  const { served, faults, violations } = this.result;
  assert.deepEqual(violations, [], faults.join('\n'));
  assert.ok(served > 0);
});
