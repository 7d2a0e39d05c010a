/** `npm run models`: checks every model and prints the results. */
import { MODELS } from './Models.js';
import { checkModel } from './Checker.js';

let failed = false;
for (const model of MODELS) {
  const startedAt = performance.now();
  const { stateCount, invariantCount, violated, counterexample } = checkModel(model);
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  const isFound = counterexample.length > 0;
  if (violated.length > 0 || !isFound) failed = true;
  const verdict = violated.length === 0 ? 'all hold' : `VIOLATED: ${violated.join(', ')}`;
  const counterexampleText = isFound
    ? `violation found in ${counterexample.length} steps: ${counterexample.join(', ')}`
    : 'NO VIOLATION FOUND: the invariants or the model are too weak to show the defect';
  console.log(
    `${model.name}: ${stateCount} states, ${invariantCount} invariants: ${verdict}, ${seconds} s`,
  );
  console.log(`  broken variant (${model.defect}): ${counterexampleText}`);
}
process.exit(failed ? 1 : 0);
