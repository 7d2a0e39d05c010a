/** `npm run models`: walks every model and prints a line for each. */
import { MODELS } from './Models.js';
import { walk } from './Checker.js';

let failed = false;
for (const model of MODELS) {
  const startedAt = performance.now();
  const { states, invariants, violated, counterexample } = walk(model);
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  const caught = counterexample.length > 0;
  if (violated.length > 0 || !caught) failed = true;
  const verdict = violated.length === 0 ? 'hold' : `BROKEN: ${violated.join(', ')}`;
  const broken = caught
    ? `caught in ${counterexample.length} steps: ${counterexample.join(', ')}`
    : 'NOT CAUGHT';
  console.log(`${model.name}: ${states} states, ${invariants} invariants ${verdict}, ${seconds} s`);
  console.log(`  broken variant (${model.broken}): ${broken}`);
}
process.exit(failed ? 1 : 0);
