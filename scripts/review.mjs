// Plays the cases of the review against the router as the deploy file builds it, one after the other.
// Usage: node scripts/review.mjs [--cases 1,2,3,4,5] [--calm] [--folder review]
// --calm plays no disruption. Exits 1 if a rule was broken, a case could not run, or a router process ended by itself.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, rmSync } from 'node:fs';
import path from 'node:path';
import { parseArgs } from 'node:util';

const RESULTS = { 0: 'held', 1: 'broken' };
const HELD = RESULTS[0];
const NOT_RUN = 'could not run';

/** A line of a case's record on the end of a router process; a planned stop ends with code 0. */
const UNPLANNED_END = /^ *\d+ end \S+ (?!code=0 ).*$/gm;

const { values } = parseArgs({
  options: {
    cases: { type: 'string', default: '1,2,3,4,5' },
    calm: { type: 'boolean', default: false },
    folder: { type: 'string', default: 'review' },
  },
});

function run(command, args, environment = {}) {
  const env = { ...process.env, ...environment };
  const { status, stdout, stderr } = spawnSync(command, args, { env, encoding: 'utf8' });
  return { status, output: `${stdout ?? ''}${stderr ?? ''}`.trim() };
}

/** Plays one case; returns its result and what it printed. */
function play(name) {
  const folder = path.join(values.folder, name);
  const record = path.join(folder, 'record.txt');
  rmSync(record, { force: true });
  const { status, output } = run(path.join(folder, 'run.sh'), [], {
    TROUBLE: values.calm ? '0' : '1',
  });
  const ends = existsSync(record) ? readFileSync(record, 'utf8').match(UNPLANNED_END) : null;
  const result = RESULTS[status] ?? NOT_RUN;
  if (result !== HELD || ends === null) return { result, output };
  return { result: 'a process ended', output: [output, ...ends].join('\n') };
}

function build() {
  for (const [command, ...args] of [
    ['npm', 'run', '--silent', 'build:router'],
    [path.join(values.folder, 'build.sh')],
  ]) {
    const { status, output } = run(command, args);
    if (status === 0) continue;
    console.log(`${[command, ...args].join(' ')} failed: ${output}`);
    process.exit(1);
  }
}

build();
let failed = 0;
const names = values.cases.split(',');
for (const name of names) {
  const startedAt = Date.now();
  const { result, output } = play(name);
  const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
  console.log(`case ${name}: ${result} (${seconds} s)\n${output}`);
  if (result !== HELD) failed += 1;
}
console.log(`review: ${names.length - failed} held, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
