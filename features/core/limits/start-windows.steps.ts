import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { StartWindows, type StartPlace } from '../../../src/core/limits/StartWindows.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { StageQueues } from './StageQueues.js';

const SERVICE = 'engine';

const OBJECTIVE_MS = 500;

interface WindowsWorld {
  clock: VirtualClock;
  windows: StartWindows;
  places: StartPlace[];
  queues: StageQueues;
}

Given('a service whose objective is 500 ms', function set(this: WindowsWorld) {
  this.clock = new VirtualClock();
  this.windows = new StartWindows(this.clock);
  this.places = [];
});

const STEPS: Readonly<Record<string, (world: WindowsWorld) => void>> = {
  open: ({ windows, places }) => {
    const place = windows.open(SERVICE, OBJECTIVE_MS);
    if (place !== undefined) places.push(place);
  },
  first: ({ places }) => places.shift()?.recordFirstEvent(),
  left: ({ places }) => places.shift()?.recordAbandonment(),
};

When('streams {string}', async function run(this: WindowsWorld, steps: string) {
  for (const step of steps.split(' ')) {
    const [name, times = '1'] = step.split('*');
    const handler = STEPS[name];
    for (let count = 0; handler !== undefined && count < Number(times); count += 1) handler(this);
    if (handler === undefined) await this.clock.runUntil(this.clock.now() + Number(name));
  }
});

Then('{word} streams may wait', function check(this: WindowsWorld, limit: string) {
  for (const place of this.places) place.dispose();
  const most = 100;
  let opened = 0;
  while (opened < most && this.windows.open(SERVICE, OBJECTIVE_MS) !== undefined) opened += 1;
  assert.equal(opened, Math.min(most, Number(limit)));
});

Given(
  '{int} instances {word} streams that wait, before servers in series that are used at 90 of 100',
  function set(this: WindowsWorld, instances: number, limits: string) {
    this.queues = new StageQueues({ instances, isLimited: limits === 'limit' });
  },
);

When('two thirds of the servers are lost for 4 seconds', function run(this: WindowsWorld) {
  this.queues.play({ from: 4000, to: 8000, share: 1 / 3 }, 26_000);
});

Then(
  '12 seconds later the share of streams that begin in time is at {word} {int} of 100',
  function check(this: WindowsWorld, bound: string, percent: number) {
    const share = 100 * this.queues.shareInTime(20_000, 22_000);
    assert.ok(
      bound === 'least' ? share >= percent : share <= percent,
      `the share is ${share.toFixed(0)} of 100`,
    );
  },
);
