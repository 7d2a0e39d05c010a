import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { soakProcesses, type ProcessSoakResult, type SoakOptions } from './Soak.js';

interface SoakWorld {
  result: ProcessSoakResult;
}

/** Options of a run by what its step says. */
const OPTIONS: Readonly<Record<string, Partial<SoakOptions>>> = {
  'a crashing prompt part': { hasCrashingPart: true },
  'servers that leave and ask for pauses in their answers': { hasServerNotices: true },
  'sound servers that fall silent': { hasSilentServers: true },
};

function optionsOf(kind: string): Partial<SoakOptions> {
  const options = OPTIONS[kind];
  assert.ok(options !== undefined, `no run with ${kind}`);
  return options;
}

When(
  /^(\d+) instances and (\d+) callers run under the faults of seed (\d+) for (\d+) seconds(?:, with (.+))?$/,
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
      ...(kind !== null && optionsOf(kind)),
    });
  },
);

Then('no guarantee was violated', function check(this: SoakWorld) {
  const { served, faults, violations } = this.result;
  assert.deepEqual(violations, [], faults.join('\n'));
  assert.ok(served > 0);
});
