import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Failure, FailureKind } from '../../../src/core/Failure.js';
import { FeedFollower } from '../../../src/core/store/FeedFollower.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import type { ChangeFeed, StoreEntry } from '../../../src/ports/ChangeFeed.js';

interface FollowerWorld {
  clock: VirtualClock;
  entries: StoreEntry<string>[];
  reads: number;
  failures: number;
  hasLostHistory: boolean;
  known: Set<string>;
}

function addEntry(world: FollowerWorld, key: string): void {
  world.entries.push({ key, revision: world.entries.length + 1, value: key });
}

function feedOf(world: FollowerWorld): ChangeFeed<string> {
  const throwIfFailing = () => {
    if (world.failures === 0) return;
    world.failures -= 1;
    throw new Failure(FailureKind.PlatformUnavailable, 'The store is busy. The call is retried.');
  };
  return {
    readAll: () => {
      throwIfFailing();
      world.reads += 1;
      return Promise.resolve({
        entries: [...world.entries],
        revision: world.entries.length,
        storeTimeMs: 0,
      });
    },
    changesSince: async (revision, waitMs) => {
      throwIfFailing();
      if (world.hasLostHistory) {
        world.hasLostHistory = false;
        return undefined;
      }
      if (world.entries.length === revision) await world.clock.sleep(waitMs);
      return { entries: world.entries.slice(revision), revision: world.entries.length };
    },
  };
}

Given(
  'a follower of a table with entries {string}',
  async function set(this: FollowerWorld, list: string) {
    Object.assign(this, {
      clock: new VirtualClock(),
      entries: [],
      reads: 0,
      failures: 0,
      hasLostHistory: false,
      known: new Set(),
    });
    for (const key of list.split(' ')) addEntry(this, key);
    const receive = ({ entries }: { entries: readonly StoreEntry<string>[] }) => {
      for (const { key } of entries) this.known.add(key);
    };
    new FeedFollower({
      name: 'table',
      clock: this.clock,
      feed: feedOf(this),
      listener: { onSnapshot: receive, onChanges: receive },
      decisions: { record: () => {} },
      waitMs: 500,
    }).start();
    await this.clock.runUntil(100);
  },
);

When(
  'these events happen at the store: {string}',
  async function run(this: FollowerWorld, events: string) {
    for (const event of events.split(' ')) {
      if (event === 'fail') this.failures += 1;
      else if (event === 'forget') this.hasLostHistory = true;
      else addEntry(this, event.slice(1));
      if (event !== 'fail') await this.clock.runUntil(this.clock.now() + 2000);
    }
    await this.clock.runUntil(this.clock.now() + 3000);
  },
);

Then('the follower has received {string}', function check(this: FollowerWorld, known: string) {
  assert.equal([...this.known].join(' '), known);
});

Then('it has read the whole table {int} times', function check(this: FollowerWorld, reads: number) {
  assert.equal(this.reads, reads);
});
