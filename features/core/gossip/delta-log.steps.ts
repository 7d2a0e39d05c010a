import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DeltaLog, type Delta } from '../../../src/core/gossip/DeltaLog.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';

interface DeltaWorld {
  log: DeltaLog;
  delta: Delta;
  written: Map<string, number>;
  read: Map<string, number>;
}

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const ENTRY_LIMIT = 3;

function stateOf(text: string): Map<string, number> {
  return new Map(text.split(',').map((pair) => [pair.split('=')[0], Number(pair.split('=')[1])]));
}

Given('a delta log updated with {string}', function set(this: DeltaWorld, updates: string) {
  this.log = new DeltaLog();
  for (const update of updates.split(' ')) this.log.update(stateOf(update));
});

When(
  'a reader reads at most {int} entries after sequence number {int}',
  function ask(this: DeltaWorld, limit: number, seen: number) {
    this.delta = this.log.since(seen, limit);
  },
);

Then(
  'it receives {string} up to sequence number {int}',
  function check(this: DeltaWorld, entries: string, sequence: number) {
    assert.equal(
      this.delta.entries.map(({ name, value }) => `${name}=${value}`).join(' '),
      entries,
    );
    assert.equal(this.delta.sequence, sequence);
  },
);

When(
  '{int} random updates reach a reader that loses {int} in 10 messages with seed {int}',
  function run(this: DeltaWorld, updates: number, lost: number, seed: number) {
    const random = new SeededRandom(seed);
    this.log = new DeltaLog();
    this.written = new Map();
    this.read = new Map();
    let seen = 0;
    const exchange = (isLost: boolean) => {
      const delta = this.log.since(seen, ENTRY_LIMIT);
      if (isLost) return;
      for (const { name, value } of delta.entries) this.read.set(name, value);
      seen = delta.sequence;
    };
    for (let update = 0; update < updates; update += 1) {
      const name = random.pick(NAMES);
      if (random.chance(0.3)) this.written.delete(name);
      else this.written.set(name, Math.ceil(random.between(0, 100)));
      this.log.update(this.written);
      exchange(random.chance(lost / 10));
    }
    for (let round = 0; round < NAMES.length; round += 1) exchange(false);
  },
);

Then(
  "the reader holds the writer's state within {int} percent",
  function check(this: DeltaWorld, percent: number) {
    for (const name of NAMES) {
      const written = this.written.get(name) ?? 0;
      const read = this.read.get(name) ?? 0;
      assert.ok(
        Math.abs(written - read) <= (read * percent) / 100,
        `value of ${name}: the reader has ${read}, the writer ${written}`,
      );
    }
  },
);
