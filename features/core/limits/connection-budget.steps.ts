import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ConnectionBudget, ConnectionPhase } from '../../../src/core/limits/ConnectionBudget.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import type { Disposable } from '../../../src/ports/Types.js';

interface TestedConnection {
  readonly peer: string;
  movedBytes: number;
  phase: ConnectionPhase;
  count: Disposable | undefined;
  onEvict(): void;
}

interface ConnectionWorld {
  clock: VirtualClock;
  connections: ConnectionBudget;
  tested: Map<string, TestedConnection>;
  ended: string[];
  rejected: string[];
}

const PAUSES_MS: Readonly<Record<string, number>> = { wait: 2000, moment: 200 };

const PHASES: Readonly<Record<string, ConnectionPhase>> = {
  awaited: ConnectionPhase.Awaited,
  idle: ConnectionPhase.Idle,
};

Given(
  'a listener that keeps {int} connections',
  function set(this: ConnectionWorld, limit: number) {
    this.clock = new VirtualClock();
    this.connections = new ConnectionBudget(this.clock, limit);
    this.tested = new Map();
    this.ended = [];
    this.rejected = [];
  },
);

function connect(world: ConnectionWorld, name: string, peer: string): void {
  const connection: TestedConnection = {
    peer,
    movedBytes: 0,
    phase: ConnectionPhase.Unfinished,
    count: undefined,
    onEvict: () => world.ended.push(name),
  };
  connection.count = world.connections.open(connection);
  world.tested.set(name, connection);
  if (connection.count === undefined) world.rejected.push(name);
}

function change(connection: TestedConnection, what: string): void {
  if (what === 'close') connection.count?.dispose();
  else if (what in PHASES) connection.phase = PHASES[what];
  else connection.movedBytes += Number(what);
}

When('the connections do {string}', async function run(this: ConnectionWorld, events: string) {
  for (const event of events.split(' ')) {
    if (event in PAUSES_MS) {
      await this.clock.runUntil(this.clock.now() + PAUSES_MS[event]);
      continue;
    }
    const [name, peer] = event.split('@');
    if (peer !== undefined) {
      connect(this, name, peer);
      continue;
    }
    const [changed, what] = event.split(':');
    const connection = this.tested.get(changed);
    assert.ok(connection !== undefined);
    change(connection, what);
  }
});

Then(
  '{string} end, and {string} are turned away',
  function check(this: ConnectionWorld, ended: string, rejected: string) {
    assert.equal(this.ended.join(' '), ended);
    assert.equal(this.rejected.join(' '), rejected);
    assert.equal(this.connections.evictions, this.ended.length);
    assert.equal(this.connections.rejections, this.rejected.length);
    assert.ok(this.connections.size <= this.connections.limit);
  },
);
