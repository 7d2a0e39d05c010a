import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Activity, StallMonitor } from '../../../src/core/standstill/StallMonitor.js';
import { StandstillGuard } from '../../../src/core/standstill/StandstillGuard.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface StallWorld {
  stallClock: VirtualClock;
  monitor: StallMonitor;
  stalls: Record<string, unknown>[];
  counted: string[];
}

Given('a process whose timers are watched for stalls', function set(this: StallWorld) {
  this.stallClock = new VirtualClock();
  this.stalls = [];
  this.counted = [];
  this.monitor = new StallMonitor({
    clock: this.stallClock,
    decisions: {
      record: (event, fields) => {
        assert.equal(event, 'stall');
        this.stalls.push(fields);
      },
    },
    counters: { recordLateness: () => {}, countStall: (during) => this.counted.push(during) },
  });
  const guard = new StandstillGuard({
    clock: this.stallClock,
    decisions: { record: () => {} },
    ask: () => Promise.resolve(),
    onTimer: (latenessMs) => this.monitor.recordTimer(latenessMs),
  });
  guard.start();
});

const LOOP_EVENTS: Readonly<Record<string, (world: StallWorld, ms: number) => Promise<unknown>>> = {
  run: ({ stallClock }, ms) => stallClock.runUntil(stallClock.now() + ms),
  stall: async ({ stallClock }, ms) => stallClock.jump(ms),
  apply: async ({ stallClock, monitor }, ms) =>
    monitor.time(Activity.ApplyConfiguration, { routes: 257 }, () => stallClock.jump(ms)),
};

When('its loop does {string}', async function run(this: StallWorld, events: string) {
  for (const [, word, ms] of events.matchAll(/(\w+) (\d+)/g))
    await LOOP_EVENTS[word](this, Number(ms));
});

Then('the logged stalls are {string}', function check(this: StallWorld, stalls: string) {
  const logged = this.stalls.map(({ stoodMs, during, routes }) => {
    const detail = routes === undefined ? '' : ` of ${String(routes)} routes`;
    return `${String(stoodMs)} ${String(during)}${detail}`;
  });
  assert.equal(logged.join(', '), stalls);
  assert.deepEqual(
    this.counted,
    this.stalls.map(({ during }) => during),
  );
});

Then('the longest stall is {int} ms', function check(this: StallWorld, ms: number) {
  assert.equal(this.monitor.longestMs, ms);
});
