import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { PartQuarantine } from '../../../src/core/quarantine/PartQuarantine.js';
import type { CrashEvidence, ProbationTurn } from '../../../src/core/quarantine/Types.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface QuarantineWorld {
  quarantineClock: VirtualClock;
  turn: ProbationTurn;
  quarantine: PartQuarantine;
  /** Parts that events have named. */
  named: Set<string>;
  merged: PartQuarantine[];
}

Before(function set(this: QuarantineWorld) {
  this.quarantineClock = new VirtualClock();
  this.turn = { rank: 0, instances: 1 };
  this.quarantine = new PartQuarantine(this.quarantineClock, () => this.turn);
  this.named = new Set();
});

const EVENTS: Readonly<Record<string, (quarantine: PartQuarantine, words: string[]) => string[]>> =
  {
    crash: (quarantine, [process, ...parts]) => {
      const [server, incarnation = '1'] = process.split(':');
      quarantine.recordCrash(server, Number(incarnation), parts);
      return parts;
    },
    answer: (quarantine, parts) => {
      quarantine.recordAnswer(parts);
      return parts;
    },
  };

Given(
  '{int} instances, of which this is number {int}',
  function set(this: QuarantineWorld, instances: number, rank: number) {
    this.turn = { rank, instances };
  },
);

When('the events {string} happen', async function run(this: QuarantineWorld, events: string) {
  for (const event of events.split('; ')) {
    const [at, kind, ...words] = event.split(' ');
    await this.quarantineClock.runUntil(Number(at));
    for (const part of EVENTS[kind](this.quarantine, words)) this.named.add(part);
  }
});

function heldOf(quarantine: PartQuarantine, named: Iterable<string>): string {
  const held = quarantine.find([...named]).map(({ part }) => part);
  return held.sort().join(' ');
}

Then(
  'at {int} ms the parts held are {string}',
  async function check(this: QuarantineWorld, at: number, held: string) {
    await this.quarantineClock.runUntil(at);
    assert.equal(heldOf(this.quarantine, this.named), held);
  },
);

async function countAdmitted(
  { quarantine, quarantineClock }: QuarantineWorld,
  part: string,
  from: number,
  to: number,
): Promise<number> {
  let admitted = 0;
  for (let at = from; at <= to; at += 20) {
    await quarantineClock.runUntil(at);
    if (quarantine.refuse(['sound', part]) === undefined) admitted += 1;
  }
  return admitted;
}

Then(
  'a request with {string} is refused from {int} to {int} ms',
  async function check(this: QuarantineWorld, part: string, from: number, to: number) {
    assert.equal(await countAdmitted(this, part, from, to), 0);
  },
);

Then(
  'one request with {string} is admitted from {int} to {int} ms',
  async function check(this: QuarantineWorld, part: string, from: number, to: number) {
    assert.equal(await countAdmitted(this, part, from, to), 1);
  },
);

When(
  '{int} servers end at {int} ms, each under requests with parts of their own',
  async function run(this: QuarantineWorld, servers: number, at: number) {
    await this.quarantineClock.runUntil(at);
    for (let index = 0; index < servers; index += 1) {
      const parts = Array.from({ length: 20 }, (_, number) => `part-${index}-${number}`);
      this.quarantine.recordCrash(`fleet-${index}`, 1, parts);
    }
  },
);

Then(
  'the evidence for a peer has at most {int} crashes with {int} parts each',
  function check(this: QuarantineWorld, crashes: number, parts: number) {
    const evidence = this.quarantine.evidence();
    assert.ok(evidence !== undefined && evidence.crashes.length <= crashes);
    for (const crash of evidence.crashes) assert.ok(crash.parts.length <= parts);
  },
);

function randomEvidence(random: SeededRandom): CrashEvidence {
  const parts = ['p', 'q', 'r', 's'];
  return {
    crashes: Array.from({ length: 2 }, () => ({
      server: `s${Math.floor(random.next() * 12)}`,
      incarnation: 1,
      ageMs: Math.floor(random.next() * 5000),
      parts: parts.filter(() => random.chance(0.4)),
    })),
    answers: parts
      .filter(() => random.chance(0.05))
      .map((part) => ({ part, ageMs: Math.floor(random.next() * 8000) })),
  };
}

When(
  '{int} random sets of evidence are merged in two orders, some of them twice',
  async function run(this: QuarantineWorld, sets: number) {
    const random = new SeededRandom(7);
    const clock = this.quarantineClock;
    await clock.runUntil(10_000);
    this.merged = [];
    for (let count = 0; count < sets; count += 1) {
      const list = Array.from({ length: 6 }, () => randomEvidence(random));
      const one = new PartQuarantine(clock, () => this.turn);
      const other = new PartQuarantine(clock, () => this.turn);
      for (const evidence of list) one.merge(evidence, 'peer');
      for (const evidence of [...list.reverse(), list[2], list[4]]) other.merge(evidence, 'peer');
      this.merged.push(one, other);
    }
  },
);

Then('both hold the same parts', function check(this: QuarantineWorld) {
  let holding = 0;
  for (let index = 0; index < this.merged.length; index += 2) {
    const held = heldOf(this.merged[index], ['p', 'q', 'r', 's']);
    assert.equal(heldOf(this.merged[index + 1], ['p', 'q', 'r', 's']), held);
    if (held !== '') holding += 1;
  }
  assert.ok(holding > 0, 'no set of evidence holds a part, so that nothing was compared');
});

Given(
  'two instances that exchange evidence every {int} ms, which takes {int} ms',
  function set(this: QuarantineWorld, intervalMs: number, transitMs: number) {
    const clock = this.quarantineClock;
    const pair = [0, 1].map(() => new PartQuarantine(clock, () => this.turn));
    this.merged = pair;
    const send = async (from: PartQuarantine, to: PartQuarantine): Promise<void> => {
      const evidence = from.evidence();
      if (evidence === undefined) return;
      await clock.sleep(transitMs);
      to.merge(evidence, 'peer');
    };
    const exchange = (): void => {
      send(pair[0], pair[1]);
      send(pair[1], pair[0]);
      clock.schedule(intervalMs, exchange);
    };
    exchange();
  },
);

When(
  'a part was answered at {int} ms and servers end under it from {int} to {int} ms',
  async function run(this: QuarantineWorld, answeredAt: number, from: number, to: number) {
    const clock = this.quarantineClock;
    await clock.runUntil(answeredAt);
    this.merged[0].recordAnswer(['part']);
    for (let at = from; at <= to; at += 300) {
      await clock.runUntil(at);
      this.merged[(at / 100) % 2].recordCrash(`s${at}`, 1, ['part']);
    }
  },
);

Then('after {int} ms both hold the part', async function check(this: QuarantineWorld, ms: number) {
  await this.quarantineClock.runUntil(ms);
  for (const quarantine of this.merged) assert.equal(heldOf(quarantine, ['part']), 'part');
});
