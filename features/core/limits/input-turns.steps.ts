import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { InputTurns } from '../../../src/core/limits/InputTurns.js';
import type { Clock } from '../../../src/ports/Types.js';
import { FakeSource, type PieceCost } from './FakeSource.js';

const COSTLY: PieceCost = { ms: 1, bytes: 4096 };
const LARGE: PieceCost = { ms: 0.02, bytes: 4096 };
const ORDINARY: PieceCost = { ms: 0.2, bytes: 400 };

/** A clock that only reading moves on. */
class ProcessorClock implements Clock {
  public ms = 0;

  public now(): number {
    return this.ms;
  }

  public schedule(): never {
    throw new Error('no timer is needed');
  }
}

interface TurnsWorld {
  clock: ProcessorClock;
  turns: InputTurns;
  deferred: (() => void)[];
  sources: FakeSource[];
  arrivedAt: number;
  longestTurnMs: number;
  waits: number[];
}

function arrive(world: TurnsWorld, cost: PieceCost, pieces: number, messagePieces?: number): void {
  const source = new FakeSource(world.turns, world.clock, cost, pieces, messagePieces);
  world.sources.push(source);
  world.arrivedAt = world.clock.ms;
  source.turn.request();
}

/** Lets the event loop come round until a time, or until all has been read. */
function runUntil(world: TurnsWorld, ms: number): void {
  while (world.clock.ms < ms) {
    const step = world.deferred.shift();
    if (step === undefined) break;
    const startedAt = world.clock.ms;
    step();
    world.longestTurnMs = Math.max(world.longestTurnMs, world.clock.ms - startedAt);
  }
}

Given('connections whose input is read in turns', function set(this: TurnsWorld) {
  this.clock = new ProcessorClock();
  this.deferred = [];
  this.turns = new InputTurns(this.clock, (step) => this.deferred.push(step));
  this.sources = [];
  this.longestTurnMs = 0;
  this.waits = [];
});

When(
  'ordinary requests arrive on {int} connections, one every {int} ms',
  function run(this: TurnsWorld, count: number, everyMs: number) {
    for (let number = 0; number < count; number += 1) {
      arrive(this, ORDINARY, 1);
      this.waits.push((this.sources[number].lastReadAt ?? Infinity) - this.arrivedAt);
      this.clock.ms += everyMs;
    }
  },
);

When(
  '{int} costly messages of {int} pieces arrive at once',
  function run(this: TurnsWorld, count: number, pieces: number) {
    for (let number = 0; number < count; number += 1) arrive(this, COSTLY, pieces);
  },
);

When('an ordinary request arrives after {int} ms', function run(this: TurnsWorld, ms: number) {
  runUntil(this, ms);
  arrive(this, ORDINARY, 1);
});

When(
  'a large body of {int} pieces arrives after {int} ms',
  function run(this: TurnsWorld, pieces: number, ms: number) {
    runUntil(this, ms);
    arrive(this, LARGE, pieces);
  },
);

When('all input has been read', function run(this: TurnsWorld) {
  runUntil(this, Infinity);
});

When(
  'a connection sends {int} messages of {int} pieces, beside {int} costly messages of {int} pieces',
  function run(
    this: TurnsWorld,
    messages: number,
    messagePieces: number,
    crowd: number,
    pieces: number,
  ) {
    for (let number = 0; number < crowd; number += 1) arrive(this, COSTLY, pieces);
    arrive(this, COSTLY, messages * messagePieces, messagePieces);
    runUntil(this, Infinity);
  },
);

Then('each was read when it arrived', function check(this: TurnsWorld) {
  for (const wait of this.waits) assert.ok(wait <= ORDINARY.ms + 1e-9, `${wait} ms`);
  assert.equal(this.deferred.length, 0);
});

Then('it was read after at most {int} ms', function check(this: TurnsWorld, ms: number) {
  const request = this.sources.at(-1) as FakeSource;
  runUntil(this, Infinity);
  const waitMs = (request.lastReadAt ?? Infinity) - this.arrivedAt;
  assert.ok(waitMs <= ms, `${waitMs} ms`);
});

Then(
  'the event loop came round every {int} ms or sooner',
  function check(this: TurnsWorld, ms: number) {
    assert.ok(this.longestTurnMs <= ms, `${this.longestTurnMs} ms`);
  },
);

Then(
  /^(?:the large body is|its messages are) read to (?:its|their) end, and (?:was not|none was) ended$/,
  function check(this: TurnsWorld) {
    runUntil(this, Infinity);
    const body = this.sources.at(-1) as FakeSource;
    assert.ok(!body.hasInput && !body.isEnded);
  },
);

Then(
  'at least {int} messages are read to their end, and at most {int} are ended',
  function check(this: TurnsWorld, read: number, ended: number) {
    const endedCount = this.sources.filter(({ isEnded }) => isEnded).length;
    assert.equal(this.turns.evictions, endedCount);
    assert.equal(this.turns.size, 0);
    assert.ok(endedCount <= ended, `${endedCount} ended`);
    assert.ok(this.sources.length - endedCount >= read, `${endedCount} ended`);
  },
);
