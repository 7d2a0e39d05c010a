import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { InputQuarantine } from '../../../src/core/quarantine/InputQuarantine.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface InputWorld {
  inputClock: VirtualClock;
  inputs: InputQuarantine;
  /** Fingerprints of the sound requests. */
  waiting: string[];
}

const BAD = 'request:zz';

const EVENTS: Readonly<Record<string, (world: InputWorld, index: number, others: number) => void>> =
  {
    crash: (world, index, others) => {
      for (let other = 0; other < others; other += 1) {
        const fingerprint = `request:${index}-${other}`;
        world.waiting.push(fingerprint);
        world.inputs.recordCrash(`s${index}`, 1, [fingerprint]);
      }
      world.inputs.recordCrash(`s${index}`, 1, [BAD]);
    },
    answer: ({ inputs }) => inputs.recordAnswer([BAD]),
    peer: (world, index) => {
      const evidence = { server: `s${index}`, incarnation: 1, ageMs: 0, parts: [BAD] };
      world.inputs.merge({ crashes: [evidence], answers: [] }, 'peer');
    },
  };

When(
  'servers end under the request {string}, every {int} ms, and {int} other requests wait at each of them: {string}',
  async function run(this: InputWorld, _bad: string, gap: number, others: number, events: string) {
    this.inputClock = new VirtualClock();
    this.inputs = new InputQuarantine(this.inputClock, () => ({ rank: 0, instances: 1 }));
    this.waiting = [];
    for (const [index, event] of events.split(' ').entries()) {
      EVENTS[event](this, index, others);
      await this.inputClock.runUntil(this.inputClock.now() + gap);
    }
  },
);

Then(
  'the request "bad" is held: {string}, and no other request is',
  function check(this: InputWorld, held: string) {
    assert.equal(this.inputs.refuse([BAD]) !== undefined, held === 'yes');
    for (const fingerprint of this.waiting)
      assert.equal(this.inputs.refuse([fingerprint]), undefined);
  },
);
