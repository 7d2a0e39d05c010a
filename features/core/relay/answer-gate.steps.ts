import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { judgeAnswer, type RepeatPolicy } from '../../../src/core/relay/AnswerGate.js';
import type { AnswerHead } from '../../../src/core/relay/Types.js';
import { answerHead } from '../FleetFixture.js';

interface GateWorld {
  verdict: string;
}

const MARKS: Readonly<Record<string, Partial<AnswerHead>>> = {
  'not-executed': { notExecuted: true },
  unsigned: { signed: false },
  encoded: { identityEncoded: false },
  unsendable: { sendable: false },
};

When(
  'the answer to a {string} has the head {string}',
  function run(this: GateWorld, policy: RepeatPolicy, text: string) {
    const [status, ...marks] = text.split(' ');
    let head = answerHead({ status: Number(status) });
    for (const mark of marks) {
      assert.ok(mark in MARKS, `unknown mark ${mark}`);
      head = { ...head, ...MARKS[mark] };
    }
    this.verdict = judgeAnswer(head, policy).verdict;
  },
);

Then('it is judged {string}', function check(this: GateWorld, verdict: string) {
  assert.equal(this.verdict, verdict);
});
