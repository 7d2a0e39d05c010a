import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RouteKind } from '../../../src/core/deployment/Types.js';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import type { Relay } from '../../../src/core/relay/Types.js';
import { FakeCaller } from '../FakeCaller.js';
import type { RecordedCall } from '../FakeServers.js';
import {
  answerHead,
  deployment,
  failureNamed,
  backendServer,
  RelayFixture,
  route,
} from '../FleetFixture.js';

interface RelayWorld {
  fixture: RelayFixture;
  caller: FakeCaller;
  relay: Relay;
  dispatcher: RelayDispatcher;
  waiting: Relay[];
}

const KINDS: Readonly<Record<string, RouteKind>> = {
  'non-idempotent': RouteKind.NonIdempotent,
  idempotent: RouteKind.Idempotent,
};

type ScriptedAnswer = (made: RecordedCall) => void;

function answered(values: Parameters<typeof answerHead>[0]): ScriptedAnswer {
  return ({ listener }) => {
    listener.onHead(answerHead(values));
    listener.onData(Buffer.from('answer'));
    listener.onEnd();
  };
}

const SCRIPTED_ANSWERS: Readonly<Record<string, ScriptedAnswer>> = {
  200: answered({}),
  500: answered({ status: 500 }),
  503: answered({ status: 503 }),
  rejected: answered({ status: 503, signed: false, notExecuted: true }),
  unsigned: answered({ signed: false }),
  encoded: answered({ identityEncoded: false }),
  unsendable: answered({ sendable: false }),
  half: ({ listener }) => listener.onData(Buffer.from('id: ')),
  end: ({ listener }) => listener.onEnd(),
  wait: () => {},
};

function answerAs(fixture: RelayFixture, word: string): void {
  const made = fixture.servers.lastCall;
  const scripted = SCRIPTED_ANSWERS[word];
  if (scripted !== undefined) scripted(made);
  else made.listener.onFailure(failureNamed(word));
}

function start(world: RelayWorld, fixture: RelayFixture, request = fixture.request()): void {
  world.fixture = fixture;
  world.caller = new FakeCaller();
  world.dispatcher = new RelayDispatcher(fixture.dependencies);
  world.relay = world.dispatcher.accept(request, world.caller);
}

function startPlain(world: RelayWorld, kind: string, retries?: number): void {
  const fixture = new RelayFixture(retries);
  const isOnce = KINDS[kind] === RouteKind.NonIdempotent;
  const plain = route({
    kind: KINDS[kind],
    resumable: false,
    shares: [{ service: 'plain', weight: 1 }],
    maxServers: isOnce ? 1 : 2,
    timeoutMs: 1000,
  });
  fixture.deployments.applyIfNewer(deployment([plain]));
  for (const id of ['p1', 'p2', 'p3'])
    fixture.directory.put(backendServer(id, { service: 'plain', accelerator: '' }));
  start(world, fixture, fixture.request({ prompt: undefined }));
}

function startStream(world: RelayWorld, resumable: boolean): void {
  const fixture = new RelayFixture();
  fixture.deployments.applyIfNewer(deployment([route({ resumable })]));
  for (const id of ['first', 'second'])
    fixture.directory.put(backendServer(id, { accelerator: 'whole', span: { from: 0, to: 80 } }));
  start(world, fixture);
}

Given(
  'a route of kind {string} to servers with scripted answers',
  function set(this: RelayWorld, kind: string) {
    startPlain(this, kind);
  },
);

Given(
  'a route of kind {string} to servers with scripted answers, without retries',
  function set(this: RelayWorld, kind: string) {
    startPlain(this, kind, 0);
  },
);

Given('a dispatcher that closes at {int} ms', function set(this: RelayWorld, ms: number) {
  startPlain(this, 'idempotent');
  this.dispatcher.closeAt(ms);
});

When('a request comes at {int} ms', async function run(this: RelayWorld, ms: number) {
  await this.fixture.clock.runUntil(ms);
  this.fixture.servers.calls.length = 0;
  this.caller = new FakeCaller();
  this.dispatcher.accept(this.fixture.request({ prompt: undefined }), this.caller);
});

When('the servers answer {string}', function run(this: RelayWorld, answers: string) {
  for (const word of answers.split(',')) answerAs(this.fixture, word);
});

type FaultyPart = (world: RelayWorld) => void;

function throwError(): never {
  throw new Error('unexpected');
}

const FAULTY_PARTS: Readonly<Record<string, FaultyPart>> = {
  'the head is written': ({ caller }) => Object.assign(caller, { writeHead: throwError }),
  'the body is written': ({ caller }) => Object.assign(caller, { write: throwError }),
  'the answer ends': ({ caller }) => Object.assign(caller, { end: throwError }),
  'the refusal is written': ({ caller }) => Object.assign(caller, { refuse: throwError }),
  'another server is chosen': ({ fixture }) =>
    Object.assign(fixture.serverLimits, { allows: throwError }),
  'its crash is examined': ({ fixture }) =>
    Object.assign(fixture.dependencies.crashWitness, { examineLoss: throwError }),
};

Given('an unexpected error when {string}', function set(this: RelayWorld, part: string) {
  FAULTY_PARTS[part](this);
});

Then(
  'the log tells that an answer was discarded because of {string}',
  function check(this: RelayWorld, reason: string) {
    const logged = this.fixture.loggedDecisions.filter(({ event }) => event === 'answer-discarded');
    assert.equal(logged.length, 1);
    const { id, server, reason: actual } = logged[0].fields as Record<string, string>;
    assert.deepEqual({ id, reason: actual }, { id: 'request', reason });
    assert.ok(server !== '');
  },
);

Then('the error is logged with the id of the request', function check(this: RelayWorld) {
  const logged = this.fixture.loggedDecisions.filter(({ event }) => event === 'request-error');
  assert.equal(logged.length, 1);
  assert.equal((logged[0].fields as { id: string }).id, 'request');
});

Then('no time limit of the request is left', async function check(this: RelayWorld) {
  const { outcome } = this.caller;
  await this.fixture.clock.runUntil(60_000);
  assert.equal(this.caller.outcome, outcome);
});

When("the route's timeout expires", async function run(this: RelayWorld) {
  await this.fixture.clock.runUntil(1001);
});

Then(
  'the caller gets {string} after {int} send(s)',
  function check(this: RelayWorld, outcome: string, sends: number) {
    assert.equal(this.caller.outcome, outcome);
    assert.equal(this.fixture.servers.calls.length, sends);
  },
);

Given('a stream over two servers', function set(this: RelayWorld) {
  startStream(this, true);
});

Given(
  'a stream of an engine with three servers of the first layers and two of the later ones',
  function set(this: RelayWorld) {
    const fixture = new RelayFixture();
    fixture.deployments.applyIfNewer(deployment([route()]));
    for (const index of [0, 1, 2]) {
      const span = { from: 0, to: 30 };
      fixture.directory.put(backendServer(`first-${index}`, { accelerator: 'h100', span }));
    }
    for (const index of [0, 1]) {
      const span = { from: 30, to: 80 };
      fixture.directory.put(backendServer(`later-${index}`, { accelerator: 'whole', span }));
    }
    start(this, fixture);
  },
);

function reject(
  { fixture }: RelayWorld,
  blamedAddress: string | undefined,
  misdirected = false,
): void {
  const { listener } = fixture.servers.lastCall;
  listener.onHead(
    answerHead({
      status: 503,
      signed: false,
      notExecuted: true,
      misdirected,
      blamedAddress,
    }),
  );
  listener.onEnd();
}

When(
  'its first server reports that {string} does not hold its layers',
  function run(this: RelayWorld, later: string) {
    reject(this, this.fixture.directory.get(later)?.record.address, true);
  },
);

When(
  'its first server reports that {string}, whose address is also in the entry of "next", does not hold its layers',
  function run(this: RelayWorld, later: string) {
    const { directory } = this.fixture;
    const address = directory.get(later)?.record.address;
    // The entry of a server that started later: for the directory, the address is now that server's.
    directory.put(backendServer('next', { address, service: 'plain', incarnation: 2 }));
    assert.equal(directory.findByAddress(address ?? '')?.record.id, 'next');
    reject(this, address, true);
  },
);

Then('{string} counts as a server without layers', function check(this: RelayWorld, later: string) {
  assert.equal(this.fixture.directory.get(later)?.record.span, undefined);
});

Then(
  'no route passes {string} until its entry shows layers again',
  async function check(this: RelayWorld, later: string) {
    const { clock, directory, servers, dependencies } = this.fixture;
    const dispatcher = new RelayDispatcher(dependencies);
    const passes = () => {
      dispatcher.accept(this.fixture.request(), new FakeCaller());
      return servers.lastCall.call.stages.some(({ server }) => server === later);
    };
    for (let count = 0; count < 20; count += 1) {
      assert.ok(!passes());
      await clock.runUntil(clock.now() + 200);
    }
    directory.put(backendServer(later, { accelerator: 'whole', span: { from: 30, to: 80 } }));
    directory.suspect(later === 'later-0' ? 'later-1' : 'later-0');
    assert.ok(passes());
  },
);

When(
  'its first server rejects it, and the next one rejects it because of {string}',
  function run(this: RelayWorld, later: string) {
    const { servers, directory } = this.fixture;
    reject(this, servers.lastCall.call.server.address);
    reject(this, directory.get(later)?.record.address);
  },
);

Then(
  'the three sends used two servers of the first layers, and the request is still open',
  function check(this: RelayWorld) {
    const firsts = this.fixture.servers.calls.map(({ call }) => call.server.id);
    assert.equal(new Set(firsts).size, 2);
    assert.equal(firsts.length, 3);
    assert.equal(this.caller.outcome, 'open');
  },
);

Given('a stream that may not be resumed', function set(this: RelayWorld) {
  startStream(this, false);
});

When('the stream gets {string}', function run(this: RelayWorld, arrivals: string) {
  let lastWithHead: RecordedCall | undefined;
  for (const word of arrivals.split(' ')) {
    const { lastCall: last } = this.fixture.servers;
    if (/^e\d/.test(word)) {
      if (lastWithHead !== last) last.listener.onHead(answerHead());
      lastWithHead = last;
      last.listener.onData(Buffer.from(`id: ${word.slice(1)}\ndata: ${word.slice(1)}\n\n`));
    } else answerAs(this.fixture, word);
  }
});

Given('neither server gives a sign of life', function set(this: RelayWorld) {
  for (const server of ['first', 'second']) this.fixture.servers.silent.add(server);
});

When(
  '{int} ms of the 20000 ms for the stream have passed',
  async function run(this: RelayWorld, ms: number) {
    await this.fixture.clock.runUntil(ms);
  },
);

Then(
  'the caller has {string} and its answer is {string}',
  function check(this: RelayWorld, text: string, outcome: string) {
    assert.equal([...this.caller.text.matchAll(/data: (\d+)/g)].map(([, n]) => n).join(''), text);
    assert.equal(this.caller.outcome, outcome);
  },
);

Then(
  'the servers were asked to resume after {string}',
  function check(this: RelayWorld, resumed: string) {
    const asked = this.fixture.servers.calls.map(({ call }) => call.resumeAfter);
    assert.equal(asked.filter((after) => after !== undefined).join(' '), resumed);
  },
);

Then(
  'the caller has the body {string} and status {int}',
  function check(this: RelayWorld, body: string, status: number) {
    assert.equal(this.caller.text, body);
    assert.equal(this.caller.status, status);
  },
);

When('the caller disconnects', function run(this: RelayWorld) {
  this.relay.cancel();
});

Then(
  'the connection of the last send is closed and no outstanding work is left',
  function check(this: RelayWorld) {
    assert.ok(this.fixture.servers.lastCall.disposed);
    assert.deepEqual([...this.fixture.load.listOwnWork()], []);
  },
);

/** Objective of the route whose streams wait for their first event, in milliseconds. */
const WAITING_OBJECTIVE_MS = 500;

Given(
  '{int} streams that wait for their first event, on a route with an objective of 500 ms',
  function set(this: RelayWorld, count: number) {
    startStream(this, true);
    this.fixture.deployments.applyIfNewer(
      deployment([route({ objectiveMs: WAITING_OBJECTIVE_MS })], { ticket: 2 }),
    );
    this.relay.cancel();
    this.waiting = Array.from({ length: count }, () =>
      this.dispatcher.accept(this.fixture.request(), new FakeCaller()),
    );
  },
);

When(
  '{int} of their callers leave after {int} ms',
  async function run(this: RelayWorld, count: number, ms: number) {
    await this.fixture.clock.runUntil(this.fixture.clock.now() + ms);
    for (const relay of this.waiting.slice(0, count)) relay.cancel();
  },
);

Then('a further stream is {string}', function check(this: RelayWorld, outcome: string) {
  this.caller = new FakeCaller();
  this.dispatcher.accept(this.fixture.request(), this.caller);
  assert.equal(this.caller.outcome, outcome);
});
