import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Configuration } from '../../../src/core/tickets/Configuration.js';
import { Invariants } from '../../../src/core/Invariant.js';
import { HEAD_KEY, ticketKey } from '../../../src/core/tickets/TicketCommitter.js';
import { TicketFollower } from '../../../src/core/tickets/TicketFollower.js';
import type { CommittedTicket } from '../../../src/core/tickets/Types.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { CommitStatus, type Row } from '../../../src/ports/Types.js';

interface TicketWorld {
  clock: VirtualClock;
  configuration: Configuration;
  follower: TicketFollower;
  newest: number;
  readsBefore: number;
}

function ticket(number: number): CommittedTicket {
  return { number, submission: '', at: '', author: '', reason: '', changes: [] };
}

function rowFor(world: TicketWorld, key: string): Row | undefined {
  if (key === HEAD_KEY) return { key, version: world.newest, value: { number: world.newest } };
  for (let number = 1; number <= world.newest; number += 1)
    if (key === ticketKey(number)) return { key, version: number, value: ticket(number) };
  return undefined;
}

Given('an instance at ticket {int} that is no poller', function set(this: TicketWorld, at: number) {
  this.clock = new VirtualClock();
  this.newest = at;
  this.configuration = new Configuration(new Invariants(true));
  this.follower = new TicketFollower({
    clock: this.clock,
    table: {
      read: (keys) => Promise.resolve(keys.map((key) => rowFor(this, key))),
      transact: () => Promise.resolve({ status: CommitStatus.Committed, conflicts: [] }),
    },
    objects: { get: () => Promise.resolve(undefined), put: () => Promise.resolve() },
    configuration: this.configuration,
    isPoller: () => false,
    log: () => {},
  });
  for (let number = 1; number <= at; number += 1) this.follower.applyTickets([ticket(number)]);
  this.follower.receivePeerHead(at, 0, this.clock.now());
  this.follower.start();
});

When(
  'ticket {int} is the newest, and a peer confirms it every {int} ms without sending tickets',
  async function run(this: TicketWorld, newest: number, intervalMs: number) {
    await this.clock.runUntil(1000);
    this.newest = newest;
    this.readsBefore = this.follower.reads;
    const confirm = (): void => {
      this.follower.receivePeerHead(newest, 100, this.clock.now());
      this.clock.schedule(intervalMs, confirm);
    };
    confirm();
  },
);

Then(
  'within {int} ms ticket {int} is in force',
  async function check(this: TicketWorld, ms: number, number: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    assert.equal(this.configuration.ticketNumber, number);
  },
);

Then(
  'within {int} ms it has not read the table service',
  async function check(this: TicketWorld, ms: number) {
    await this.clock.runUntil(this.clock.now() + ms);
    assert.equal(this.follower.reads, this.readsBefore);
  },
);
