// Prints the known failures, and how many scenarios passed and failed in cucumber's report of the last
// test run. Exits 1 if one failed or none passed, as without a report.
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
    const hasPassed = scenario.steps.every((step) => step.result?.status === 'passed');
    if (hasPassed) passed += 1;
    else failed += 1;
  }
}
console.log(`${passed} passed, ${failed} failed`);
process.exit(passed > 0 && failed === 0 ? 0 : 1);
