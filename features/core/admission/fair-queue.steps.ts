import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { FairQueue } from '../../../src/core/admission/FairQueue.js';

interface QueueWorld {
  queue: FairQueue;
  ran: string[];
}

function enqueue(world: QueueWorld, word: string): void {
  const [id = '', account = '', ...numbers] = word.split(':');
  const [weight = 1, priority = 0, deadline = 0, cost = 1] = numbers.map(Number);
  const run = async () => world.ran.push(id);
  world.queue.enqueue(run, { id, account, weight, priority, deadline, cost });
}

function drain(world: QueueWorld): void {
  for (let run = world.queue.dequeue(); run !== undefined; run = world.queue.dequeue()) run();
}

When('the queue receives {string}', function run(this: QueueWorld, entries: string) {
  Object.assign(this, { queue: new FairQueue(), ran: [] });
  for (const word of entries.split(' ')) enqueue(this, word);
  drain(this);
});

Then('it runs {string}', function check(this: QueueWorld, order: string) {
  assert.equal(this.ran.join(' '), order);
});

Given(
  'a noisy account has queued {int} requests and the first one has started',
  function set(this: QueueWorld, count: number) {
    Object.assign(this, { queue: new FairQueue(), ran: [] });
    for (let index = 0; index < count; index += 1) enqueue(this, `noisy${index}:noisy:1:0:9:10`);
    this.queue.dequeue()?.();
  },
);

When('a quiet account queues one request', function run(this: QueueWorld) {
  enqueue(this, 'quiet:quiet:1:0:9:10');
  drain(this);
});

Then(
  'at most {int} more noisy request runs before it',
  function check(this: QueueWorld, most: number) {
    const before = this.ran.indexOf('quiet') - 1;
    assert.ok(before >= 0 && before <= most, `${before} ran before it`);
  },
);
