import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { walk, type Walk } from '../../spec/Checker.js';
import { MODELS } from '../../spec/Models.js';

interface ModelWorld {
  walk: Walk;
}

When(
  'the model {string} is walked to its end',
  { timeout: 120_000 },
  function run(this: ModelWorld, name: string) {
    const model = MODELS.find((candidate) => candidate.name === name);
    assert.ok(model !== undefined);
    this.walk = walk(model);
  },
);

Then(
  'every invariant holds in more than {int} states',
  function check(this: ModelWorld, states: number) {
    assert.deepEqual(this.walk.violated, []);
    assert.ok(this.walk.invariants > 0 && this.walk.states > states);
  },
);

Then('its broken variant is caught', function check(this: ModelWorld) {
  assert.ok(this.walk.counterexample.length > 0);
});
