import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { RequestRoute } from '../../../src/core/deployment/Types.js';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import type { Relay } from '../../../src/core/relay/Types.js';
import { FakeCaller } from '../FakeCaller.js';
import type { RecordedCall } from '../FakeServers.js';
import { answerHead, backendServer, deployment, RelayFixture, route } from '../FleetFixture.js';

const OBJECTIVES_MS = [500, 600, 1200];

/** A shared part of the prompts of the last route. */
const OWN_PART = 'part';

/** Time to the first event and to the end of an answer, in milliseconds. */
const FIRST_EVENT_MS = 150;
const ANSWER_MS = 2000;

interface Sample {
  readonly route: number;
  readonly sentAt: number | undefined;
}

interface RanksWorld {
  fixture: RelayFixture;
  dispatcher: RelayDispatcher;
  samples: Sample[];
  ticket: number;
  requests: number;
  caller: FakeCaller;
  relay: Relay;
  /** Calls made before the request that the test looks at. */
  callsBefore: number;
  /** Number of calls whose answers have been arranged. */
  answered: number;
}

function rankedRoutes(ranks: readonly number[]): RequestRoute[] {
  return ranks.map((rank, index) =>
    route({ rank, name: `r${index}`, prefix: `/${index}/`, objectiveMs: OBJECTIVES_MS[index] }),
  );
}

function applyRoutes(world: RanksWorld, routes: readonly RequestRoute[]): void {
  world.ticket += 1;
  world.fixture.deployments.applyIfNewer(deployment(routes, { ticket: world.ticket }));
}

function applyRanks(world: RanksWorld, ranks: readonly number[]): void {
  applyRoutes(world, rankedRoutes(ranks));
}

Given(
  'servers that are used by routes of ranks {string}',
  function set(this: RanksWorld, ranks: string) {
    this.fixture = new RelayFixture();
    Object.assign(this, { ticket: 0, requests: 0, answered: 0, samples: [] });
    applyRanks(this, ranks.split(' ').map(Number));
    const span = { from: 0, to: 80 };
    this.fixture.directory.put(backendServer('s', { span, accelerator: 'whole' }));
    this.dispatcher = new RelayDispatcher(this.fixture.dependencies);
  },
);

/** Sends a request on a route. */
function ask(world: RanksWorld, index: number): void {
  const { fixture } = world;
  world.requests += 1;
  world.caller = new FakeCaller();
  const id = `q${world.requests}`;
  const path = `/${index}/x`;
  const message = { method: 'POST', target: path, headers: [], body: Buffer.from(id) };
  world.callsBefore = fixture.servers.calls.length;
  const sharedPromptParts = index === 2 ? [OWN_PART] : [];
  world.relay = world.dispatcher.accept(
    fixture.request({ id, path, message, sharedPromptParts }),
    world.caller,
  );
}

function firstEvent({ listener, disposed }: RecordedCall): void {
  if (disposed) return;
  listener.onHead(answerHead());
  listener.onData(Buffer.from('id: 1\ndata: x\n\n'));
}

/** Answers what has been sent since the last call, each in its time. */
function serve(world: RanksWorld): void {
  const { clock, servers } = world.fixture;
  for (const made of servers.calls.slice(world.answered)) {
    world.samples.push({ route: Number(made.call.request.path[1]), sentAt: clock.now() });
    clock.schedule(FIRST_EVENT_MS, () => firstEvent(made));
    clock.schedule(ANSWER_MS, () => {
      if (!made.disposed) made.listener.onEnd();
    });
  }
  world.answered = servers.calls.length;
}

/** Lets requests come for a while, evenly at each route's rate, and has servers answer them. */
async function play(world: RanksWorld, rates: string, seconds: number): Promise<void> {
  const { clock } = world.fixture;
  const start = clock.now();
  const arrivals = rates.split(' ').flatMap((rate, index) => {
    const count = Number(rate) * seconds;
    return Array.from({ length: count }, (_, number) => ({
      index,
      at: start + ((number + index / 3 + 0.1) * 1000) / Number(rate),
    }));
  });
  arrivals.sort((one, other) => one.at - other.at);
  for (const { index, at } of arrivals) {
    await clock.runUntil(at);
    serve(world);
    world.samples.push({ route: index, sentAt: undefined });
    ask(world, index);
    serve(world);
  }
  await clock.runUntil(start + seconds * 1000);
  serve(world);
}

Given(
  'ordinary demand of {string} requests a second for {int} seconds',
  async function set(this: RanksWorld, rates: string, seconds: number) {
    await play(this, rates, seconds);
    this.samples = [];
  },
);

When(
  '{string} requests a second of these routes come for {int} seconds',
  async function run(this: RanksWorld, rates: string, seconds: number) {
    await play(this, rates, seconds);
  },
);

/** Percentage of a route's requests that were sent. */
function servedPercent({ samples }: RanksWorld, index: number): number {
  const own = samples.filter((sample) => sample.route === index);
  const sent = own.filter(({ sentAt }) => sentAt !== undefined).length;
  return (100 * sent) / (own.length - sent);
}

Then(
  'of their requests at least {string} percent are served',
  function check(this: RanksWorld, served: string) {
    const found = served.split(' ').map((_, index) => Math.round(servedPercent(this, index)));
    for (const [index, least] of served.split(' ').entries())
      assert.ok(found[index] >= Number(least), `served: ${found.join(' ')} percent`);
  },
);

Then('no route is served worse than a less urgent one', function check(this: RanksWorld) {
  const [first, second, third] = [0, 1, 2].map((index) => servedPercent(this, index));
  // Callers notice a difference of five requests in a hundred.
  assert.ok(first >= second - 5 && second >= third - 5, `served: ${first} ${second} ${third}`);
});

Then(
  "of the first route's requests less than {int} percent are served",
  function check(this: RanksWorld, most: number) {
    const served = servedPercent(this, 0);
    assert.ok(served < most, `${served} percent were served`);
  },
);

Then(
  'in the last {int} seconds at least {int} requests a second of the last route were sent',
  function check(this: RanksWorld, seconds: number, least: number) {
    const from = this.fixture.clock.now() - seconds * 1000;
    const sent = this.samples.filter(({ sentAt }) => sentAt !== undefined && sentAt >= from).length;
    assert.ok(sent / seconds >= least, `${sent / seconds} a second were sent`);
  },
);

Given(
  '{int} requests of route {int} whose prompts are in prefill',
  function set(this: RanksWorld, count: number, index: number) {
    for (let asked = 0; asked < count; asked += 1) ask(this, index);
    assert.equal(this.fixture.servers.calls.length, count);
  },
);

Given('no server holds any layers', function set(this: RanksWorld) {
  this.fixture.directory.put(backendServer('s', { span: undefined, accelerator: 'whole' }));
});

Given(
  '{int} requests of route {int} that take all memory',
  function set(this: RanksWorld, count: number, index: number) {
    for (let asked = 0; asked < count; asked += 1) ask(this, index);
    for (const made of this.fixture.servers.calls) firstEvent(made);
  },
);

Given(
  '{int} requests of route {int} are refused',
  function set(this: RanksWorld, count: number, index: number) {
    for (let asked = 0; asked < count; asked += 1) ask(this, index);
    assert.equal(this.caller.outcome, '503 not-run');
  },
);

When('the servers hold their layers again', function run(this: RanksWorld) {
  const span = { from: 0, to: 80 };
  this.fixture.directory.put(backendServer('s', { span, accelerator: 'whole' }));
});

Then(
  'route {int} finds at least {float} of the room',
  function check(this: RanksWorld, rank: number, least: number) {
    const { share } = this.fixture.admission.limitsOf('engine', rank, false);
    assert.ok(share >= least, `it finds ${share}`);
  },
);

Then(
  'it is refused as {string} after {int} ms',
  async function check(this: RanksWorld, reason: string, ms: number) {
    const { clock } = this.fixture;
    const arrivedAt = clock.now();
    if (ms > 0) await clock.runUntil(arrivedAt + ms - 1);
    assert.equal(this.caller.outcome, ms > 0 ? 'open' : '503 not-run');
    await clock.runUntil(arrivedAt + ms);
    assert.equal(this.caller.refusal?.reason, reason);
  },
);

When('a request of route {int} comes', function run(this: RanksWorld, index: number) {
  ask(this, index);
});

When('the prompts of route 0 have been read', function run(this: RanksWorld) {
  for (const made of this.fixture.servers.calls) firstEvent(made);
});

Then('the request waits for room', function check(this: RanksWorld) {
  assert.equal(this.caller.outcome, 'open');
  assert.equal(this.fixture.admission.waiting, 1);
});

Then(
  'the request is sent after at most {int} ms',
  async function check(this: RanksWorld, ms: number) {
    await this.fixture.clock.runUntil(this.fixture.clock.now() + ms);
    assert.equal(this.fixture.servers.calls.length, this.callsBefore + 1);
  },
);

Then('no request has passed admission by rank', function check(this: RanksWorld) {
  assert.deepEqual(this.fixture.admissions, []);
});

const EVENTS: Readonly<Record<string, (world: RanksWorld) => void>> = {
  'its caller disconnects': ({ relay }) => relay.cancel(),
  'its instance stops': ({ fixture }) => fixture.admission.dispose(),
  'its memory is needed': ({ relay }) => relay.evict(),
  'a part of it is quarantined': ({ fixture: { clock, quarantine } }) => {
    for (let crash = 0; crash < 5; crash += 1) {
      // Crashes at the same moment count once.
      clock.jump(300);
      quarantine.recordCrash(`other-${crash}`, 1, [OWN_PART]);
    }
  },
  'its wait ends': () => {},
  'its process is paused and room came': ({ fixture }) => {
    fixture.clock.jump(3000);
    for (const made of fixture.servers.calls) firstEvent(made);
  },
  'its process is paused and no room came': ({ fixture }) => fixture.clock.jump(3000),
  'its route is removed': (world) => applyRoutes(world, rankedRoutes([0, 1])),
  'its route moves to another service': (world) => {
    const [first, second, last] = rankedRoutes([0, 1, 2]);
    const shares = [{ service: 'plain', weight: 1 }];
    applyRoutes(world, [first, second, { ...last, shares }]);
  },
  'its route becomes the most urgent one': (world) => applyRanks(world, [1, 2, 0]),
  'the ranks become equal': (world) => applyRanks(world, [1, 1, 1]),
};

for (const [event, bringAbout] of Object.entries(EVENTS))
  When(event, function run(this: RanksWorld) {
    bringAbout(this);
  });

Then(
  'the waiting request ends as {string} with {int} sends',
  async function check(this: RanksWorld, outcome: string, sends: number) {
    await this.fixture.clock.runUntil(this.fixture.clock.now() + 300);
    assert.equal(this.caller.outcome, outcome);
    assert.equal(this.fixture.servers.calls.length - this.callsBefore, sends);
    assert.equal(this.fixture.admission.waiting, 0);
  },
);
