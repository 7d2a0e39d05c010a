import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { ServerSlowness } from '../../../src/core/routing/ServerSlowness.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface SlownessWorld {
  clock: VirtualClock;
  slowness: ServerSlowness;
}

type Source = (slowness: ServerSlowness, factor: number, ageMs: number) => void;

const SOURCES: Readonly<Record<string, Source>> = {
  server: (slowness, factor) => slowness.record('s', factor),
  peer: (slowness, factor, ageMs) => slowness.merge([{ server: 's', factor, ageMs }], 'peer'),
};

When(
  "a server's slowness is reported as {string}",
  function run(this: SlownessWorld, list: string) {
    this.clock = new VirtualClock();
    this.slowness = new ServerSlowness(this.clock);
    for (const item of list.split(' ').filter(Boolean)) {
      const [at, source, factor, ageMs] = item.split(':');
      this.clock.jump(Number(at) - this.clock.now());
      SOURCES[source](this.slowness, Number(factor), Number(ageMs));
    }
  },
);

Then(
  'after {int} ms it counts as {int} times as slow',
  function check(this: SlownessWorld, ms: number, factor: number) {
    this.clock.jump(ms - this.clock.now());
    assert.equal(this.slowness.factor('s'), factor);
  },
);
