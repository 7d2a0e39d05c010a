import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Deployments } from '../../../src/core/deployment/Deployments.js';
import { ServerDirectory } from '../../../src/core/deployment/ServerDirectory.js';
import type { PaceTrial } from '../../../src/core/pace/PaceTrial.js';
import { seatsOf } from '../../../src/core/pace/Seats.js';
import { ServerPace } from '../../../src/core/pace/ServerPace.js';
import {
  PaceCause,
  UNPACED,
  type PaceLimit,
  type SharedPace,
} from '../../../src/core/pace/Types.js';
import { EngineRoutes } from '../../../src/core/routing/EngineRoutes.js';
import { ServerLoad } from '../../../src/core/routing/ServerLoad.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import {
  backendServer,
  deployment,
  ENGINE,
  ENGINE_SERVICE,
  ownPace,
  route,
  domainLinks,
  openServerAdmission,
} from '../FleetFixture.js';
import { noCounts, PacedFleet, WARM, type FleetCounts, type StartBehaviour } from './PacedFleet.js';

const SEEDS = [1, 2, 3, 4, 5];

const WARM_SERVERS = 12;

const COLD: StartBehaviour = { coldFactor: 4, coldMs: 4000 };

const SLOW: StartBehaviour = { coldFactor: 8, coldMs: Infinity };

/** Time between two servers of a release, or two starts of one that flaps, in milliseconds. */
const TURN_MS = 2000;

/** Time for which a load is played, in milliseconds. */
const PLAYED_MS = 10_000;

type Play = (fleet: PacedFleet, requestsPerSecond: number) => Promise<void>;

function startWatched(fleet: PacedFleet, ids: readonly string[], behaviour: StartBehaviour): void {
  for (const id of ids) {
    fleet.watched.add(id);
    fleet.start(id, behaviour);
  }
}

const LOADS: Readonly<Record<string, Play>> = {
  'four servers join in one domain': (fleet, rate) => {
    startWatched(fleet, ['n0', 'n1', 'n2', 'n3'], COLD);
    return fleet.run(fleet.clock.now() + PLAYED_MS, rate);
  },
  'four come back at once after a crash': (fleet, rate) => {
    startWatched(fleet, ['w0', 'w1', 'w2', 'w3'], COLD);
    return fleet.run(fleet.clock.now() + PLAYED_MS, rate);
  },
  'a release that replaces every server in turn': async (fleet, rate) => {
    for (let index = 0; index < WARM_SERVERS; index += 1) {
      startWatched(fleet, [`n${index}`], COLD);
      fleet.drain(`w${index}`);
      await fleet.run(fleet.clock.now() + TURN_MS, rate);
    }
  },
  'one that flaps': async (fleet, rate) => {
    for (let runs = 0; runs < PLAYED_MS / TURN_MS; runs += 1) {
      startWatched(fleet, ['w0'], COLD);
      await fleet.run(fleet.clock.now() + TURN_MS, rate);
    }
  },
  'one that is slow for good': (fleet, rate) => {
    startWatched(fleet, ['n0'], SLOW);
    return fleet.run(fleet.clock.now() + PLAYED_MS, rate);
  },
};

/** What callers get while a load is played, and in the time after it. */
interface PlayedCounts {
  readonly during: FleetCounts;
  readonly after: FleetCounts;
}

interface LoadWorld {
  paced: PlayedCounts;
  unpaced: PlayedCounts;
}

function addCounts(sums: FleetCounts, counts: FleetCounts): void {
  for (const name of Object.keys(sums) as (keyof FleetCounts)[]) sums[name] += counts[name];
}

async function play(
  load: string,
  instances: number,
  rate: number,
  limit?: PaceLimit,
): Promise<PlayedCounts> {
  const played: PlayedCounts = { during: noCounts(), after: noCounts() };
  for (const seed of SEEDS) {
    const fleet = new PacedFleet(instances, seed, limit);
    for (let index = 0; index < WARM_SERVERS; index += 1) fleet.start(`w${index}`, WARM);
    await fleet.clock.runUntil(2000);
    await fleet.run(6000, rate);
    fleet.resetCounts();
    await LOADS[load](fleet, rate);
    addCounts(played.during, fleet.counts);
    fleet.resetCounts();
    await fleet.run(fleet.clock.now() + PLAYED_MS, rate);
    addCounts(played.after, fleet.counts);
  }
  return played;
}

When(
  '{string} is played for {int} instances at {int} requests a second',
  { timeout: 60_000 },
  async function run(this: LoadWorld, load: string, instances: number, rate: number) {
    this.paced = await play(load, instances, rate);
    this.unpaced = await play(load, instances, rate, UNPACED);
  },
);

/** Requires that a count is at most a share of the one without a pace. */
function assertShare(count: number, without: number, percentage: number): void {
  assert.ok(without > 0, 'There were none without a pace. Play a heavier load.');
  assert.ok(count * 100 <= without * percentage, `${count}, without a pace ${without}`);
}

Then(
  'at most {int} in 100 of the answers that are late without a pace are late',
  function check(this: LoadWorld, percentage: number) {
    assertShare(this.paced.during.late, this.unpaced.during.late, percentage);
  },
);

Then(
  'at most {int} in 100 of the callers late or refused without a pace are so',
  function check(this: LoadWorld, percentage: number) {
    const [paced, unpaced] = [this.paced.during, this.unpaced.during];
    assertShare(paced.late + paced.refused, unpaced.late + unpaced.refused, percentage);
  },
);

Then(
  'at most {int} in 100 requests more than without a pace are refused',
  function check(this: LoadWorld, percentage: number) {
    const [paced, unpaced] = [this.paced.during, this.unpaced.during];
    const allowed = unpaced.refused + ((paced.answers + paced.refused) * percentage) / 100;
    assert.ok(paced.refused <= allowed, `${paced.refused}, without a pace ${unpaced.refused}`);
  },
);

Then(
  '10 s later the servers concerned give at least {int} in 100 of their answers without a pace',
  function check(this: LoadWorld, percentage: number) {
    const [own, without] = [this.paced.after.watchedAnswers, this.unpaced.after.watchedAnswers];
    assert.ok(own * 100 >= without * percentage, `${own}, without a pace ${without}`);
  },
);

const ID = 'paced';

/** A server that holds a whole engine, for which it can run 68 usual requests. */
const WHOLE = { accelerator: 'whole', span: { from: 0, to: ENGINE.layers } };

const STAGE = { server: ID, address: '', from: 0, to: ENGINE.layers };

const OTHER_STAGE = { ...STAGE, server: 'other' };

/** Time after which a first event is far later than its work explains, in milliseconds. */
const SLOW_MS = 5000;

interface PaceWorld {
  clock: VirtualClock;
  directory: ServerDirectory;
  load: ServerLoad;
  deployments: Deployments;
  pace: ServerPace;
  incarnation: number;
  trials: PaceTrial[];
}

function beginTrial({ pace }: PaceWorld, stages = [STAGE]): PaceTrial {
  return pace.startTrial(ENGINE_SERVICE, stages, stages[0].server, 800);
}

function answer(world: PaceWorld, ms: number, stages = [STAGE]): void {
  const trial = beginTrial(world, stages);
  world.clock.jump(ms);
  world.pace.recordAnswer(trial);
}

function putServer(world: PaceWorld, values: object = {}): void {
  const { incarnation } = world;
  world.directory.put(backendServer(ID, { ...WHOLE, incarnation, ...values }));
}

const WORD: SharedPace = {
  server: ID,
  incarnation: 1,
  generation: 1,
  window: 30,
  cause: PaceCause.Started,
};

const EVENTS: Readonly<Record<string, (world: PaceWorld) => void>> = {
  /** No request has been served. */
  idle: (world) => {
    world.pace.dispose();
    world.pace = ownPace(world);
  },
  busy: (world) => {
    beginTrial(world, [OTHER_STAGE]);
  },
  start: (world) => putServer(world),
  /** Another server that has its ordinary share. */
  peer: ({ directory, pace }) => {
    directory.put(backendServer('other', WHOLE));
    pace.merge([{ ...WORD, server: 'other', window: 0, isEnded: true }], 'peer');
  },
  cold: (world) => putServer(world, { coldLeftMs: 5000 }),
  restart: (world) => {
    world.incarnation += 1;
    putServer(world);
  },
  leave: (world) => putServer(world, { leaving: true }),
  lost: ({ directory }) => directory.clearSpan(ID),
  found: ({ directory }) => directory.applyReportedSpan(ID, WHOLE.span),
  alive: ({ directory }) => directory.noteAlive(ID),
  suspect: (world) => {
    world.clock.jump(world.directory.suspect(ID));
    world.pace.allows(ID);
  },
  load2: ({ load }) => load.add([STAGE], 1, 0, 0),
  load12: ({ load }) => load.add([STAGE], 11, 0, 0),
  load20: ({ load }) => load.add([STAGE], 19, 0, 0),
  load40: ({ load }) => load.add([STAGE], 39, 0, 0),
  load30: ({ load }) => load.add([STAGE], 30, 0, 0),
  send: (world) => {
    world.trials.push(beginTrial(world));
  },
  back: ({ pace, trials }) => pace.recordRejection(trials.pop() as PaceTrial, ID),
  answer: ({ pace, trials }) => pace.recordAnswer(trials.pop() as PaceTrial),
  /** Another server's sound answer, 1 ms later. */
  other: (world) => answer(world, 1, [OTHER_STAGE]),
  late: (world) => {
    world.clock.jump(SLOW_MS);
    EVENTS.answer(world);
  },
  sound: (world) => answer(world, 0),
  slow: (world) => answer(world, SLOW_MS),
  'shared-sound': (world) => answer(world, 0, [OTHER_STAGE, STAGE]),
  'shared-slow': (world) => answer(world, SLOW_MS, [OTHER_STAGE, STAGE]),
  reject: (world) => world.pace.recordRejection(beginTrial(world), ID),
  'reject-other': (world) => world.pace.recordRejection(beginTrial(world), 'other'),
};

function setUp(world: PaceWorld): void {
  world.clock = new VirtualClock();
  world.directory = new ServerDirectory(world.clock);
  world.load = new ServerLoad();
  world.deployments = new Deployments();
  world.deployments.applyIfNewer(deployment([route()]));
  world.pace = ownPace(world);
  world.incarnation = 1;
  world.trials = [];
  // Times count from the start of the process.
  world.clock.jump(60_000);
  beginTrial(world, [OTHER_STAGE]);
}

Given(
  'requests have been served, and a server whose first window is {int}',
  function set(this: PaceWorld, window: number) {
    setUp(this);
    putServer(this);
    assert.equal(this.pace.windowOf(ID), window);
    setUp(this);
  },
);

When('its events are {string}', function run(this: PaceWorld, events: string) {
  for (const event of events.split(' ')) EVENTS[event](this);
});

Then('its window is {string}', function check(this: PaceWorld, window: string) {
  assert.equal(this.pace.windowOf(ID), window === 'none' ? Infinity : Number(window));
});

const WORDS: Readonly<Record<string, Partial<SharedPace>>> = {
  'knows a larger window': {},
  'knows a smaller window': { window: 4 },
  'knows a reduction': { generation: 2, window: 5 },
  'knows an earlier generation': { window: 40 },
  'knows another process': { incarnation: 2, generation: 4 },
  'knows that the pace has ended': { window: 0, isEnded: true },
  'suspected the server, which answers here': { generation: 2, cause: PaceCause.Recovered },
};

When(/^a peer ((?:knows|suspected).*)$/, function run(this: PaceWorld, says: string) {
  this.pace.merge([{ ...WORD, ...WORDS[says] }], 'peer');
});

Then(
  'an instance that starts learns the window of {int} from a peer, and the first may end',
  function check(this: PaceWorld, window: number) {
    const told = JSON.stringify(this.pace.list());
    const { pace: first, clock, directory, deployments } = this;
    first.dispose();
    const peer = ownPace({ clock, directory, deployments, load: new ServerLoad() });
    directory.put(backendServer(ID, { ...WHOLE, incarnation: this.incarnation }));
    peer.merge(JSON.parse(told) as SharedPace[], 'first');
    assert.equal(peer.windowOf(ID), window);
    assert.deepEqual(JSON.parse(JSON.stringify(peer.list())), JSON.parse(told));
  },
);

Then(
  'the seats of {int} instances in a window of {int} add up to {int} after {int} ms without requests',
  (instances: number, window: number, sum: number, ageMs: number) => {
    let seats = 0;
    const query = { window, inProgress: 0, ageMs, now: ageMs + 54_321, offset: 12_345 };
    for (let rank = 0; rank < instances; rank += 1)
      seats += seatsOf({ ...query, turn: { rank, instances } });
    assert.equal(seats, sum);
  },
);

Given(
  '{int} servers start while requests are served',
  function set(this: PaceWorld, servers: number) {
    setUp(this);
    for (let index = 0; index < servers; index += 1)
      this.directory.put(backendServer(`s${index}`, WHOLE));
    assert.equal(this.pace.size, servers);
  },
);

Then(
  'a digest holds {int} of them, and {int} digests all',
  function check(this: PaceWorld, held: number, digests: number) {
    const told = new Set<string>();
    for (let count = 0; count < digests; count += 1) {
      const list = this.pace.list();
      assert.equal(list.length, held);
      for (const { server } of list) told.add(server);
      this.clock.jump(250);
    }
    assert.equal(told.size, this.pace.size);
  },
);

interface EngineWorld extends PaceWorld {
  routes: EngineRoutes;
}

Given(
  'two whole copies of an engine, one of them {string} and nearer than the other',
  function set(this: EngineWorld, paced: string) {
    setUp(this);
    EVENTS.peer(this);
    this.directory.put(backendServer('other', { ...WHOLE, failureDomain: 'b' }));
    putServer(this);
    if (paced === 'beyond its pace') this.load.add([STAGE], 17, 0, 0);
    this.routes = new EngineRoutes(this.directory, this.load, 'a', {
      serverAdmission: openServerAdmission(this.clock),
      links: domainLinks(this.clock),
      pace: this.pace,
    });
  },
);

function firstServer({ routes }: EngineWorld, avoid: readonly string[]): string | undefined {
  const requirements = { service: ENGINE_SERVICE, engine: ENGINE, tokens: 900, kept: [] };
  return routes.plan({ ...requirements, avoid: new Set(avoid) })?.[0].server;
}

Then('a request is sent to the {string} copy', function check(this: EngineWorld, copy: string) {
  assert.equal(firstServer(this, []), copy);
});

Then('to the paced copy if the other has failed it', function check(this: EngineWorld) {
  assert.equal(firstServer(this, ['other']), ID);
});
