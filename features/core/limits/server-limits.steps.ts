import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ServerLimits } from '../../../src/core/limits/ServerLimits.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { unlimitedServers } from '../FleetFixture.js';

interface LimitsWorld {
  clock: VirtualClock;
  random: SeededRandom;
  limit: number;
  shares: ServerLimits[];
  sentAt: number[];
  demand: number;
  process: { id: string; incarnation: number };
}

const SERVER = { id: 's', incarnation: 1 };

/** Interval at which answers repeat the limit, in milliseconds. */
const ANSWER_INTERVAL_MS = 500;

const SECONDS = 60;

Given(
  '{int} instances that share a limit of {float} requests a second',
  function set(this: LimitsWorld, instances: number, limit: number) {
    this.clock = new VirtualClock();
    this.random = new SeededRandom(11);
    this.limit = limit;
    this.sentAt = [];
    this.shares = Array.from(
      { length: instances },
      () => new ServerLimits(this.clock, this.random, () => instances),
    );
    const repeat = (): void => {
      for (const share of this.shares) share.recordAnswer(SERVER, limit);
      this.clock.schedule(ANSWER_INTERVAL_MS, repeat);
    };
    repeat();
  },
);

function sendIfAllowed(world: LimitsWorld, share: ServerLimits): void {
  if (!share.allows(SERVER)) return;
  share.recordSend(SERVER);
  world.sentAt.push(world.clock.now());
}

When(
  'for {int} seconds {int} requests a second arrive at random instances',
  async function run(this: LimitsWorld, seconds: number, demand: number) {
    this.demand = demand;
    for (let at = 0; at < seconds * 1000; at += 1000 / demand) {
      await this.clock.runUntil(at);
      sendIfAllowed(this, this.random.pick(this.shares));
    }
  },
);

When(
  'nothing arrives for {int} seconds, then {int} requests at each instance at once',
  async function run(this: LimitsWorld, seconds: number, requests: number) {
    await this.clock.runUntil(seconds * 1000);
    for (const share of this.shares)
      for (let count = 0; count < requests; count += 1) sendIfAllowed(this, share);
  },
);

Then(
  'no {int} s have more than one and a half times the limit and {int} requests',
  function check(this: LimitsWorld, seconds: number, extra: number) {
    const allowed = 1.5 * this.limit * seconds + extra;
    for (const from of this.sentAt) {
      const count = this.sentAt.filter((at) => at >= from && at < from + seconds * 1000).length;
      assert.ok(count <= allowed, `${count} requests from ${from} ms, allowed ${allowed}`);
    }
  },
);

Then(
  'at least {int} in 100 of the smaller of demand and limit are sent',
  function check(this: LimitsWorld, percentage: number) {
    const possible = Math.min(this.limit, this.demand) * SECONDS;
    const share = (100 * this.sentAt.length) / possible;
    assert.ok(share >= percentage, `${share} in 100`);
  },
);

When(
  "a server's answers name the limits {string}, one a second",
  async function run(this: LimitsWorld, named: string) {
    this.clock = new VirtualClock();
    this.shares = [unlimitedServers(this.clock)];
    this.process = SERVER;
    for (const word of named.split(' ')) {
      if (word === 'r') this.process = { ...SERVER, incarnation: 2 };
      this.shares[0].recordAnswer(this.process, Number(word) || undefined);
      if (named.endsWith(word)) return;
      await this.clock.runUntil(this.clock.now() + 1000);
    }
  },
);

Then(
  'the limit in force is {float}, and a request is {string} after further {int} ms',
  async function check(this: LimitsWorld, limit: number, decision: string, ms: number) {
    const [share] = this.shares;
    await this.clock.runUntil(this.clock.now() + ms);
    const known = share.list().find(({ incarnation }) => incarnation === this.process.incarnation);
    assert.equal(known?.perSecond ?? 0, limit);
    assert.equal(share.allows(this.process) ? 'allowed' : 'refused', decision);
  },
);

Given(
  'two instances that tell each other of limits every {int} ms',
  function set(this: LimitsWorld, intervalMs: number) {
    this.clock = new VirtualClock();
    this.shares = [unlimitedServers(this.clock), unlimitedServers(this.clock)];
    const exchange = (): void => {
      const lists = this.shares.map((share) => share.list());
      this.clock.schedule(5, () => {
        this.shares[0].merge(lists[1], 'second');
        this.shares[1].merge(lists[0], 'first');
      });
      this.clock.schedule(intervalMs, exchange);
    };
    exchange();
  },
);

When(
  'a server names a limit of {int} to the first, and {int} ms later no limit to the second',
  async function run(this: LimitsWorld, limit: number, ms: number) {
    this.shares[0].recordAnswer(SERVER, limit);
    await this.clock.runUntil(ms);
    assert.ok(this.shares[1].isLimited(SERVER));
    this.shares[1].recordAnswer(SERVER, undefined);
  },
);

Then('after {int} ms neither knows a limit', async function check(this: LimitsWorld, ms: number) {
  await this.clock.runUntil(this.clock.now() + ms);
  for (const share of this.shares) assert.equal(share.isLimited(SERVER), false);
});
