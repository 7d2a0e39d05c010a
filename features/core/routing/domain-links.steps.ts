import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DomainLinks } from '../../../src/core/routing/DomainLinks.js';
import { EngineRoutes } from '../../../src/core/routing/EngineRoutes.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import {
  backendServer,
  domainLinks,
  ENGINE,
  ENGINE_SERVICE,
  RelayFixture,
} from '../FleetFixture.js';

interface LinksWorld {
  clock: VirtualClock;
  random: SeededRandom;
  instances: readonly DomainLinks[];
  longestWaitMs: number;
  usedMs: number;
  playedMs: number;
  sent: number;
  refused: number;
}

const PAIR = { from: 'a', to: 'b' };

const TOKENS = ENGINE.usualPromptTokens + ENGINE.usualAnswerTokens;

/** Time that the transfers of one stream take on the link, in milliseconds. */
const TRANSFER_MS = (TOKENS * ENGINE.activationBytes * 8) / (ENGINE.crossDomainMbps * 1000);

const PLAYED_MS = 8000;

Given(
  '{int} instances that share a link between two domains, after {int} ms without a stream',
  function set(this: LinksWorld, count: number, idleMs: number) {
    this.clock = new VirtualClock();
    this.random = new SeededRandom(1);
    this.instances = Array.from(
      { length: count },
      () => new DomainLinks(this.clock, this.random, () => count),
    );
    for (const links of this.instances) links.hasRoom(ENGINE, PAIR);
    this.clock.runSync(idleMs);
  },
);

When(
  'streams that would cross it begin at {int} per second for 8 seconds',
  function run(this: LinksWorld, rate: number) {
    const startedAt = this.clock.now();
    let freeAt = startedAt;
    this.longestWaitMs = 0;
    this.usedMs = 0;
    for (let ms = 0; ms < PLAYED_MS; ms += 1000 / rate) {
      this.clock.runSync(startedAt + ms);
      const links = this.instances[Math.floor(this.random.next() * this.instances.length)];
      if (!links.hasRoom(ENGINE, PAIR)) continue;
      links.recordTransfer(ENGINE, PAIR, TOKENS);
      freeAt = Math.max(freeAt, this.clock.now()) + TRANSFER_MS;
      this.longestWaitMs = Math.max(this.longestWaitMs, freeAt - this.clock.now());
      this.usedMs += TRANSFER_MS;
    }
  },
);

Then('the transfers wait for at most {int} ms', function check(this: LinksWorld, most: number) {
  assert.ok(this.longestWaitMs <= most, `the longest wait is ${this.longestWaitMs} ms`);
});

Then(
  'the link is in use for {int} to {int} of 100',
  function check(this: LinksWorld, least: number, most: number) {
    const used = (100 * this.usedMs) / PLAYED_MS;
    assert.ok(used >= least && used <= most, `the link is in use for ${used.toFixed(0)} of 100`);
  },
);

Given('a route over servers of two domains, and no other', function set(this: LinksWorld) {
  this.sent = 0;
  this.refused = 0;
});

When('more streams begin at once than the link may carry', function run(this: LinksWorld) {
  const { directory, load, clock, serverAdmission } = new RelayFixture();
  const half = ENGINE.layers / 2;
  for (const [id, failureDomain, from] of [
    ['s1', 'a', 0],
    ['s2', 'b', half],
  ] as const) {
    const span = { from, to: from + half };
    directory.put(backendServer(id, { failureDomain, accelerator: 'whole', span }));
  }
  const routes = new EngineRoutes(directory, load, 'a', {
    serverAdmission,
    links: domainLinks(clock),
  });
  const requirements = {
    service: ENGINE_SERVICE,
    engine: ENGINE,
    tokens: TOKENS,
    avoid: new Set<string>(),
    kept: [],
  };
  for (let stream = 0; stream < 40; stream += 1) {
    const stages = routes.plan(requirements);
    if (stages === undefined) {
      this.refused += 1;
      continue;
    }
    routes.recordTransfers(requirements, stages);
    this.sent += 1;
  }
});

Then(
  'some are refused for want of a route, and those that are sent fit the link',
  function check(this: LinksWorld) {
    assert.ok(this.refused > 0);
    assert.ok(this.sent > 0 && this.sent * TRANSFER_MS <= 500, `${this.sent} streams are sent`);
  },
);
