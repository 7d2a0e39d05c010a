import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RouteKind } from '../../../src/core/deployment/Types.js';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import { CallFailure, type Relay } from '../../../src/core/relay/Types.js';
import { WorkReservation } from '../../../src/core/routing/WorkReservation.js';
import { StandstillGuard } from '../../../src/core/standstill/StandstillGuard.js';
import { FakeCaller } from '../FakeCaller.js';
import { answerHead, backendServer, deployment, RelayFixture, route } from '../FleetFixture.js';

interface StandstillRelayWorld {
  fixture: RelayFixture;
  caller: FakeCaller;
  dispatcher: RelayDispatcher;
  relay: Relay;
}

const STANDSTILL_MS = 3000;

/** Time from the question to the news, in milliseconds. */
const NEWS_MS = 20;

/** Adds requests to the load of a server. */
function fill({ load }: RelayFixture, server: string, requests: number): void {
  for (let count = 0; count < requests; count += 1)
    new WorkReservation(load, [{ server, address: '', from: 0, to: 0 }], 0, 0).endPrefill();
}

function plainServer(id: string, values: object = {}) {
  return backendServer(id, { service: 'plain', ...values });
}

Given(
  'an instance whose question after a standstill is answered {string}',
  async function set(this: StandstillRelayWorld, answer: string) {
    this.fixture = new RelayFixture();
    this.caller = new FakeCaller();
    const { clock, directory, deployments, dependencies } = this.fixture;
    const shares = [{ service: 'plain', weight: 1 }];
    const plain = route({ kind: RouteKind.Idempotent, shares, maxServers: 3 });
    deployments.applyIfNewer(deployment([plain]));
    for (const id of ['a', 'b', 'c']) directory.put(plainServer(id));
    fill(this.fixture, 'a', 2);
    fill(this.fixture, 'c', 1);
    const standstill = new StandstillGuard({
      clock,
      decisions: { record: () => {} },
      ask: async () => {
        if (answer === 'never') await new Promise(() => {});
        await clock.sleep(NEWS_MS);
        directory.put(plainServer('b', { leaving: true }));
      },
    });
    standstill.start();
    await clock.runUntil(1000);
    this.dispatcher = new RelayDispatcher({ ...dependencies, standstill });
  },
);

const EVENTS: Readonly<Record<string, (world: StandstillRelayWorld) => void>> = {
  // The request then goes to a first, and to b, unless it leaves, after that.
  'busy-b': ({ fixture }) => {
    fill(fixture, 'b', 3);
    fill(fixture, 'c', 3);
  },
  request: (world) => {
    const { dispatcher, fixture, caller } = world;
    world.relay = dispatcher.accept(fixture.request({ prompt: undefined }), caller);
  },
  wake: ({ fixture: { clock } }) => clock.jump(STANDSTILL_MS),
  gone: ({ relay }) => relay.cancel(),
  lost: ({ fixture: { servers } }) =>
    servers.lastCall.listener.onFailure(CallFailure.ConnectionLost),
  rejected: ({ fixture: { servers } }) => {
    const { listener } = servers.lastCall;
    listener.onHead(answerHead({ status: 503, notExecuted: true }));
    listener.onEnd();
  },
  answered: ({ fixture: { servers } }) => {
    const { listener } = servers.lastCall;
    listener.onHead(answerHead());
    listener.onEnd();
  },
};

When('{string} happen', async function run(this: StandstillRelayWorld, events: string) {
  const { clock } = this.fixture;
  for (const word of events.split(' ')) {
    if (EVENTS[word] === undefined) await clock.runUntil(clock.now() + Number(word));
    else EVENTS[word](this);
  }
});

Then(
  'the requests were sent to {string} and the outcome is {string}',
  function check(this: StandstillRelayWorld, servers: string, outcome: string) {
    const sent = this.fixture.servers.calls.map(({ call }) => call.server.id);
    assert.equal(sent.join(' '), servers);
    assert.equal(this.caller.outcome, outcome);
  },
);
