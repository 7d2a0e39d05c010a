import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { CallFailure, RerouteStatus } from '../../../src/core/relay/Types.js';
import type { BaseRelay } from '../../../src/core/relay/BaseRelay.js';
import { runWithTroubles } from './RandomTroubles.js';
import { EVENTS, PACE_MS, REACTIONS, ScriptedStream } from './ScriptedStream.js';

interface SilentWorld {
  stream: ScriptedStream;
  streams: ScriptedStream[];
}

/** Events of the answer before something happens in mid-stream. */
const EVENTS_BEFORE = 20;

/** Longest time that a request takes, in milliseconds: its time limit and a little more. */
const WHOLE_REQUEST_MS = 21_000;

const BEGINNINGS_MS: Readonly<Record<string, number>> = {
  'before the first event': 10,
  'in mid-stream': EVENTS_BEFORE * PACE_MS,
};

function breakOff({ fixture }: ScriptedStream): void {
  const { lastCall } = fixture.servers;
  lastCall.listener.onFailure(CallFailure.ConnectionLost);
}

const TROUBLES: Readonly<Record<string, (stream: ScriptedStream) => Promise<void>>> = {
  'its first server breaks off': async (stream) => breakOff(stream),
  'a reroute off a leaving server is taken, then a reset': async (stream) => {
    const { directory, servers } = stream.fixture;
    const leaving = directory.get('s2')?.record;
    assert.ok(leaving);
    servers.rerouteAnswer = { status: RerouteStatus.Accepted };
    directory.put({ ...leaving, revision: 1e6, leaving: true });
    const { length } = servers.reroutes;
    await stream.run(1300);
    assert.equal(servers.reroutes.length, length + 1);
    breakOff(stream);
  },
};

const CHANGES: Readonly<Record<string, (stream: ScriptedStream) => void>> = {
  'the first server restarts': ({ fixture: { directory, servers } }) => {
    servers.silent.delete('s1');
    const record = directory.get('s1')?.record;
    assert.ok(record);
    directory.put({ ...record, revision: 1e6, incarnation: record.incarnation + 1 });
  },
  'a part of it is quarantined': ({ fixture: { quarantine } }) => {
    const part = { part: 'part', crashes: 3, lastCrashAt: 0, heldUntil: Infinity };
    Object.assign(quarantine, { find: () => [part], refuse: () => part });
  },
  'an error occurs': ({ fixture: { dependencies } }) => {
    Object.assign(dependencies.routes, {
      plan: () => {
        throw new Error('unexpected');
      },
    });
  },
};

const ENDINGS: Readonly<Record<string, (stream: ScriptedStream) => Promise<void>>> = {
  'its caller leaves': async ({ relay }) => relay.cancel(),
  'its time limit passes': (stream) => stream.run(WHOLE_REQUEST_MS),
  'its memory is needed': async ({ relay }) => relay.evict(),
  'its caller cannot be written to': (stream) => {
    Object.assign(stream.caller, {
      write: () => {
        throw new Error('write after end');
      },
    });
    stream.resumeAll();
    return stream.run(WHOLE_REQUEST_MS);
  },
  'a part of it is quarantined': async ({ relay, fixture }) => {
    const { dependencies } = fixture;
    Object.assign(dependencies.quarantine, { find: () => [{ part: 'p', crashes: 3 }] });
    (relay as BaseRelay).withdrawIfQuarantined();
  },
};

Given('a long stream over three servers with a spare each', function set(this: SilentWorld) {
  this.stream = new ScriptedStream();
});

Given(
  'a long stream over three servers with a spare each, without retries for {int} ms',
  function set(this: SilentWorld, ms: number) {
    this.stream = new ScriptedStream(1);
    const { clock, dependencies } = this.stream.fixture;
    const { retryBudget } = dependencies;
    clock.schedule(BEGINNINGS_MS['in mid-stream'] / 2, () => {
      assert.ok(retryBudget.consumeRetry('engine', clock.now()));
    });
    // Each request to the service adds a fraction of a retry to the budget.
    clock.schedule(BEGINNINGS_MS['in mid-stream'] + ms, () => {
      for (let count = 0; count < 6; count += 1) retryBudget.recordRequest('engine', clock.now());
    });
  },
);

const LIMITED_STREAMS: Readonly<Record<string, () => ScriptedStream>> = {
  'may not be resumed': () => new ScriptedStream(undefined, false),
  'has no retry': () => new ScriptedStream(0),
  'has a retry': () => {
    const stream = new ScriptedStream();
    stream.fixture.servers.silent.add('s1');
    return stream;
  },
};

Given(
  'a long stream over three servers with a spare each, which {string}',
  function set(this: SilentWorld, limit: string) {
    this.stream = LIMITED_STREAMS[limit]();
  },
);

async function pauseServers(
  { stream }: SilentWorld,
  [servers, when, meanwhile]: readonly string[],
  ms: number,
): Promise<void> {
  await stream.run(BEGINNINGS_MS[when]);
  const until = stream.fixture.clock.now() + ms;
  const ids = servers.split(',');
  if (meanwhile === 'pauses as well') ids.push('s1-spare');
  stream.pause(ids, until);
  stream.reaction = REACTIONS[meanwhile];
  stream.reactsUntil = until;
  if (meanwhile === 'rejects it, and the connection to s1 is lost') breakOff(stream);
}

When(
  '{string} pause {string} for {int} ms while the next first server {string}',
  async function run(
    this: SilentWorld,
    servers: string,
    when: string,
    ms: number,
    meanwhile: string,
  ) {
    await pauseServers(this, [servers, when, meanwhile], ms);
    await this.stream.run(WHOLE_REQUEST_MS);
  },
);

When(
  '{string} pause {string} for {int} ms while the next first server {string}, until {string} after {int} ms',
  async function run(
    this: SilentWorld,
    servers: string,
    when: string,
    ms: number,
    meanwhile: string,
    end: string,
    afterMs: number,
  ) {
    await pauseServers(this, [servers, when, meanwhile], ms);
    await this.stream.run(afterMs);
    await ENDINGS[end](this.stream);
  },
);

When(
  '{string} pause before the first event while the next first server {string}, until {string} after {int} ms',
  async function run(
    this: SilentWorld,
    servers: string,
    meanwhile: string,
    end: string,
    afterMs: number,
  ) {
    await pauseServers(this, [servers, 'before the first event', meanwhile], WHOLE_REQUEST_MS);
    await this.stream.run(afterMs);
    const open = this.stream.fixture.servers.calls.filter(({ disposed }) => !disposed);
    assert.equal(open.length, 2);
    await ENDINGS[end](this.stream);
  },
);

When(
  '{string} happens in mid-stream and the next first server rejects it for {int} ms',
  async function run(this: SilentWorld, trouble: string, ms: number) {
    const { stream } = this;
    await stream.run(BEGINNINGS_MS['in mid-stream']);
    stream.reaction = REACTIONS['rejects it'];
    stream.reactsUntil = Infinity;
    await TROUBLES[trouble](stream);
    stream.reactsUntil = stream.fixture.clock.now() + ms;
    await stream.run(WHOLE_REQUEST_MS);
  },
);

When(
  'its first server ends at {int} ms, all others reject it, and 500 ms later {string}',
  async function run(this: SilentWorld, ms: number, change: string) {
    const { stream } = this;
    await stream.run(ms);
    stream.reaction = REACTIONS['rejects it'];
    stream.reactsUntil = Infinity;
    stream.fixture.servers.silent.add('s1');
    breakOff(stream);
    await stream.run(500);
    assert.equal(stream.caller.outcome, 'open');
    CHANGES[change](stream);
    await stream.run(3000);
  },
);

Then(
  'the caller has the whole answer, each event once and in order',
  function check(this: SilentWorld) {
    const { stream } = this;
    const { length } = [...stream.caller.text.matchAll(/id: /g)];
    assert.equal(`${stream.caller.outcome}, ${length} events`, `200, ${EVENTS} events`);
    assert.ok(stream.isWhole, stream.caller.text);
  },
);

Then(
  'it took at most {int} first servers and {int} sends, and left nothing open',
  function check(this: SilentWorld, servers: number, sends: number) {
    const { calls } = this.stream.fixture.servers;
    const firsts = new Set(calls.map(({ call }) => call.server.id));
    assert.ok(firsts.size <= servers, [...firsts].join(','));
    assert.ok(calls.length <= sends, `${calls.length} sends`);
    assert.deepEqual([...this.stream.fixture.load.listOwnWork()], []);
    assert.ok(calls.every(({ disposed }) => disposed));
    assert.equal(this.stream.request.memory.bytes, 0);
  },
);

Then(
  'no pause between its events was longer than {int} ms',
  function check(this: SilentWorld, ms: number) {
    assert.ok(this.stream.longestPauseMs <= ms, `${this.stream.longestPauseMs} ms`);
  },
);

Then(
  'every call is closed, no work is left, and no call follows',
  async function check(this: SilentWorld) {
    const { clock, load, servers } = this.stream.fixture;
    const { length } = servers.calls;
    assert.ok(servers.calls.every(({ disposed }) => disposed));
    assert.deepEqual([...load.listOwnWork()], []);
    await clock.runUntil(clock.now() + WHOLE_REQUEST_MS);
    assert.equal(servers.calls.length, length);
  },
);

Then(
  'the log and the metrics tell that it was cut after it had begun, because of {string}',
  function check(this: SilentWorld, obstacle: string) {
    const { loggedDecisions, cuts } = this.stream.fixture;
    const told = loggedDecisions.find(({ event }) => event === 'refuse')?.fields;
    assert.ok(told);
    const { begun, msLeft, obstacle: toldObstacle } = told as Record<string, unknown>;
    assert.deepEqual({ begun, obstacle: toldObstacle }, { begun: true, obstacle });
    assert.equal(typeof msLeft, 'number');
    assert.deepEqual(cuts, [obstacle]);
  },
);

Then('the long stream is {string}', function check(this: SilentWorld, outcome: string) {
  assert.equal(this.stream.caller.outcome, outcome);
});

Given(
  '{int} long streams with random troubles, seeds {int} and on',
  async function set(this: SilentWorld, count: number, first: number) {
    this.streams = [];
    for (let seed = first; seed < first + count; seed += 1) {
      const stream = new ScriptedStream();
      await runWithTroubles(stream, seed);
      await stream.run(WHOLE_REQUEST_MS);
      this.streams.push(stream);
    }
  },
);

/** Whether a stream was refused before its first event, after a server broke off that may have run it. */
function isRefusedInTime({ caller, fixture }: ScriptedStream): boolean {
  const isLost = fixture.loggedDecisions.some(({ event }) => event === 'lost');
  return isLost && caller.text === '' && caller.outcome === '502 unknown';
}

Then(
  'none of them was cut, and each that began is whole and in order',
  function check(this: SilentWorld) {
    for (const [index, stream] of this.streams.entries()) {
      const isWhole = stream.caller.outcome === '200' && stream.isWhole;
      assert.ok(isWhole || isRefusedInTime(stream), `stream ${index}: ${stream.caller.outcome}`);
    }
  },
);

Then(
  'each used at most {int} first servers, and left neither calls nor work nor memory',
  function check(this: SilentWorld, servers: number) {
    for (const [index, { fixture, request }] of this.streams.entries()) {
      const { calls } = fixture.servers;
      assert.ok(
        new Set(calls.map(({ call }) => call.server.id)).size <= servers,
        `stream ${index}`,
      );
      assert.ok(
        calls.every(({ disposed }) => disposed),
        `stream ${index}`,
      );
      assert.deepEqual([...fixture.load.listOwnWork()], [], `stream ${index}`);
      assert.equal(request.memory.bytes, 0, `stream ${index}`);
      assert.ok(!fixture.loggedDecisions.some(({ event }) => event === 'request-error'));
    }
  },
);
