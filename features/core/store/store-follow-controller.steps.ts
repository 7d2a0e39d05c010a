import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { StoreFollowController } from '../../../src/core/store/StoreFollowController.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface DutyWorld {
  clock: VirtualClock;
  peers: { isHub: boolean; peerStoreAgeMs: number };
  follows: boolean;
}

Given(
  "an instance that is its domain's hub: {word}, and hears of store answers {int} ms old",
  function set(this: DutyWorld, hub: string, ageMs: number) {
    this.clock = new VirtualClock();
    this.peers = { isHub: hub === 'yes', peerStoreAgeMs: ageMs };
    this.follows = false;
    const following = {
      start: () => {
        this.follows = true;
      },
      stop: () => {
        this.follows = false;
      },
    };
    const { clock, peers } = this;
    new StoreFollowController({
      clock,
      peers,
      follower: following,
      decisions: { record: () => {} },
    }).start();
  },
);

When(
  "another is its domain's hub, with answers {int} ms old",
  function run(this: DutyWorld, ageMs: number) {
    this.peers.isHub = false;
    this.peers.peerStoreAgeMs = ageMs;
  },
);

When('{int} ms pass', async function run(this: DutyWorld, ms: number) {
  await this.clock.runUntil(this.clock.now() + ms);
});

Then('it follows the store: {word}', function check(this: DutyWorld, follows: string) {
  assert.equal(this.follows, follows === 'yes');
});
