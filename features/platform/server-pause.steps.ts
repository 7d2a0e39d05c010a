import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { Arrival, FakeBackendServer, Refusal } from './FakeBackendServer.js';
import type { AnsweringWorld } from './server-leaving.steps.js';

interface PauseWorld extends AnsweringWorld {
  pauseMs: number;
}

/** Time from a server's answer to its arrival at an instance and on a busy machine, in milliseconds. */
const ON_THE_WAY_MS = 100;

/** Splits `name: value`. */
function headerOf(text: string): Record<string, string> {
  const [name, value] = text.split(': ');
  return { [name]: value };
}

/** Turns requests away for a time from the first one on; infinite to go on. */
function refuse(server: FakeBackendServer, refusal: Refusal, forMs: number): void {
  Object.assign(server, { refusal });
  if (!Number.isFinite(forMs)) return;
  const check = setInterval(() => {
    const [first] = refusedArrivals(server);
    if (first === undefined || performance.now() < first.at + forMs) return;
    clearInterval(check);
    Object.assign(server, { refusal: undefined });
  }, 10);
  check.unref();
}

function refusedArrivals({ arrivals }: FakeBackendServer): Arrival[] {
  return arrivals.filter(({ wasRefused }) => wasRefused);
}

function assertNoneDuring(
  server: FakeBackendServer,
  fromMs: number,
  toMs: number,
  prefix: string,
): void {
  const refused = refusedArrivals(server);
  assert.ok(refused.length > 0, 'no request was turned away');
  for (const { at: refusedAt } of refused) {
    const late = server.arrivals.filter(
      ({ id, at }) => id.startsWith(prefix) && at > refusedAt + fromMs && at < refusedAt + toMs,
    );
    assert.deepEqual(
      late.map(({ id, at }) => `${id} after ${Math.round(at - refusedAt)} ms`),
      [],
    );
  }
}

When(
  'a server turns requests away with 503, {string} and {string} for {int} ms',
  function run(this: PauseWorld, statement: string, retryAfter: string, ms: number) {
    const headers = { ...headerOf(statement), ...headerOf(retryAfter) };
    this.pauseMs = Number(headers['retry-after']) * 1000;
    refuse(this.special, { status: 503, headers }, ms);
  },
);

When(
  'a server turns requests of instance {int} away for {int} s',
  function run(this: PauseWorld, number: number, seconds: number) {
    const headers = { 'x-not-executed': '1', 'retry-after': String(seconds) };
    this.special.refusedPrefix = `instance-${number}-`;
    refuse(this.special, { status: 503, headers }, Infinity);
  },
);

When(
  'all servers turn requests away with 503 and {string}',
  function run(this: PauseWorld, retryAfter: string) {
    const headers = { 'x-not-executed': '1', ...headerOf(retryAfter) };
    for (const server of this.fleetServers) refuse(server, { status: 503, headers }, Infinity);
  },
);

Then(
  'between {int} ms and {int} ms after each such answer it gets no request',
  function check(this: PauseWorld, fromMs: number, toMs: number) {
    assertNoneDuring(this.special, fromMs, toMs, '');
  },
);

Then(
  'between {int} ms and {int} ms after each such answer it gets no request of instance {int}',
  function check(this: PauseWorld, fromMs: number, toMs: number, number: number) {
    assertNoneDuring(this.special, fromMs, toMs, `instance-${number}-`);
  },
);

Then(
  'it gets at least {int} requests of instance {int}',
  function check(this: PauseWorld, least: number, number: number) {
    const prefix = `instance-${number}-`;
    const count = this.special.runs.filter(({ id }) => id.startsWith(prefix)).length;
    assert.ok(count >= least, `${count} requests`);
  },
);

Then(
  'it gets requests within {int} ms of the end of the pause',
  function check(this: PauseWorld, ms: number) {
    const { at: lastAt } = refusedArrivals(this.special).at(-1) as Arrival;
    const endsAt = lastAt + this.pauseMs;
    assert.ok(
      this.special.runs.some(({ at }) => at > lastAt && at < endsAt + ms),
      'no request came back',
    );
  },
);

Then('each server gets at most {int} requests', function check(this: PauseWorld, most: number) {
  for (const server of this.fleetServers) {
    const { length } = refusedArrivals(server);
    assert.ok(length <= most, `${server.id} got ${length}`);
  }
});

Then(
  'each refusal comes within {int} ms and says to return at the end of the first pause, {int} s after its beginning',
  function check(this: PauseWorld, most: number, seconds: number) {
    const began = this.fleetServers.map((server) => refusedArrivals(server)[0].at);
    const endsAt = Math.min(...began) + seconds * 1000;
    const lastBeganAt = Math.max(...began);
    assert.ok(this.received.length > 0);
    for (const { status, ms, retryAfter, at } of this.received) {
      assert.equal(status, 503);
      assert.ok(ms < most, `${ms} ms`);
      // The first requests find that not all servers have asked for a pause yet.
      if (at < lastBeganAt + ON_THE_WAY_MS) continue;
      const returnsAt = at + Number(retryAfter) * 1000;
      assert.ok(returnsAt >= endsAt - ON_THE_WAY_MS, `${returnsAt - endsAt} ms too early`);
      assert.ok(returnsAt <= endsAt + 1000, `${returnsAt - endsAt} ms late`);
    }
  },
);
