import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { TokenAssembler, type TokenVerdict } from '../../../src/core/streams/TokenAssembler.js';

interface AssemblerWorld {
  delivered: number[];
  verdicts: TokenVerdict[];
}

When('the assembler receives {string}', function run(this: AssemblerWorld, arrivals: string) {
  this.delivered = [];
  this.verdicts = [];
  const assembler = new TokenAssembler((_text, index) => this.delivered.push(index));
  for (const word of arrivals.split(' ')) {
    if (word === 'raise') {
      assembler.raiseEpoch();
      continue;
    }
    const [epoch = 0, index = 0] = word.split(':').map(Number);
    this.verdicts.push(assembler.accept(epoch, index, ''));
  }
});

Then('it delivers {string}', function check(this: AssemblerWorld, expected: string) {
  assert.equal(this.delivered.join(' '), expected);
});

Then('its verdicts are {string}', function check(this: AssemblerWorld, expected: string) {
  assert.equal(this.verdicts.join(' '), expected);
});
