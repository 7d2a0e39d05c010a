import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { chmodSync, mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Then, When, type DataTable } from '@cucumber/cucumber';

interface ReviewWorld {
  reviewOutput: string;
  reviewExit: number | null;
}

const SCRIPT = 'scripts/review.mjs';

/** Time limit of a case by its own harness, and of the builds before it, in milliseconds. */
const STEP_LIMIT_MS = 150_000;

function writeProgram(file: string, lines: readonly string[]): void {
  writeFileSync(file, ['#!/usr/bin/env bash', ...lines, ''].join('\n'));
  chmodSync(file, 0o755);
}

async function playScript(world: ReviewWorld, args: readonly string[]): Promise<void> {
  const child = spawn(process.execPath, [SCRIPT, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  world.reviewOutput = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => {
      world.reviewOutput += chunk.toString();
    });
  }
  [world.reviewExit] = (await once(child, 'close')) as [number | null];
}

When(
  'the script of the review plays these cases:',
  { timeout: STEP_LIMIT_MS },
  async function run(this: ReviewWorld, table: DataTable) {
    const folder = mkdtempSync(path.join(tmpdir(), 'cases-'));
    writeProgram(path.join(folder, 'build.sh'), ['exit 0']);
    const names: string[] = [];
    for (const row of table.hashes()) {
      const name = row.case;
      names.push(name);
      // A case that is missing has no folder.
      if (row['exits with'] === '') continue;
      mkdirSync(path.join(folder, name));
      const record = path.join(folder, name, 'record.txt');
      const program = [`echo '${row.records}' > '${record}'`, `exit ${row['exits with']}`];
      writeProgram(path.join(folder, name, 'run.sh'), program);
    }
    await playScript(this, ['--folder', folder, '--cases', names.join(',')]);
  },
);

When(
  'the script of the review plays case {int} without trouble',
  { timeout: STEP_LIMIT_MS },
  async function run(this: ReviewWorld, number: number) {
    await playScript(this, ['--cases', String(number), '--calm']);
  },
);

Then(
  'it reports these cases, and exits with {int}:',
  function check(this: ReviewWorld, exit: number, table: DataTable) {
    const reported = this.reviewOutput.matchAll(/^case (\S+): (.+) \(/gm);
    const expected = table.hashes().map((row) => [row.case, row.result]);
    assert.deepEqual(
      Array.from(reported, ([, name, result]) => [name, result]),
      expected,
      this.reviewOutput,
    );
    assert.equal(this.reviewExit, exit, this.reviewOutput);
  },
);
