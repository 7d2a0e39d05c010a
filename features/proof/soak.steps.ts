import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { InvariantKind } from '../../src/core/Invariant.js';
import { replay, soak, type GeneratedRun, type SoakReport } from '../../src/fakes/soak/SoakRun.js';

interface SoakWorld {
  report: SoakReport;
}

const TIMEOUT = { timeout: 300_000 };

When(
  '{int} random runs are executed with seed {int}',
  TIMEOUT,
  async function execute(this: SoakWorld, runs: number, seed: number) {
    this.report = await soak(seed, runs);
    // A soak ends at the first failure; the number of runs is checked only when there was none.
    assert.equal(this.report.runs, this.report.failure === '' ? runs : this.report.runs);
  },
);

When(
  /^the run (\{.*\}) is executed$/,
  TIMEOUT,
  async function execute(this: SoakWorld, run: string) {
    this.report = await replay(JSON.parse(run) as GeneratedRun);
  },
);

Then('no invariant is violated', function check(this: SoakWorld) {
  assert.equal(this.report.failure, '');
  assert.equal(this.report.violations, 0);
  assert.ok(this.report.runs > 0 && this.report.outcomes.complete > 0);
});

Then('every invariant was checked', function check(this: SoakWorld) {
  for (const kind of Object.values(InvariantKind))
    assert.ok((this.report.checks[kind] ?? 0) > 0, `${kind} was never checked`);
});
