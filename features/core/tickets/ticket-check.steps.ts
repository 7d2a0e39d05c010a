import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { parseYaml } from '../../../src/adapters/yaml/CheckedYaml.js';
import type { ValidationFault } from '../../../src/core/Failure.js';
import { checkTicket } from '../../../src/core/tickets/TicketCheck.js';

interface CheckWorld {
  faults: readonly ValidationFault[];
}

When('the ticket {string} is checked', function run(this: CheckWorld, text: string) {
  const parsed = parseYaml(text.replaceAll(';', '\n'));
  this.faults = parsed.isErr
    ? parsed.error
    : checkTicket(parsed.value.value, parsed.value.lineOf).faults;
});

Then(
  'the only faults are at {string}, on lines {string}',
  function check(this: CheckWorld, paths: string, lines: string) {
    const expected = paths.split(' ').filter((word) => word !== '');
    const found = [...new Set(this.faults.map((fault) => fault.path || '(document)'))];
    assert.deepEqual(found, expected);
    if (lines !== '')
      assert.equal([...new Set(this.faults.map((fault) => fault.line))].join(' '), lines);
    for (const fault of this.faults) assert.ok(fault.remedy.length > 0);
  },
);
