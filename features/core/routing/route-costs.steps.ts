import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { EngineProfile } from '../../../src/core/deployment/Types.js';
import { planPlacement } from '../../../src/core/placement/PlacementPlanner.js';
import { crossedLinks } from '../../../src/core/routing/LinkCosts.js';
import { predictGap } from '../../../src/core/routing/ServerTime.js';
import type { Stage } from '../../../src/core/routing/Types.js';
import { WorkReservation } from '../../../src/core/routing/WorkReservation.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { ENGINE, backendServer } from '../FleetFixture.js';
import {
  chooser,
  choosers,
  exchangeReports,
  profileOf,
  REQUIREMENTS,
  requirementsOf,
  reset,
  serviceOf,
  SLOWNESS,
  SPREAD,
  UNEVEN_FLEET,
  type Chooser,
  type CostsWorld,
} from './RouteChoosers.js';

interface RunningStream {
  readonly instance: Chooser;
  readonly stages: readonly Stage[];
  /** Tick of its start. */
  readonly startedAt: number;
  readonly work: WorkReservation;
}

const WHOLE: EngineProfile = {
  ...ENGINE,
  accelerators: new Map(
    [
      { name: 'whole', memoryMb: 200_000, stepFactor: 4, readFactor: 4 },
      { name: 'slower', memoryMb: 200_000, stepFactor: 4.3, readFactor: 4.3 },
    ].map((kind) => [kind.name, kind]),
  ),
};

const TICK_MS = 20;

/** Time for which a stream runs, in ticks. */
const STREAM_TICKS = 100;

const PREFILL_TICKS = 5;

/** Time between two events of a stream whose gaps are observed, in ticks. */
const EVENT_TICKS = 4;

/** Interval at which peers' work becomes known, in ticks. */
const REPORT_TICKS = 25;

Given('servers {string} that hold the whole model', function set(this: CostsWorld, list: string) {
  reset(this);
  for (const item of list.split(' ')) {
    const [id, accelerator] = item.split(':');
    this.directory.put(backendServer(id, { accelerator, span: { from: 0, to: ENGINE.layers } }));
  }
});

When('the servers have the work {string}', function set(this: CostsWorld, list: string) {
  for (const item of list.split(' ').filter(Boolean)) {
    const [server, size] = item.split('=');
    const [requests, tokens] = size.split('x').map(Number);
    const tokenLayers = requests * tokens * ENGINE.layers;
    this.work.set(server, { requests, readingTokens: 0, tokenLayers });
  }
});

Then('a request goes to {string}', function check(this: CostsWorld, expected: string) {
  const { routes } = chooser(this, 'a', 1, 0);
  const stages = routes.plan(requirementsOf(WHOLE));
  assert.equal(stages?.map(({ server }) => server).join(' '), expected);
});

Given(
  'an uneven fleet of {int} servers over three failure domains',
  function set(this: CostsWorld, size: number) {
    reset(this);
    const servers = Object.entries(UNEVEN_FLEET).flatMap(([failureDomain, kinds]) =>
      Object.entries(kinds).flatMap(([accelerator, count]) =>
        Array.from({ length: count }, (_, index) => ({
          id: `${failureDomain}-${accelerator}-${index}`,
          failureDomain,
          accelerator,
          span: undefined,
          hasRecentOrder: false,
        })),
      ),
    );
    assert.equal(servers.length, size);
    for (const domain of Object.keys(UNEVEN_FLEET)) {
      for (const { id, span } of planPlacement(SPREAD, servers, domain)) {
        const [failureDomain, accelerator] = id.split('-');
        this.directory.put(backendServer(id, { failureDomain, accelerator, span }));
      }
    }
  },
);

Given(
  '{int} of 100 servers of each kind and domain take 12 times as long',
  function set(this: CostsWorld, share: number) {
    for (const { record } of this.directory.all()) {
      const [, , index] = record.id.split('-').map(Number);
      // Spreads the slow servers over the layers, which the planner assigns in the order of the servers.
      if ((index * 37 + 11) % 100 < share) this.slow.add(record.id);
    }
  },
);

/** Time between two events of a stream, with what the servers really take, in milliseconds. */
function trueGapMs(world: CostsWorld, { stages, instance: { load } }: RunningStream): number {
  let sumMs = 0;
  for (const { server, from, to } of stages) {
    const slowness = world.slow.has(server) ? SLOWNESS : 1;
    sumMs += slowness * predictGap(profileOf(world, server), load.work(server), to - from);
  }
  return sumMs * world.delayFactor;
}

function startStream(instance: Chooser, startedAt: number): RunningStream {
  const stages = instance.routes.plan(requirementsOf(SPREAD));
  assert.ok(stages, 'no route');
  const { tokens } = REQUIREMENTS;
  const work = new WorkReservation(instance.load, stages, tokens, SPREAD.usualPromptTokens);
  return { instance, stages, startedAt, work };
}

function advanceStream(world: CostsWorld, stream: RunningStream, tick: number): void {
  const ageTicks = tick - stream.startedAt;
  if (ageTicks === PREFILL_TICKS) stream.work.endPrefill();
  if (ageTicks < PREFILL_TICKS || ageTicks % EVENT_TICKS !== 0) return;
  stream.instance.probe.observe(serviceOf(SPREAD), stream.stages, trueGapMs(world, stream));
}

When(
  '{int} instances serve {int} requests a second for {int} seconds',
  function run(this: CostsWorld, count: number, requestsPerS: number, seconds: number) {
    const instances = choosers(this, count, requestsPerS);
    const running: RunningStream[] = [];
    const endsAt = this.clock.now() + seconds * 1000;
    let started = 0;
    for (let tick = 0; this.clock.now() < endsAt; tick += 1) {
      this.clock.jump(TICK_MS);
      if (tick % REPORT_TICKS === 0) {
        exchangeReports(instances);
        for (const [index, domain] of Object.keys(UNEVEN_FLEET).entries())
          instances[index].probe.refresh(domain);
      }
      const isMeasured = this.clock.now() > endsAt - 1000;
      for (; started < (this.clock.now() * requestsPerS) / 1000; started += 1) {
        // A step without a common divisor feeds the instances in turn, but not those of a domain together.
        const stream = startStream(instances[(started * 7) % count], tick);
        running.push(stream);
        if (isMeasured) this.gaps.push(trueGapMs(this, stream));
      }
      // Events of the streams of an instance come in turn.
      for (const index of running.keys())
        advanceStream(this, running[(index + tick * 13) % running.length], tick);
      while (running.length > 0 && running[0].startedAt + STREAM_TICKS <= tick)
        running.shift()?.work.dispose();
    }
  },
);

Then(
  'at most {int} of 100 streams of the last second have gaps over {int} ms',
  function check(this: CostsWorld, share: number, bound: number) {
    const late = this.gaps.filter((gap) => gap > bound).length;
    assert.ok(late * 100 <= share * this.gaps.length, `${late} of ${this.gaps.length}`);
  },
);

Given(
  'gaps are {int} times as long for other reasons',
  function set(this: CostsWorld, factor: number) {
    this.delayFactor = factor;
  },
);

Then(
  'servers are asked for at most {int} reports a second by each of {int} instances in {int} seconds',
  function check(this: CostsWorld, rate: number, instances: number, seconds: number) {
    const bound = rate * instances * seconds;
    assert.ok(this.reports <= bound, `${this.reports} reports, bound ${bound}`);
  },
);

Then('no server is asked for a report', function check(this: CostsWorld) {
  assert.equal(this.reports, 0);
});

Given(
  "{int} percent of domain {string}'s memory is taken",
  function set(this: CostsWorld, percent: number, domain: string) {
    for (const { record } of this.directory.all()) {
      if (record.failureDomain !== domain) continue;
      const { kvCacheCapacity, layers } = profileOf(this, record.id);
      const tokenLayers = (kvCacheCapacity * percent) / 100;
      const requests = Math.round(tokenLayers / (REQUIREMENTS.tokens * layers));
      this.work.set(record.id, { requests, readingTokens: 0, tokenLayers });
    }
  },
);

Then(
  'no route stays in domain {string}, and one line a domain says what its servers have',
  function check(this: CostsWorld, domain: string) {
    for (const stages of this.routes)
      assert.ok(stages.every(({ failureDomain }) => failureDomain !== domain));
    const lines = this.logged.filter(({ event }) => event === 'domain-load');
    assert.equal(lines.length, Object.keys(UNEVEN_FLEET).length);
  },
);

Given(
  'memory is taken to between {int} and {int} percent',
  function set(this: CostsWorld, least: number, most: number) {
    const random = new SeededRandom(7);
    for (const { record } of this.directory.all()) {
      const { kvCacheCapacity, layers } = profileOf(this, record.id);
      const tokenLayers = (kvCacheCapacity * random.between(least, most)) / 100;
      const requests = tokenLayers / (REQUIREMENTS.tokens * layers);
      this.work.set(record.id, { requests, readingTokens: 0, tokenLayers });
    }
  },
);

When(
  '{int} instances choose {int} routes each, of which they tell each other nothing',
  function run(this: CostsWorld, count: number, routes: number) {
    // Half a second of requests.
    for (const { routes: planner, load } of choosers(this, count, 2 * count * routes)) {
      for (let index = 0; index < routes; index += 1) {
        const requirements = requirementsOf(SPREAD);
        const stages = planner.plan(requirements);
        assert.ok(stages, 'no route');
        planner.recordTransfers(requirements, stages);
        this.routes.push(stages);
        load.add(stages, 1, REQUIREMENTS.tokens, 0);
      }
    }
  },
);

Then(
  'servers turn away at most {int} of 100 requests for want of memory',
  function check(this: CostsWorld, share: number) {
    const taken = new Map([...this.work].map(([server, { tokenLayers }]) => [server, tokenLayers]));
    let rejected = 0;
    for (const stages of this.routes) {
      const isFull = stages.some(({ server, from, to }) => {
        const after = (taken.get(server) ?? 0) + (to - from) * REQUIREMENTS.tokens;
        return after > profileOf(this, server).kvCacheCapacity;
      });
      if (isFull) rejected += 1;
      else
        for (const { server, from, to } of stages)
          taken.set(server, (taken.get(server) ?? 0) + (to - from) * REQUIREMENTS.tokens);
    }
    const all = this.routes.length;
    assert.ok(rejected * 100 <= share * all, `${rejected} of ${all}`);
  },
);

Given(
  'domain {string} returns with idle servers, of which those of the first layer are still suspect',
  function set(this: CostsWorld, domain: string) {
    for (const { record } of this.directory.all()) {
      if (record.failureDomain !== domain) continue;
      this.work.delete(record.id);
      if (record.span?.from === 0) this.directory.suspect(record.id);
    }
  },
);

Then(
  'transfers keep the link between any two domains busy for at most {int} ms',
  function check(this: CostsWorld, bound: number) {
    const { activationBytes, crossDomainMbps } = SPREAD;
    const transferMs = (REQUIREMENTS.tokens * activationBytes * 8) / (crossDomainMbps * 1000);
    const busyMs = new Map<string, number>();
    for (const link of this.routes.flatMap(crossedLinks))
      busyMs.set(link, (busyMs.get(link) ?? 0) + transferMs);
    for (const [link, ms] of busyMs) assert.ok(ms <= bound, `${link}: ${Math.round(ms)} ms`);
  },
);
