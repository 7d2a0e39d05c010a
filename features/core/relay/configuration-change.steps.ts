import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  RouteKind,
  type Deployment,
  type RequestRoute,
} from '../../../src/core/deployment/Types.js';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import { CallFailure } from '../../../src/core/relay/Types.js';
import { FakeCaller } from '../FakeCaller.js';
import type { RecordedCall } from '../FakeServers.js';
import {
  answerHead,
  backendServer,
  deployment,
  ENGINE_SERVICE,
  RelayFixture,
  route,
} from '../FleetFixture.js';

interface ChangeWorld {
  fixture: RelayFixture;
  caller: FakeCaller;
  accepted: RequestRoute;
}

const KINDS: Readonly<Record<string, RouteKind>> = {
  'non-idempotent': RouteKind.NonIdempotent,
  idempotent: RouteKind.Idempotent,
  streaming: RouteKind.Streaming,
};

Given(
  'a {string} request that its server is running, with another server of the service',
  function set(this: ChangeWorld, kind: string) {
    const fixture = new RelayFixture();
    const isStream = kind === 'streaming';
    const service = isStream ? 'engine' : 'plain';
    this.accepted = route({
      kind: KINDS[kind],
      resumable: isStream,
      shares: [{ service, weight: 1 }],
      timeoutMs: 10_000,
    });
    fixture.deployments.applyIfNewer(deployment([this.accepted]));
    for (const id of ['one', 'two']) {
      const values = isStream
        ? { accelerator: 'whole', span: { from: 0, to: 80 } }
        : { service, accelerator: '' };
      fixture.directory.put(backendServer(id, values));
    }
    this.fixture = fixture;
    this.caller = new FakeCaller();
    const dispatcher = new RelayDispatcher(fixture.dependencies);
    dispatcher.accept(fixture.request(isStream ? {} : { prompt: undefined }), this.caller);
  },
);

function configure(
  { fixture }: ChangeWorld,
  routes: readonly RequestRoute[],
  values: Partial<Deployment> = {},
): void {
  fixture.deployments.applyIfNewer(deployment(routes, { ticket: 2, ...values }));
}

const OTHER_SERVICES: Deployment['services'] = new Map([
  ['other', { ...ENGINE_SERVICE, name: 'other' }],
]);

const CHANGES: Readonly<Record<string, (world: ChangeWorld) => void>> = {
  'its route is removed': (world) => configure(world, []),
  'its service is removed': (world) => configure(world, [], { services: OTHER_SERVICES }),
  'its route goes to another service': (world) => {
    const moved = { ...world.accepted, shares: [{ service: 'other', weight: 1 }] };
    configure(world, [moved], { services: OTHER_SERVICES });
  },
  'its time limit becomes 100 ms': (world) =>
    configure(world, [{ ...world.accepted, timeoutMs: 100 }]),
  'its account is removed': (world) =>
    configure(world, [{ ...world.accepted, isPublic: false }], { accounts: [] }),
  'its route becomes idempotent': (world) =>
    configure(world, [{ ...world.accepted, kind: RouteKind.Idempotent }]),
  'its route may use one server only': (world) =>
    configure(world, [{ ...world.accepted, maxServers: 1 }]),
  "its server's entry is removed": (world) => {
    const { directory, servers } = world.fixture;
    directory.remove(servers.lastCall.call.server.id, directory.revision + 1);
    configure(world, [world.accepted]);
  },
};

When('{string} comes with a new configuration', function run(this: ChangeWorld, change: string) {
  CHANGES[change](this);
});

/** Sends the next event of a stream, numbered over all sends. */
function sendEvent({ fixture }: ChangeWorld, { listener }: RecordedCall, number: number): void {
  if (number === 1 || fixture.servers.calls.length > 1) listener.onHead(answerHead());
  listener.onData(Buffer.from(`id: ${number}\ndata: ${number}\n\n`));
}

When(
  '{int} ms later {string} arrive for the request',
  async function run(this: ChangeWorld, ms: number, events: string) {
    const { clock, servers } = this.fixture;
    await clock.runUntil(clock.now() + ms);
    let number = 0;
    for (const event of events.split(' ')) {
      const { lastCall } = servers;
      if (event === 'lost') lastCall.listener.onFailure(CallFailure.ConnectionLost);
      else if (event === 'event') {
        number += 1;
        sendEvent(this, lastCall, number);
      } else {
        if (number === 0) lastCall.listener.onHead(answerHead());
        lastCall.listener.onEnd();
      }
    }
  },
);

Then(
  'the request of the older configuration ended as {string}',
  function check(this: ChangeWorld, outcome: string) {
    assert.equal(this.caller.outcome, outcome);
  },
);
