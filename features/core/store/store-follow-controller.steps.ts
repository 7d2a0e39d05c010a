import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { StoreFollowController } from '../../../src/core/store/StoreFollowController.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface FollowWorld {
  clock: VirtualClock;
  peers: { isHub: boolean; peerStoreAgeMs: number; exchangeAgeMs: number };
  follows: boolean;
}

Given(
  'an instance that {word} the hub of its failure domain, with peers that report that the store answered {int} ms ago',
  function set(this: FollowWorld, hub: string, ageMs: number) {
    this.clock = new VirtualClock();
    this.peers = { isHub: hub === 'is', peerStoreAgeMs: ageMs, exchangeAgeMs: 0 };
    this.follows = false;
    const follower = {
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
      follower,
      decisions: { record: () => {} },
    }).start();
  },
);

When(
  'another instance becomes the hub, and peers report that the store answered {int} ms ago',
  function run(this: FollowWorld, ageMs: number) {
    this.peers.isHub = false;
    this.peers.peerStoreAgeMs = ageMs;
  },
);

When('{int} ms pass', async function run(this: FollowWorld, ms: number) {
  await this.clock.runUntil(this.clock.now() + ms);
});

When(
  'no exchange with a peer succeeds for {int} ms',
  async function run(this: FollowWorld, ms: number) {
    const { clock, peers } = this;
    for (let passed = 0; passed < ms; passed += 50) {
      peers.exchangeAgeMs = passed;
      await clock.runUntil(clock.now() + 50);
    }
  },
);

Then('it {word} the store', function check(this: FollowWorld, follows: string) {
  assert.equal(this.follows, follows === 'follows');
});
