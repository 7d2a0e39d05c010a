import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { Then, When } from '@cucumber/cucumber';
import { SeededRandom } from '../../src/fakes/SeededRandom.js';
import type { RouterProcess } from '../soak/RouterProcess.js';
import { LONG_STREAM_HEADER } from './FakeBackendServer.js';
import type { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, type ReceivedStatus } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

/** The world of router-process.steps.ts, which starts and ends the process. */
interface SuspendedWorld {
  processStore: FakeStore;
  routerProcess: RouterProcess;
  longStreams: ReceivedStatus[];
  /** When the suspensions began, in Unix milliseconds. */
  disturbedFrom: number;
  /** When the servers stood, in Unix milliseconds. */
  ownStalls: { from: number; to: number }[];
}

const STEP_LIMIT_MS = 30_000;

When(
  'it is suspended for {int} ms and goes on',
  async function run(this: SuspendedWorld, ms: number) {
    this.routerProcess.signal('SIGSTOP');
    await pause(ms);
    this.routerProcess.signal('SIGCONT');
  },
);

Then(
  'its log and its metrics tell of a stall of {int} ms or more',
  async function check(this: SuspendedWorld, leastMs: number) {
    // The log is written every 200 ms.
    await pause(500);
    const { logFile, listeners } = this.routerProcess;
    const logged = [
      ...readFileSync(logFile, 'utf8').matchAll(/"stoodMs":(\d+),"lateMs":\d+,"during":"unknown"/g),
    ];
    assert.ok(logged.some(([, stoodMs]) => Number(stoodMs) >= leastMs));
    const metrics = await (await fetch(`http://${listeners.metrics}/metrics`)).text();
    const longest = /^acaciadrum_longest_stall_ms (\d+)$/m.exec(metrics)?.[1];
    assert.ok(Number(longest) >= leastMs, `the longest stall is ${longest} ms`);
    assert.match(metrics, /^acaciadrum_stalls_total\{during="unknown"\} [1-9]/m);
    assert.match(metrics, /^acaciadrum_timer_lateness_ms_count\{timer="standstill"\} [1-9]/m);
  },
);

/** Interval at which this process, in which the servers run, looks whether it stands, in milliseconds. */
const OWN_LOOK_MS = 10;

/** Shortest time for which the servers stand with this process that makes them silent, in milliseconds. */
const MIN_OWN_STALL_MS = 30;

/** Time after a stall of the servers within which a router may find it, in milliseconds. */
const SUSPICION_MS = 700;

/** Time-out of long streams, which take 3 s and are held up by suspensions, in milliseconds. */
const LONG_TIMEOUT_MS = 20_000;

/** Time between two long streams, in milliseconds. */
const LONG_STREAM_SPACING_MS = 150;

When(
  'for {int} seconds long streams come, and it is suspended for {int} to {int} ms every {int} ms, seed {int}',
  { timeout: STEP_LIMIT_MS },
  async function run(
    this: SuspendedWorld,
    seconds: number,
    leastMs: number,
    mostMs: number,
    everyMs: number,
    seed: number,
  ) {
    const { routerProcess } = this;
    const random = new SeededRandom(seed);
    const headers = {
      'x-token-count': '800,24',
      'x-deadline-ms': String(LONG_TIMEOUT_MS),
      [LONG_STREAM_HEADER]: '1',
    };
    const base = configuration(2);
    const routes = base.routes.map((item) => ({ ...item, timeout_ms: LONG_TIMEOUT_MS }));
    this.processStore.put('op', 'config', { ...base, routes });
    while (!readFileSync(routerProcess.logFile, 'utf8').includes('"ticket":2,')) await pause(50);
    const streams: Promise<ReceivedStatus>[] = [];
    const sender = setInterval(() => {
      const id = `long-${streams.length}`;
      streams.push(sendRequest(routerProcess.callersAddress, id, '/stream/', headers));
    }, LONG_STREAM_SPACING_MS);
    this.disturbedFrom = Date.now();
    this.ownStalls = [];
    let seenAt = Date.now();
    const look = setInterval(() => {
      const now = Date.now();
      if (now - seenAt >= MIN_OWN_STALL_MS) this.ownStalls.push({ from: seenAt, to: now });
      seenAt = now;
    }, OWN_LOOK_MS);
    const endsAt = performance.now() + seconds * 1000;
    while (performance.now() < endsAt) {
      const ms = random.between(leastMs, mostMs);
      routerProcess.signal('SIGSTOP');
      await pause(ms);
      routerProcess.signal('SIGCONT');
      await pause(everyMs - ms);
    }
    clearInterval(sender);
    this.longStreams = await Promise.all(streams);
    clearInterval(look);
    // The log is written every 200 ms.
    await pause(500);
  },
);

Then(
  'no long stream is cut, all are complete unless the server stood, and no server was suspected that did not stand',
  function check(this: SuspendedWorld) {
    const lines = readFileSync(this.routerProcess.logFile, 'utf8').split('\n');
    const unfounded = lines.filter((line) => {
      if (!/"msg":"(suspect|suspect-domain|retry|reroute)"/.test(line)) return false;
      const { time } = JSON.parse(line) as { time: number };
      const stood = this.ownStalls.some(({ from, to }) => time > from && time < to + SUSPICION_MS);
      return time > this.disturbedFrom && !stood;
    });
    assert.deepEqual(unfounded, []);
    assert.ok(this.longStreams.length > 0);
    for (const { status, isComplete } of this.longStreams) {
      assert.ok(isComplete, 'a stream was cut');
      // While the only server stands, requests may be refused.
      if (this.ownStalls.length === 0) assert.equal(status, 200);
    }
  },
);
