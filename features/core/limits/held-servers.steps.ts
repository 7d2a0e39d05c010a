import assert from 'node:assert/strict';
import { Before, Then, When } from '@cucumber/cucumber';
import { AnsweredCall, ServerNotices } from '../../../src/core/deployment/ServerNotices.js';
import { ServerRole } from '../../../src/core/routing/Types.js';
import { backendServer, RelayFixture } from '../FleetFixture.js';

interface HeldWorld {
  heldFixture: RelayFixture;
  heldNotices: ServerNotices;
}

const IDS = ['a', 'b', 'c'];

/** Servers that can be the first of a route. */
const FIRST_IDS = ['a', 'b'];

Before(function set(this: HeldWorld) {
  this.heldFixture = new RelayFixture();
  const { directory, heldServers, dependencies } = this.heldFixture;
  const { decisions } = dependencies;
  this.heldNotices = new ServerNotices({ directory, heldServers, decisions });
  for (const id of IDS) directory.put(backendServer(id));
});

/** What happens to a server, by the second part of `a-restarts`. */
const EVENTS: Readonly<Record<string, (world: HeldWorld, id: string) => void>> = {
  restarts: ({ heldFixture: { directory } }, id) =>
    directory.put(backendServer(id, { incarnation: 2 })),
  leaves: ({ heldFixture: { directory } }, id) =>
    directory.put(backendServer(id, { leaving: true })),
  full: ({ heldFixture: { directory } }, id) => directory.noteRejection(id),
  fails: ({ heldFixture: { directory } }, id) => directory.suspect(id),
  limit: ({ heldFixture: { serverLimits } }, id) =>
    serverLimits.recordAnswer({ id, incarnation: 1 }, 1),
};

/** Applies an answer such as `c:2000/a`: a answered that c wants nothing for 2000 ms. */
function answer(world: HeldWorld, word: string): void {
  const [server, rest] = word.split(':');
  const [pause, answeredBy] = rest.split('/');
  const [id, age] = server.split('-');
  const process = world.heldNotices.processOf(answeredBy ?? id);
  assert.ok(process);
  world.heldNotices.handleNotice(age === 'old' ? { ...process, incarnation: 1 } : process, {
    call: AnsweredCall.Request,
    requestId: 'request',
    status: 503,
    isLeaving: false,
    pauseMs: Number(pause),
    ...(answeredBy !== undefined && { blamedServer: id }),
  });
}

When('servers answer {string}', async function run(this: HeldWorld, answers: string) {
  const { clock } = this.heldFixture;
  for (const word of answers.split(' ').filter((text) => text !== '')) {
    const [id, event] = word.split('-');
    if (word.includes(':')) answer(this, word);
    else if (event !== undefined) EVENTS[event](this, id);
    else await clock.runUntil(clock.now() + Number(word));
  }
});

function accepting(world: HeldWorld, ids: readonly string[], role: ServerRole): string {
  const { directory, serverAdmission } = world.heldFixture;
  return ids
    .filter((id) => {
      const server = directory.get(id);
      return server !== undefined && serverAdmission.accepts(server, role);
    })
    .join(' ');
}

Then(
  'after {int} ms requests can go to {string} and routes can pass through {string}',
  async function check(this: HeldWorld, ms: number, first: string, later: string) {
    const { clock } = this.heldFixture;
    await clock.runUntil(clock.now() + ms);
    assert.equal(accepting(this, FIRST_IDS, ServerRole.First), first);
    assert.equal(accepting(this, IDS, ServerRole.Later), later);
  },
);

Then('orders to hold layers can go to {string}', function check(this: HeldWorld, servers: string) {
  const { directory, serverAdmission } = this.heldFixture;
  const ids = [...directory.all()].filter((server) => serverAdmission.mayBeOrdered(server));
  assert.equal(ids.map(({ record }) => record.id).join(' '), servers);
});

Then(
  'after {int} ms a {word} service whose servers hold {string} is held for {string} ms',
  async function check(
    this: HeldWorld,
    ms: number,
    service: string,
    spans: string,
    expected: string,
  ) {
    const { clock, directory, serverAdmission } = this.heldFixture;
    await clock.runUntil(clock.now() + ms);
    for (const [index, text] of spans.split(' ').entries()) {
      const [from, to] = text.split('-').map(Number);
      if (service === 'engine') directory.applyReportedSpan(IDS[index], { from, to });
    }
    const layers = service === 'engine' ? 80 : 0;
    const until = serverAdmission.heldUntil(directory.all(), 'engine', layers);
    const held = until === undefined ? 'none' : String(until - clock.now());
    assert.equal(held, expected);
  },
);
