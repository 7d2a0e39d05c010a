import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RouteKind } from '../../../src/core/deployment/Types.js';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import { CallFailure } from '../../../src/core/relay/Types.js';
import { FakeCaller } from '../FakeCaller.js';
import { answerHead, backendServer, deployment, RelayFixture, route } from '../FleetFixture.js';

interface SilenceWorld {
  fixture: RelayFixture;
  dispatcher: RelayDispatcher;
  caller: FakeCaller;
  startedAt: number;
}

const KINDS: Readonly<Record<string, RouteKind>> = {
  'non-idempotent': RouteKind.NonIdempotent,
  idempotent: RouteKind.Idempotent,
};

/** Step in which the clock goes on while the end of a request is awaited, in milliseconds. */
const STEP_MS = 10;

function start(world: SilenceWorld, kind: string, servers: number, deadlineMs: number): void {
  const fixture = new RelayFixture();
  const plain = route({
    kind: KINDS[kind],
    resumable: false,
    shares: [{ service: 'plain', weight: 1 }],
    maxServers: 2,
    timeoutMs: 5000,
  });
  fixture.deployments.applyIfNewer(deployment([plain]));
  for (let index = 0; index < servers; index += 1)
    fixture.directory.put(backendServer(`p${index}`, { service: 'plain', accelerator: '' }));
  world.fixture = fixture;
  world.dispatcher = new RelayDispatcher(fixture.dependencies);
  world.caller = new FakeCaller();
  world.startedAt = fixture.clock.now();
  world.dispatcher.accept(fixture.request({ prompt: undefined, deadlineMs }), world.caller);
}

Given(
  'a {string} request to the only server of a plain service, with a deadline of {int} ms',
  function set(this: SilenceWorld, kind: string, deadlineMs: number) {
    start(this, kind, 1, deadlineMs);
  },
);

Given(
  'a {string} request to one of {int} + 1 servers of a plain service',
  function set(this: SilenceWorld, kind: string, others: number) {
    start(this, kind, others + 1, 4000);
  },
);

When(
  'its server falls silent {string} for {int} ms and goes on',
  async function run(this: SilenceWorld, when: string, ms: number) {
    const { listener } = this.fixture.servers.lastCall;
    const isWithin = when === 'within the body';
    const sendHead = (): void => {
      listener.onHead(answerHead());
      listener.onData(Buffer.from('half '));
    };
    if (isWithin) sendHead();
    this.fixture.clock.schedule(ms, () => {
      if (!isWithin) sendHead();
      listener.onData(Buffer.from('half'));
      listener.onEnd();
    });
  },
);

Then(
  'the request ended as {string} after {int} ms, and was sent once',
  async function check(this: SilenceWorld, outcome: string, endedMs: number) {
    const { clock, servers } = this.fixture;
    await clock.runUntil(this.startedAt + endedMs - STEP_MS);
    assert.equal(this.caller.outcome, 'open');
    await clock.runUntil(this.startedAt + endedMs + STEP_MS);
    assert.equal(this.caller.outcome, outcome);
    if (outcome === '200') assert.equal(this.caller.text, 'half half');
    // What the server still sends changes nothing.
    await clock.runUntil(this.startedAt + 5000);
    assert.equal(this.caller.outcome, outcome);
    assert.equal(servers.calls.length, 1);
  },
);

Then('a further request is sent to that server', function check(this: SilenceWorld) {
  this.dispatcher.accept(this.fixture.request({ prompt: undefined }), new FakeCaller());
  assert.equal(this.fixture.servers.calls.length, 2);
});

When('its server takes no connection in time', function run(this: SilenceWorld) {
  this.fixture.servers.lastCall.listener.onFailure(CallFailure.ConnectTimeout);
});

Then(
  'the request is {string}, and the server gets work again after {int} ms',
  async function check(this: SilenceWorld, outcome: string, ms: number) {
    const { clock, directory, servers } = this.fixture;
    const [{ call: first }] = servers.calls;
    if (outcome === 'sent to the other') {
      assert.notEqual(servers.lastCall.call.server.id, first.server.id);
      assert.equal(this.caller.outcome, 'open');
    } else assert.equal(this.caller.outcome, outcome);
    assert.ok(!directory.isWorking(first.server.id));
    await clock.runUntil(clock.now() + ms + STEP_MS);
    assert.ok(directory.isWorking(first.server.id));
  },
);
