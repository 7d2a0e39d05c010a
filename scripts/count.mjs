// Prints the known failures and the counts of the last test run, from cucumber's report.
import { existsSync, readFileSync } from 'node:fs';

const REPORT = 'reports/cucumber.json';
const KNOWN_RED = 'KNOWN-RED.txt';

if (existsSync(KNOWN_RED)) console.log(readFileSync(KNOWN_RED, 'utf8').trim());

let passed = 0;
let failed = 0;
const features = existsSync(REPORT) ? JSON.parse(readFileSync(REPORT, 'utf8')) : [];
for (const feature of features) {
  for (const scenario of feature.elements ?? []) {
    if (scenario.type !== 'scenario') continue;
    const good = scenario.steps.every((step) => step.result?.status === 'passed');
    if (good) passed += 1;
    else failed += 1;
  }
}
console.log(`${passed} passed, ${failed} failed`);
process.exit(passed > 0 && failed === 0 ? 0 : 1);
