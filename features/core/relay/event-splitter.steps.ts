import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { EventSplitter } from '../../../src/core/relay/EventSplitter.js';

interface SplitterWorld {
  splitter: EventSplitter;
  got: string;
  gap: boolean;
}

function eventText(word: string): string {
  const whole = `id: ${word.replace(/[ab]$/, '')}\ndata: words\n\n`;
  if (word.endsWith('a')) return whole.slice(0, 9);
  return word.endsWith('b') ? whole.slice(9) : whole;
}

Given('a caller that has events up to {string}', function set(this: SplitterWorld, last: string) {
  Object.assign(this, { splitter: new EventSplitter(Number(last)), got: '', gap: false });
});

When('chunks {string} arrive', function run(this: SplitterWorld, chunks: string) {
  for (const chunk of chunks.split(',')) {
    if (chunk === '/') {
      this.splitter.restart();
      continue;
    }
    const batch = this.splitter.push(Buffer.from(chunk.split(' ').map(eventText).join('')));
    this.got += batch.bytes?.toString() ?? '';
    this.gap ||= batch.gap;
  }
});

Then('the caller gets events {string}', function check(this: SplitterWorld, events: string) {
  assert.equal(this.got, events.split(' ').map(eventText).join(''));
});

Then('an unfinished event is held: {string}', function check(this: SplitterWorld, held: string) {
  assert.equal(this.splitter.isInsideEvent, held === 'yes');
});

Then('a gap is noticed', function check(this: SplitterWorld) {
  assert.ok(this.gap);
});
