import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { EventSplitter } from '../../../src/core/relay/EventSplitter.js';

interface SplitterWorld {
  splitter: EventSplitter;
  forwarded: string;
  gap: boolean;
}

function eventText(part: string): string {
  const whole = `id: ${part.replace(/[ab]$/, '')}\ndata: words\n\n`;
  if (part.endsWith('a')) return whole.slice(0, 9);
  return part.endsWith('b') ? whole.slice(9) : whole;
}

Given('a caller that has events up to {string}', function set(this: SplitterWorld, last: string) {
  Object.assign(this, { splitter: new EventSplitter(Number(last)), forwarded: '', gap: false });
});

When('chunks {string} arrive', function run(this: SplitterWorld, chunks: string) {
  for (const chunk of chunks.split(',')) {
    if (chunk === '/') {
      this.splitter.restart();
      continue;
    }
    const batch = this.splitter.push(Buffer.from(chunk.split(' ').map(eventText).join('')));
    this.forwarded += batch.bytes?.toString() ?? '';
    this.gap ||= batch.gap;
  }
});

Then('the caller gets events {string}', function check(this: SplitterWorld, events: string) {
  assert.equal(this.forwarded, events.split(' ').map(eventText).join(''));
});

Then(
  'an incomplete event is buffered: {string}',
  function check(this: SplitterWorld, buffered: string) {
    assert.equal(this.splitter.isInsideEvent, buffered === 'yes');
  },
);

Then('a gap is detected', function check(this: SplitterWorld) {
  assert.ok(this.gap);
});
