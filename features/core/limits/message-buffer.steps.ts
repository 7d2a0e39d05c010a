import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { MemoryBudget } from '../../../src/core/limits/MemoryBudget.js';
import { MessageBuffer } from '../../../src/core/limits/MessageBuffer.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

/** Records the most that its shares kept. */
class WatchedBudget extends MemoryBudget {
  public most = 0;

  public override count(bytes: number): void {
    super.count(bytes);
    this.most = Math.max(this.most, this.used);
  }
}

interface BufferWorld {
  clock: VirtualClock;
  stopped: MessageBuffer[];

  watched: WatchedBudget;
  buffer: MessageBuffer;
  sent: Buffer;
  ended: number;
}

/** Opens a message, which is dropped if it must end. */
function openMessage(world: BufferWorld): MessageBuffer {
  const opened: MessageBuffer[] = [];
  const share = world.watched.open({
    allowanceBytes: 0,
    onEvict: () => {
      world.ended += 1;
      for (const message of opened) message.clear();
    },
  });
  opened.push(new MessageBuffer(share));
  return opened[0];
}

Given('a budget of {int} kB of memory', function set(this: BufferWorld, kb: number) {
  this.ended = 0;
  this.clock = new VirtualClock();
  this.watched = new WatchedBudget(this.clock, kb * 1000);
  this.buffer = openMessage(this);
});

When(
  'a message comes in {int} parts of {int} bytes',
  function run(this: BufferWorld, parts: number, size: number) {
    const sent: Buffer[] = [];
    for (let part = 0; part < parts; part += 1) {
      sent.push(Buffer.alloc(size, part % 251));
      this.buffer.append(sent[part]);
    }
    this.sent = Buffer.concat(sent);
  },
);

When(
  '{int} messages of {int} kB stop, and go on with {int} bytes every {int} ms',
  function run(this: BufferWorld, count: number, kb: number, bytes: number, everyMs: number) {
    this.stopped = Array.from({ length: count }, () => openMessage(this));
    for (const message of this.stopped) message.append(Buffer.alloc(kb * 1000));
    const drip = (): void => {
      for (const message of this.stopped)
        if (message.length > 0) message.append(Buffer.alloc(bytes));
      this.clock.schedule(everyMs, drip);
    };
    drip();
  },
);

When(
  'a body of {int} kB comes meanwhile, {int} kB every {int} ms',
  async function run(this: BufferWorld, kb: number, partKb: number, everyMs: number) {
    await this.clock.runUntil(2000);
    for (let sent = 0; sent < kb; sent += partKb) {
      this.buffer.append(Buffer.alloc(partKb * 1000));
      await this.clock.runUntil(this.clock.now() + everyMs);
    }
    assert.equal(this.buffer.length, kb * 1000);
  },
);

Then('the body is complete, and only others have ended', function check(this: BufferWorld) {
  const stopped = this.stopped.filter(({ length }) => length === 0);
  assert.ok(this.ended > 0);
  assert.equal(stopped.length, this.ended);
});

When('it is dropped', function run(this: BufferWorld) {
  this.buffer.clear();
});

Then(
  'it is complete, and at most {int} bytes were counted for it until then',
  function check(this: BufferWorld, counted: number) {
    assert.equal(this.buffer.length, this.sent.length);
    assert.ok(this.watched.most <= counted, `${this.watched.most} bytes`);
    assert.ok(this.buffer.takeWhole().equals(this.sent));
    assert.equal(this.buffer.length, 0);
  },
);

Then(
  'while it was put together, at most {int} bytes were',
  function check(this: BufferWorld, worst: number) {
    assert.ok(this.watched.most <= worst, `${this.watched.most} bytes`);
  },
);

Then('its holder ends, and nothing is counted any more', function check(this: BufferWorld) {
  assert.equal(this.ended, 1);
  assert.equal(this.watched.used, 0);
});

Then('nothing is counted any more', function check(this: BufferWorld) {
  assert.equal(this.watched.used, 0);
  assert.equal(this.buffer.length, 0);
});
