import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { KnownServer } from '../../../src/core/deployment/ServerDirectory.js';
import {
  RouteKind,
  type Deployment,
  type RequestRoute,
} from '../../../src/core/deployment/Types.js';
import { RerouteStatus } from '../../../src/core/relay/Types.js';
import { firstDeployment, HeldRequest, TIMEOUT_MS, WAIT_MS } from './HeldRequest.js';

interface ChangeWorld {
  held: Map<string, HeldRequest>;
  /** Addresses from before the change that their servers no longer have. */
  formerAddresses: Set<string>;
  callsBefore: number;
}

/** Time after which what a change shortens would act, in milliseconds. */
const AFTER_CHANGE_MS = 120;

/** Time-out of the newer configuration, in milliseconds: shorter than what has passed. */
const SHORT_TIMEOUT_MS = 60;

type Change = (deployment: Deployment) => Partial<Deployment>;

function changeRoutes(values: (route: RequestRoute) => Partial<RequestRoute>): Change {
  return ({ routes }) => ({ routes: routes.map((item) => ({ ...item, ...values(item) })) });
}

/** The service that a route moves to. */
function otherService({ shares: [{ service }] }: RequestRoute): string {
  return service === 'engine' ? 'other-engine' : 'other';
}

const OTHER_KINDS: Readonly<Record<RouteKind, RouteKind>> = {
  [RouteKind.Idempotent]: RouteKind.NonIdempotent,
  [RouteKind.NonIdempotent]: RouteKind.Idempotent,
  [RouteKind.Streaming]: RouteKind.NonIdempotent,
};

const moveRoutes = changeRoutes((item) => ({
  shares: [{ service: otherService(item), weight: 1 }],
}));

const CHANGES: Readonly<Record<string, Change>> = {
  nothing: () => ({}),
  'its route is removed': () => ({ routes: [] }),
  'its route is renamed': changeRoutes(({ name }) => ({ name: `new-${name}` })),
  'its route gets another prefix': changeRoutes(({ prefix }) => ({ prefix: `/new${prefix}` })),
  'its route moves to another service': moveRoutes,
  'its service is removed': (deployment) => ({
    ...moveRoutes(deployment),
    services: new Map(
      [...deployment.services].filter(([name]) => name !== 'engine' && name !== 'plain'),
    ),
  }),
  'its account is removed': () => ({ accounts: [] }),
  'its key is replaced': ({ accounts = [] }) => ({
    accounts: accounts.map((account) => ({ ...account, keys: ['new-key'] })),
  }),
  'accounts end': () => ({ accounts: undefined }),
  'its time-out is shorter': changeRoutes(() => ({ timeoutMs: SHORT_TIMEOUT_MS })),
  'its route allows one server': changeRoutes(() => ({ maxServers: 1 })),
  'its route may not be resumed': changeRoutes(() => ({ resumable: false })),
  'its route becomes another kind': changeRoutes(({ kind }) => ({ kind: OTHER_KINDS[kind] })),
  'its objective is shorter': changeRoutes(() => ({ objectiveMs: SHORT_TIMEOUT_MS })),
  'ranks end': changeRoutes(() => ({ rank: 1, isPublic: true })),
};

const STATES: Readonly<Record<string, (held: HeldRequest) => Promise<void>>> = {
  'that waits for room': async (held) => {
    held.takeRoom();
    held.accept('/stream/');
    await held.run(60);
  },
  'that has been sent': async (held) => {
    held.accept('/stream/');
    await held.run(60);
  },
  'in mid-stream': async (held) => {
    held.accept('/stream/');
    await held.beginStream();
  },
  'being rerouted': async (held) => {
    held.accept('/stream/');
    await held.beginStream();
    await held.startReroute();
  },
  'whose caller stops': async (held) => {
    held.accept('/stream/');
    held.caller.isReading = false;
    await held.beginStream();
  },
  'that books': async (held) => {
    held.accept('/book/');
    await held.run(60);
  },
  'that reads': async (held) => {
    held.accept('/read/');
    await held.run(60);
  },
};

async function runToTimeout(held: HeldRequest, limitMs: number): Promise<void> {
  await held.fixture.clock.runUntil(limitMs - 1);
  assert.equal(held.caller.outcome, 'open', 'it ended early');
  await held.run(2);
}

const EVENTS: Readonly<Record<string, (held: HeldRequest) => Promise<void> | void>> = {
  room: async (held) => {
    held.freeRoom();
    await held.run(10);
  },
  'no-room': (held) => runToTimeout(held, WAIT_MS),
  'time-out': (held) => runToTimeout(held, TIMEOUT_MS),
  served: (held) => held.finishAnswer(),
  lost: (held) => held.lose(),
  taken: (held) => held.endReroute(RerouteStatus.Accepted),
  refused: (held) => held.endReroute(RerouteStatus.Rejected),
  'reads-on': (held) => held.caller.readOn(),
};

async function play(
  state: string,
  events: string,
  change: (held: HeldRequest) => Promise<void> | void,
): Promise<HeldRequest> {
  const held = new HeldRequest();
  await STATES[state](held);
  await change(held);
  await held.run(AFTER_CHANGE_MS);
  for (const event of events.split(' ')) await EVENTS[event](held);
  return held;
}

When(
  'each change of the configuration comes to a request {string}, and then {string}',
  async function run(this: ChangeWorld, state: string, events: string) {
    this.held = new Map();
    for (const [name, change] of Object.entries(CHANGES)) {
      const first = firstDeployment();
      const held = await play(state, events, ({ fixture }) => {
        fixture.deployments.applyIfNewer({ ...first, ...change(first), ticket: 2 });
      });
      this.held.set(name, held);
    }
  },
);

/** Revisions after those of all entries so far. */
let nextRevision = 1_000_000;

type EntryChange = (held: HeldRequest) => Promise<void> | void;

function remove({ fixture }: HeldRequest, id: string): void {
  nextRevision += 1;
  fixture.directory.remove(id, nextRevision);
}

/** Puts the entry of a new process of a server at another address. */
function restart({ fixture }: HeldRequest, { record }: KnownServer): void {
  nextRevision += 1;
  const address = `10.0.1.1:${nextRevision % 10_000}`;
  fixture.directory.put({ ...record, incarnation: 2, revision: nextRevision, address });
}

function serversOf({ fixture }: HeldRequest, prefix: string): KnownServer[] {
  return [...fixture.directory.all()].filter(({ record }) => record.id.startsWith(prefix));
}

const ENTRY_CHANGES: Readonly<Record<string, EntryChange>> = {
  'its first is removed': (held) => remove(held, held.firstServer),
  'its later is removed': (held) => remove(held, held.laterServer),
  'all are removed': (held) => {
    for (const { record } of serversOf(held, '')) remove(held, record.id);
  },
  'first-1 leaves': (held) => remove(held, 'first-1'),
  'first servers leave': (held) => {
    for (const { record } of serversOf(held, 'first')) remove(held, record.id);
  },
  'first servers restart': (held) => {
    for (const server of serversOf(held, 'first')) restart(held, server);
  },
  'its first restarts': (held) => {
    for (const server of serversOf(held, held.firstServer)) restart(held, server);
  },
  'its later restarts': (held) => {
    for (const server of serversOf(held, held.laterServer)) restart(held, server);
  },
  'others restart': (held) => {
    for (const server of serversOf(held, ''))
      if (server.record.id !== held.firstServer) restart(held, server);
  },
  'its first is forgotten': (held) => {
    const { directory } = held.fixture;
    remove(held, held.firstServer);
    // As if it had left long ago.
    for (const server of serversOf(held, held.firstServer)) server.leavingSince = -Infinity;
    directory.sweep();
    assert.equal(directory.get(held.firstServer), undefined);
  },
};

When(
  'the entry change {string} comes to a request {string}, and then {string}',
  async function run(this: ChangeWorld, change: string, state: string, events: string) {
    const held = await play(state, events, async (changed) => {
      const before = serversOf(changed, '').map(({ record }) => record);
      await ENTRY_CHANGES[change](changed);
      const { directory, servers } = changed.fixture;
      const former = before.filter(
        ({ id, address }) => directory.get(id)?.record.address !== address,
      );
      this.formerAddresses = new Set(former.map(({ address }) => address));
      this.callsBefore = servers.calls.length;
    });
    this.held = new Map([[change, held]]);
  },
);

Then(
  'the caller gets {string} with events {string} after {int} send(s) each time',
  function check(this: ChangeWorld, outcome: string, text: string, sends: number) {
    const found: Record<string, string> = {};
    const expected: Record<string, string> = {};
    for (const [change, held] of this.held) {
      found[change] = `${held.caller.outcome} ${held.text} ${held.fixture.servers.calls.length}`;
      expected[change] = `${outcome} ${text} ${sends}`;
    }
    assert.deepEqual(found, expected);
  },
);

Then(
  'no server that leaves, and no earlier address of a server, got work after the change',
  function check(this: ChangeWorld) {
    for (const { fixture } of this.held.values()) {
      for (const { call } of fixture.servers.calls.slice(this.callsBefore)) {
        for (const { server, address } of [
          ...call.stages,
          { server: call.server.id, address: call.server.address },
        ]) {
          assert.equal(fixture.directory.get(server)?.leaving, false, `${server} leaves`);
          assert.ok(!this.formerAddresses.has(address), `${server} was called at ${address}`);
        }
      }
    }
  },
);
