import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { checkModel, type ModelCheck } from '../../spec/Checker.js';
import { MODELS } from '../../spec/Models.js';

interface ModelWorld {
  result: ModelCheck;
}

When(
  'the model {string} is explored completely',
  { timeout: 120_000 },
  function run(this: ModelWorld, name: string) {
    const model = MODELS.find((candidate) => candidate.name === name);
    assert.ok(model !== undefined);
    this.result = checkModel(model);
  },
);

Then(
  'every invariant holds in more than {int} states',
  function check(this: ModelWorld, states: number) {
    assert.deepEqual(this.result.violated, []);
    assert.ok(this.result.invariantCount > 0 && this.result.stateCount > states);
  },
);

Then('the defect of its broken variant is found', function check(this: ModelWorld) {
  assert.ok(this.result.counterexample.length > 0);
});
