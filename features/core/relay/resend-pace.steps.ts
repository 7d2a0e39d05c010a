import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import { CallFailure } from '../../../src/core/relay/Types.js';
import { WorkReservation } from '../../../src/core/routing/WorkReservation.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { FakeCaller } from '../FakeCaller.js';
import type { RecordedCall } from '../FakeServers.js';
import { answerHead, backendServer, deployment, RelayFixture, route } from '../FleetFixture.js';

interface ResendWorld {
  resent: RelayFixture;
  callers: FakeCaller[];
  /** Calls that have been answered. */
  answered: Set<RecordedCall>;
  /** Time of each send after the loss and its server. */
  sends: { at: number; server: string }[];
}

const SEED = 1;

/** Resolution of the servers' clock, in milliseconds. */
const STEP_MS = 5;

/** Events of a stream before its server is lost. */
const EVENTS_BEFORE_LOSS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n';

function startStreams(world: ResendWorld, count: number): void {
  const { resent } = world;
  const dispatcher = new RelayDispatcher({
    ...resent.dependencies,
    random: new SeededRandom(SEED),
  });
  world.callers = [];
  world.answered = new Set();
  world.sends = [];
  for (let index = 0; index < count; index += 1) {
    const caller = new FakeCaller();
    dispatcher.accept(resent.request({ id: `request-${index}` }), caller);
    world.callers.push(caller);
  }
  assert.equal(resent.servers.calls.length, count);
  for (const made of resent.servers.calls) {
    world.answered.add(made);
    made.listener.onHead(answerHead());
    made.listener.onData(Buffer.from(EVENTS_BEFORE_LOSS));
  }
}

function reject({ listener }: RecordedCall): void {
  listener.onHead(answerHead({ status: 503, signed: false, notExecuted: true }));
  listener.onEnd();
}

/** Runs the servers for a time, in milliseconds; they answer each call as said. */
async function answerFor(
  { resent, answered, sends }: ResendWorld,
  ms: number,
  answer: (made: RecordedCall) => void,
): Promise<void> {
  const { clock, servers } = resent;
  const until = clock.now() + ms;
  while (clock.now() < until) {
    await clock.runUntil(clock.now() + STEP_MS);
    for (const made of [...servers.calls]) {
      if (answered.has(made)) continue;
      answered.add(made);
      sends.push({ at: clock.now(), server: made.call.server.id });
      answer(made);
    }
  }
}

function lose({ resent }: ResendWorld): void {
  for (const { listener } of [...resent.servers.calls])
    listener.onFailure(CallFailure.ConnectionLost);
}

Given(
  'a begun stream of a plain service with {int} servers, of which its route allows {int}',
  function set(this: ResendWorld, count: number, maxServers: number) {
    this.resent = new RelayFixture();
    const { deployments, directory } = this.resent;
    const shares = [{ service: 'plain', weight: 1 }];
    deployments.applyIfNewer(deployment([route({ shares, maxServers })]));
    for (let index = 0; index < count; index += 1)
      directory.put(backendServer(`p${index}`, { service: 'plain' }));
    startStreams(this, 1);
  },
);

When(
  'its plain server breaks off, and the next one rejects it for {int} ms',
  async function run(this: ResendWorld, ms: number) {
    const { load, servers } = this.resent;
    lose(this);
    const { id, address } = servers.lastCall.call.server;
    // Other work makes the server that no route may add look better.
    const occupied = [{ server: id, address, from: 0, to: 0 }];
    assert.ok(new WorkReservation(load, occupied, 1, 1));
    await answerFor(this, ms, reject);
  },
);

Then(
  'within {int} ms the stream runs on at one of its {int} plain servers',
  async function check(this: ResendWorld, ms: number, maxServers: number) {
    await answerFor(this, ms, ({ listener }) => {
      listener.onHead(answerHead());
      listener.onData(Buffer.from('id: 3\ndata: x\n\n'));
      listener.onEnd();
    });
    const [caller] = this.callers;
    assert.equal(caller.outcome, '200');
    assert.equal(caller.text, `${EVENTS_BEFORE_LOSS}id: 3\ndata: x\n\n`);
    const used = new Set(this.resent.servers.calls.map(({ call }) => call.server.id));
    assert.ok(used.size <= maxServers, [...used].join(','));
  },
);

Given(
  '{int} begun streams over two servers that hold the whole model',
  function set(this: ResendWorld, count: number) {
    this.resent = new RelayFixture(1000);
    const { deployments, directory } = this.resent;
    deployments.applyIfNewer(deployment([route({ timeoutMs: 30_000 })]));
    const values = { accelerator: 'whole', span: { from: 0, to: 80 } };
    for (const id of ['w0', 'w1']) directory.put(backendServer(id, values));
    startStreams(this, count);
  },
);

When(
  'all of them are lost, and both servers reject what they are sent for {int} ms',
  async function run(this: ResendWorld, ms: number) {
    // Both servers show signs of life, so that only their rejections keep streams from them.
    lose(this);
    const { directory, clock } = this.resent;
    for (let at = 0; at < ms; at += 100)
      clock.schedule(at, () => {
        for (const id of ['w0', 'w1']) directory.noteAlive(id);
      });
    await answerFor(this, ms, reject);
  },
);

Then(
  'no server of the two got more than {int} sends in any second',
  function check(this: ResendWorld, most: number) {
    const counts = new Map<string, number>();
    for (const { at, server } of this.sends) {
      const key = `${server} in second ${Math.floor(at / 1000)}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    for (const [key, count] of counts) assert.ok(count <= most, `${key}: ${count} sends`);
  },
);

Then(
  'all streams are complete within {int} ms after that',
  async function check(this: ResendWorld, ms: number) {
    await answerFor(this, ms, ({ listener }) => {
      listener.onHead(answerHead());
      listener.onData(Buffer.from('id: 3\ndata: x\n\n'));
      listener.onEnd();
    });
    const outcomes = new Map<string, number>();
    for (const { outcome } of this.callers) outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    assert.deepEqual([...outcomes], [['200', this.callers.length]]);
  },
);
