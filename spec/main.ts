/** `npm run models`: checks every model and prints the results. */
import { MODELS } from './Models.js';
import { checkModel } from './Checker.js';

let failed = false;
for (const model of MODELS) {
  const startedAt = performance.now();
  const { states, invariants, violated, counterexample } = checkModel(model);
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  const caught = counterexample.length > 0;
  if (violated.length > 0 || !caught) failed = true;
  const verdict = violated.length === 0 ? 'hold' : `BROKEN: ${violated.join(', ')}`;
  const counterexampleText = caught
    ? `caught in ${counterexample.length} steps: ${counterexample.join(', ')}`
    : 'NOT CAUGHT';
  console.log(`${model.name}: ${states} states, ${invariants} invariants ${verdict}, ${seconds} s`);
  console.log(`  broken variant (${model.defect}): ${counterexampleText}`);
}
process.exit(failed ? 1 : 0);
