import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { WaitingRoom } from '../../../src/core/admission/WaitingRoom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface RoomWorld {
  clock: VirtualClock;
  room: WaitingRoom;
  free: number;
  sent: string[];
  refused: string[];
}

Given('{int} places to wait', function set(this: RoomWorld, maxEntries: number) {
  this.clock = new VirtualClock();
  this.room = new WaitingRoom(this.clock, { maxEntries, maxBytes: 1000 });
  Object.assign(this, { free: 0, sent: [], refused: [] });
});

When('{string} come while there is no room', function run(this: RoomWorld, entries: string) {
  for (const entry of entries.split(' ')) {
    const [id, account, rank, history] = entry.split(':');
    const refuse = () => this.refused.push(id);
    const isPlaced = this.room.join({
      id,
      account,
      refuse,
      rank: Number(rank),
      isReturn: history === 'return',
      tokens: 1000,
      bytes: 10,
      endsAt: 100,
      tryAdmit: () => {
        if (this.free === 0) return false;
        this.free -= 1;
        this.sent.push(id);
        return true;
      },
    });
    if (!isPlaced) refuse();
  }
});

When('room for {int} requests becomes free', async function run(this: RoomWorld, free: number) {
  this.free = free;
  this.room.offerSoon();
  await this.clock.runUntil(50);
});

Then('{string} are sent in order', function check(this: RoomWorld, sent: string) {
  assert.equal(this.sent.join(' '), sent);
});

Then('{string} are refused', function check(this: RoomWorld, refused: string) {
  assert.equal(this.refused.join(' '), refused);
});
