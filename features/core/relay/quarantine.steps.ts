import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import { CallFailure } from '../../../src/core/relay/Types.js';
import { FakeCaller } from '../FakeCaller.js';
import { answerHead, backendServer, deployment, RelayFixture, route } from '../FleetFixture.js';

interface HeldWorld {
  fixture: RelayFixture;
  caller: FakeCaller;
  ended: number;
}

const BAD = 'bad';

/** Interval between crashes, in milliseconds; those at the same moment count once. */
const CRASH_INTERVAL_MS = 300;

async function crashAnother(world: HeldWorld): Promise<void> {
  const { clock, quarantine } = world.fixture;
  world.ended += 1;
  await clock.runUntil(clock.now() + CRASH_INTERVAL_MS);
  quarantine.recordCrash(`other-${world.ended}`, 1, [BAD]);
}

function sendEvent({ fixture }: HeldWorld, number: number): void {
  const { listener } = fixture.servers.lastCall;
  if (number === 1) listener.onHead(answerHead());
  listener.onData(Buffer.from(`id: ${number}\ndata: x\n\n`));
}

async function loseServer({ fixture }: HeldWorld, hasEnded: boolean): Promise<void> {
  const { servers, clock } = fixture;
  await clock.runUntil(clock.now() + CRASH_INTERVAL_MS);
  const { call, listener } = servers.lastCall;
  if (hasEnded) servers.silent.add(call.server.id);
  listener.onFailure(CallFailure.ConnectionLost);
}

const EVENTS: Readonly<Record<string, (world: HeldWorld) => Promise<void> | void>> = {
  start: ({ fixture, caller }) => {
    const request = fixture.request({ sharedPromptParts: ['known', BAD] });
    new RelayDispatcher(fixture.dependencies).accept(request, caller);
  },
  crash: crashAnother,
  lost: (world) => loseServer(world, true),
  reset: (world) => loseServer(world, false),
  // Reports are awaited for 100 ms.
  wait: ({ fixture: { clock } }) => clock.runUntil(clock.now() + 150).then(() => {}),
  e1: (world) => sendEvent(world, 1),
  e2: (world) => sendEvent(world, 2),
  answer: ({ fixture }) => fixture.quarantine.recordAnswer([BAD]),
};

Given(
  'a stream request with the shared parts {string} to four servers, and servers that have ended {int} times under {string}',
  async function set(this: HeldWorld, _parts: string, crashes: number, _part: string) {
    this.fixture = new RelayFixture();
    this.caller = new FakeCaller();
    this.ended = 0;
    this.fixture.deployments.applyIfNewer(deployment([route({ maxServers: 3 })]));
    for (const id of ['s1', 's2', 's3', 's4']) {
      const span = { from: 0, to: 80 };
      this.fixture.directory.put(backendServer(id, { accelerator: 'whole', span }));
    }
    this.fixture.quarantine.recordAnswer(['known']);
    for (let count = 0; count < crashes; count += 1) await crashAnother(this);
  },
);

When('these happen: {string}', async function run(this: HeldWorld, events: string) {
  for (const event of events.split(' ')) await EVENTS[event](this);
});

Then(
  'the request was sent {int} times, its caller gets {string}, and its last connection is {string}',
  function check(this: HeldWorld, sends: number, outcome: string, connection: string) {
    const { calls } = this.fixture.servers;
    assert.equal(calls.length, sends);
    assert.equal(this.caller.outcome, outcome);
    const last = calls.at(-1);
    const state = last?.disposed === true ? 'closed' : 'open';
    assert.equal(last === undefined ? 'none' : state, connection);
  },
);
