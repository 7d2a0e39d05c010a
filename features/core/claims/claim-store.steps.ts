import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ClaimStore } from '../../../src/core/claims/ClaimStore.js';
import { KeyedRequestRunner, type RunResult } from '../../../src/core/claims/KeyedRequestRunner.js';
import { KeyMint } from '../../../src/core/claims/KeyMint.js';
import { Outcome } from '../../../src/core/Outcome.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { CommitStatus, type Row, type TableService } from '../../../src/ports/Types.js';

interface ClaimWorld {
  clock: VirtualClock;
  calls: string[];
  rows: Map<string, Row>;
  results: RunResult[];
}

const SETTLE_TIMEOUT_MS = 2000;

const REQUEST = { account: 'account', key: 'key', digest: 'digest' };

const ANSWER = { status: 200, contentType: 'text/plain', body: '' };

/** A table service whose calls end as listed; once the list is used up, all work. */
function tableOf(world: ClaimWorld): TableService {
  return {
    read: (keys) => {
      if (world.calls.shift() === 'R') return Promise.reject(new Error('no answer'));
      return Promise.resolve(keys.map((key) => world.rows.get(key)));
    },
    transact: ({ conditions, writes }) => {
      const isLost = world.calls.shift() === 'W';
      const conflicts = conditions.filter(
        ({ key, version }) => (world.rows.get(key)?.version ?? 0) !== version,
      );
      if (conflicts.length > 0) {
        const keys = conflicts.map(({ key }) => key);
        return Promise.resolve({ status: CommitStatus.Conflict, conflicts: keys });
      }
      for (const { key, value } of writes) {
        const version = (world.rows.get(key)?.version ?? 0) + 1;
        world.rows.set(key, { key, version, value });
      }
      if (isLost) return Promise.reject(new Error('no answer'));
      return Promise.resolve({ status: CommitStatus.Committed, conflicts: [] });
    },
  };
}

Given(
  'a table service whose calls end like this: {string}',
  function set(this: ClaimWorld, calls: string) {
    this.clock = new VirtualClock();
    this.calls = calls.split(' ');
    this.rows = new Map();
    this.results = [];
  },
);

When(
  'a keyed request is sent, and sent again {int} ms later',
  async function run(this: ClaimWorld, ms: number) {
    const { clock } = this;
    const store = new ClaimStore({ table: tableOf(this), clock }, 'holder', SETTLE_TIMEOUT_MS);
    const origin = { instance: 'holder', incarnation: '1' };
    const holders = {
      isRunning: () => Promise.resolve(false),
      forward: () => Promise.resolve(undefined),
    };
    let attempts = 0;
    const newAttempt = (): string => {
      attempts += 1;
      return `attempt-${attempts}`;
    };
    const mint = new KeyMint(origin, () => 'nonce');
    const runner = new KeyedRequestRunner(store, mint, holders, origin, clock, newAttempt);
    for (let sends = 0; sends < 2; sends += 1) {
      const body = Buffer.alloc(0).toString('base64');
      const request = { ...REQUEST, method: 'POST', path: '/', service: 's', headers: {}, body };
      runner
        .execute(request as never, () => Promise.resolve({ answer: ANSWER }))
        .then((result) => this.results.push(result));
      await clock.runUntil(clock.now() + ms);
    }
    runner.dispose();
  },
);

Then(
  'the first is refused as not run, and the second is answered',
  function check(this: ClaimWorld) {
    const [first, second] = this.results;
    assert.equal(first.refusal?.outcome, Outcome.NotRun);
    assert.equal(second.refusal, undefined);
    assert.equal(second.answer?.status, ANSWER.status);
  },
);
