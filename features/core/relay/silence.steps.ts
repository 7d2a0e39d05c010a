import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { SuspectProbe } from '../../../src/core/relay/SuspectProbe.js';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import { FakeCaller } from '../FakeCaller.js';
import {
  answerHead,
  deployment,
  backendServer,
  isUsable,
  RelayFixture,
  route,
} from '../FleetFixture.js';

interface SilenceWorld {
  fixture: RelayFixture;
  caller: FakeCaller;
  silent: string;
  sentEvents: number;
  suspectProbe: SuspectProbe;
  lost: string[];
}

const SPANS = { s1: [0, 30], s2: [30, 60], s3: [60, 80] } as const;

function sendEvent(world: SilenceWorld): void {
  world.sentEvents += 1;
  world.fixture.servers.calls[0].listener.onData(
    Buffer.from(`id: ${world.sentEvents}\ndata: x\n\n`),
  );
}

async function begin(world: SilenceWorld, paceMs: number): Promise<void> {
  const fixture = new RelayFixture();
  fixture.deployments.applyIfNewer(deployment([route()]));
  for (const [id, [from, to]] of Object.entries(SPANS)) {
    const span = { from, to };
    fixture.directory.put(backendServer(id, { accelerator: 'h100', span }));
    // Spares in another domain cost more, so the route begins in the local domain.
    fixture.directory.put(
      backendServer(`${id}-spare`, { accelerator: 'h100', span, failureDomain: 'b' }),
    );
  }
  Object.assign(world, { fixture, sentEvents: 0, silent: '' });
  world.caller = new FakeCaller();
  new RelayDispatcher(fixture.dependencies).accept(fixture.request(), world.caller);
  fixture.servers.calls[0].listener.onHead(answerHead());
  for (let sent = 0; sent < 20; sent += 1) {
    if (sent > 0) await fixture.clock.runUntil(fixture.clock.now() + paceMs);
    sendEvent(world);
  }
}

Given('a stream over three servers that has begun', async function set(this: SilenceWorld) {
  await begin(this, 20);
});

Given(
  'a stream over three servers with an event every {int} ms',
  async function set(this: SilenceWorld, paceMs: number) {
    await begin(this, paceMs);
  },
);

When('server {string} falls silent', function run(this: SilenceWorld, server: string) {
  this.silent = server;
  this.fixture.servers.silent.add(server);
});

When(
  'nothing arrives for {int} ms although every server reports',
  async function run(this: SilenceWorld, ms: number) {
    await this.fixture.clock.runUntil(this.fixture.clock.now() + ms);
  },
);

When(
  'the first server reports that it is waiting for {string}',
  function run(this: SilenceWorld, server: string) {
    this.silent = server;
    const address = this.fixture.directory.get(server)?.record.address ?? '';
    this.fixture.servers.blocked = [{ id: 'request', address }];
  },
);

When(
  'server {string} announces that it is leaving',
  async function run(this: SilenceWorld, server: string) {
    this.silent = server;
    const known = this.fixture.directory.get(server);
    assert.ok(known);
    this.fixture.directory.put({ ...known.record, revision: 1e6, leaving: true });
    for (let sent = 0; sent < 65; sent += 1) {
      sendEvent(this);
      await this.fixture.clock.runUntil(this.fixture.clock.now() + 20);
    }
  },
);

When(
  'the caller takes nothing for {int} ms, while no server reports',
  async function run(this: SilenceWorld, ms: number) {
    this.caller.isReading = false;
    sendEvent(this);
    assert.ok(this.fixture.servers.calls[0].isPaused);
    for (const server of Object.keys(SPANS)) this.fixture.servers.silent.add(server);
    await this.fixture.clock.runUntil(this.fixture.clock.now() + ms);
  },
);

When('the caller reads on', function run(this: SilenceWorld) {
  this.caller.readOn();
  assert.ok(!this.fixture.servers.calls[0].isPaused);
});

Then('no server was asked for a report', function check(this: SilenceWorld) {
  assert.equal(this.fixture.servers.reportCount, 0);
});

When(
  'the process stalls for {int} ms while events wait to be read',
  async function run(this: SilenceWorld, ms: number) {
    // A stalled process runs no timers: the clock jumps, then the first tick runs and the events arrive.
    this.fixture.clock.jump(ms);
    await this.fixture.clock.runUntil(this.fixture.clock.now() + 1);
    sendEvent(this);
    await this.fixture.clock.runUntil(this.fixture.clock.now() + 60);
  },
);

Then(
  'within {int} ms the stream has a new route without that server',
  async function check(this: SilenceWorld, ms: number) {
    await this.fixture.clock.runUntil(this.fixture.clock.now() + ms);
    const [reroute] = this.fixture.servers.reroutes;
    assert.ok(reroute, 'no reroute was requested');
    assert.ok(!reroute.stages.some(({ server }) => server === this.silent));
    assert.equal(reroute.stages[0].server, 's1');
  },
);

Then(
  'within {int} ms the stream resumes at another first server',
  async function check(this: SilenceWorld, ms: number) {
    await this.fixture.clock.runUntil(this.fixture.clock.now() + ms);
    const { calls } = this.fixture.servers;
    assert.equal(calls.length, 2);
    assert.equal(calls[1].call.server.id, 's1-spare');
    assert.equal(calls[1].call.resumeAfter, String(this.sentEvents));
    assert.ok(!calls[0].disposed);
    calls[1].listener.onHead(answerHead());
    assert.ok(!calls[0].disposed);
    calls[1].listener.onData(Buffer.from(`id: ${this.sentEvents + 1}\ndata: x\n\n`));
    assert.ok(calls[0].disposed);
    assert.ok(!calls[1].disposed);
  },
);

Then('the stream keeps its route', function check(this: SilenceWorld) {
  assert.equal(this.fixture.servers.reroutes.length, 0);
  assert.equal(this.fixture.servers.calls.length, 1);
});

When(
  '{int} servers of domain {string} fall silent and are detected',
  async function run(this: SilenceWorld, count: number, failureDomain: string) {
    const { clock, directory, servers, dependencies } = this.fixture;
    const ids = Array.from({ length: count + 2 }, (_, index) => `lost-${index}`);
    for (const id of ids) {
      directory.put(backendServer(id, { failureDomain, span: { from: 0, to: 80 } }));
      servers.silent.add(id);
    }
    const answered = ids.at(-1) as string;
    servers.silent.delete(answered);
    this.lost = ids.filter((id) => id !== answered);
    this.suspectProbe = new SuspectProbe({
      clock,
      directory,
      port: servers,
      decisions: dependencies.decisions,
    });
    await clock.runUntil(clock.now() + 200);
    directory.noteAlive(answered);
    for (const id of ids.slice(0, count)) {
      directory.suspect(id);
      this.suspectProbe.add(id);
    }
  },
);

Then(
  'its other servers get no work either, except one that answered just now',
  function check(this: SilenceWorld) {
    const { clock, directory } = this.fixture;
    for (const id of this.lost) assert.ok(!isUsable(directory, clock, id), id);
    assert.ok(isUsable(directory, clock, 'lost-4'));
    assert.ok(isUsable(directory, clock, 's1'));
  },
);

When('after {int} ms they answer again', async function run(this: SilenceWorld, ms: number) {
  const { clock, directory, servers } = this.fixture;
  const endsAt = clock.now() + ms;
  while (clock.now() < endsAt) {
    for (const id of this.lost)
      assert.ok(!isUsable(directory, clock, id), `${id} at ${clock.now()}`);
    await clock.runUntil(clock.now() + 50);
  }
  for (const id of this.lost) servers.silent.delete(id);
});

Then('they get work again within {int} ms', async function check(this: SilenceWorld, ms: number) {
  const { clock, directory } = this.fixture;
  await clock.runUntil(clock.now() + ms);
  for (const id of this.lost) assert.ok(isUsable(directory, clock, id), id);
});
