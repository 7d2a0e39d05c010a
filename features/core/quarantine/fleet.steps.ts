import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Deployments } from '../../../src/core/deployment/Deployments.js';
import { ServerDirectory } from '../../../src/core/deployment/ServerDirectory.js';
import { Failure, FailureKind } from '../../../src/core/Failure.js';
import { PeerSharing } from '../../../src/core/peers/PeerSharing.js';
import type { PeerDigest } from '../../../src/core/peers/Types.js';
import { PartQuarantine } from '../../../src/core/quarantine/PartQuarantine.js';
import type { ProbationTurn } from '../../../src/core/quarantine/Types.js';
import { ServerLoad } from '../../../src/core/routing/ServerLoad.js';
import { ServerSlowness } from '../../../src/core/routing/ServerSlowness.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { ownPace, unlimitedServers, UNTIMED } from '../FleetFixture.js';

interface Member {
  readonly domain: number;
  readonly sharing: PeerSharing;
  readonly quarantine: PartQuarantine;
}

interface Server {
  readonly id: string;
  incarnation: number;
  isUp: boolean;
  /** Requests that the server has not begun to answer. */
  readonly waiting: Set<SimulatedRequest>;
}

interface SimulatedRequest {
  readonly member: Member;
  readonly parts: readonly string[];
  readonly sentAt: number;
  sends: number;
  isAnsweredAtOnce: boolean;
}

interface FleetWorld {
  clock: VirtualClock;
  random: SeededRandom;
  members: Member[];
  servers: Server[];
  isCut: boolean;
  requests: SimulatedRequest[];
  /** Sends and crashes of requests with the harmful part, by group of instances that reach each other. */
  sends: { at: number; group: number }[];
  crashes: { at: number; group: number }[];
}

const BAD = 'bad';
const TRANSIT_MS = 5;
const ANSWER_MS = 150;
const CRASH_MS = 60;
const RESTART_MS = 3000;
const MAX_SENDS = 2;
const SHARED_PARTS = 60;

const groupOf = (world: FleetWorld, member: Member): number => (world.isCut ? member.domain : 0);

function addMember(world: FleetWorld, index: number, domain: number): void {
  const { clock } = world;
  const quarantine: PartQuarantine = new PartQuarantine(
    clock,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    (): ProbationTurn => sharing.probationTurn,
  );
  const exchange = async (address: string, digest: PeerDigest): Promise<PeerDigest> => {
    const peer = world.members[Number(address)];
    await clock.sleep(TRANSIT_MS);
    if (world.isCut && peer.domain !== domain)
      throw new Failure(FailureKind.PeerUnavailable, 'The link is cut. A later digest follows.');
    return JSON.parse(JSON.stringify(peer.sharing.receiveDigest(digest))) as PeerDigest;
  };
  const state = {
    deployments: new Deployments(),
    directory: new ServerDirectory(clock),
    load: new ServerLoad(),
  };
  const sharing: PeerSharing = new PeerSharing({
    clock,
    quarantine,
    serverLimits: unlimitedServers(clock),
    ...state,
    pace: ownPace({ clock, ...state }),
    slowness: new ServerSlowness(clock),
    seeds: [],
    port: {
      send: exchange,
      fetchUpdate: () => Promise.reject(new Error('No configuration is needed.')),
    },
    self: identityOf(index, domain),
    decisions: { record: () => {} },
    activityTimer: UNTIMED,
    isLeaving: () => false,
    isPrepared: () => true,
    storeAgeMs: () => 0,
    retryUse: () => [],
  });
  world.members.push({ domain, sharing, quarantine });
}

function identityOf(index: number, domain: number) {
  return {
    instance: `i${index}`,
    address: String(index),
    failureDomain: `d${domain}`,
    incarnation: 1,
    capacity: 0,
  };
}

Given(
  '{int} failure domains of {int} instances that send requests to {int} servers',
  async function set(this: FleetWorld, domains: number, instances: number, servers: number) {
    this.clock = new VirtualClock();
    this.random = new SeededRandom(20);
    Object.assign(this, { members: [], servers: [], requests: [], sends: [], crashes: [] });
    for (let index = 0; index < domains * instances; index += 1)
      addMember(this, index, index % domains);
    for (const { sharing } of this.members) {
      for (const [index, { domain }] of this.members.entries())
        sharing.addPeer(identityOf(index, domain));
      sharing.start();
    }
    for (let index = 0; index < servers; index += 1)
      this.servers.push({ id: `s${index}`, incarnation: 1, isUp: true, waiting: new Set() });
    await this.clock.runUntil(1000);
  },
);

function crash(world: FleetWorld, server: Server, request: SimulatedRequest): void {
  const { clock } = world;
  server.isUp = false;
  world.crashes.push({ at: clock.now(), group: groupOf(world, request.member) });
  const waiting = [...server.waiting];
  server.waiting.clear();
  for (const { member, parts } of waiting)
    member.quarantine.recordCrash(server.id, server.incarnation, parts);
  clock.schedule(RESTART_MS, () => {
    server.incarnation += 1;
    server.isUp = true;
  });
  for (const lost of waiting) send(world, lost);
}

function send(world: FleetWorld, request: SimulatedRequest): void {
  const { clock, random } = world;
  const { member, parts } = request;
  const up = world.servers.filter(({ isUp }) => isUp);
  if (up.length === 0 || request.sends >= MAX_SENDS) return;
  if (member.quarantine.refuse(parts) !== undefined) return;
  request.sends += 1;
  const server = random.pick(up);
  const { incarnation } = server;
  const isBad = parts.includes(BAD);
  if (isBad) world.sends.push({ at: clock.now(), group: groupOf(world, member) });
  server.waiting.add(request);
  clock.schedule(isBad ? CRASH_MS : ANSWER_MS, () => {
    if (!server.waiting.has(request) || server.incarnation !== incarnation) return;
    if (isBad) {
      crash(world, server, request);
      return;
    }
    server.waiting.delete(request);
    member.quarantine.recordAnswer(parts);
    request.isAnsweredAtOnce = request.sends === 1;
  });
}

When(
  'for {int} seconds {int} requests a second arrive, and failure domains are cut off from each other: {string}',
  { timeout: 120_000 },
  async function run(this: FleetWorld, seconds: number, rate: number, isCut: string) {
    const { clock, random } = this;
    this.isCut = isCut === 'yes';
    const endsAt = clock.now() + seconds * 1000;
    for (let count = 0; clock.now() < endsAt; count += 1) {
      const shared = `shared-${Math.floor(random.next() * SHARED_PARTS)}`;
      const request = {
        member: random.pick(this.members),
        // The harmful part appears after some seconds in which all is well.
        parts: count % 5 === 0 && clock.now() > 5000 ? [shared, BAD] : [shared],
        sentAt: clock.now(),
        sends: 0,
        isAnsweredAtOnce: false,
      };
      this.requests.push(request);
      send(this, request);
      await clock.runUntil(clock.now() + 1000 / rate);
    }
    await clock.runUntil(endsAt + 1000);
  },
);

/** Time of the fifth crash in a group; Infinity if there were fewer. */
function fifthCrashAt({ crashes }: FleetWorld, group: number): number {
  return crashes.filter((crashed) => crashed.group === group)[4]?.at ?? Infinity;
}

Then(
  'in each part of the fleet that can exchange digests, at most {int} requests with the part are sent later than {int} s after its fifth crash',
  function check(this: FleetWorld, most: number, seconds: number) {
    for (const group of new Set(this.sends.map((sent) => sent.group))) {
      const from = fifthCrashAt(this, group) + seconds * 1000;
      const late = this.sends.filter((sent) => sent.group === group && sent.at > from);
      assert.ok(late.length <= most, `${late.length} sends in group ${group}`);
    }
  },
);

Then(
  'at most {int} servers end later than {int} ms after the fifth crash of their part of the fleet',
  function check(this: FleetWorld, most: number, ms: number) {
    assert.ok(this.crashes.length >= 3, 'the part crashed hardly any server');
    for (const group of new Set(this.crashes.map((crashed) => crashed.group))) {
      const from = fifthCrashAt(this, group) + ms;
      const late = this.crashes.filter((crashed) => crashed.group === group && crashed.at > from);
      assert.ok(late.length <= most, `${late.length} crashes in group ${group}`);
    }
  },
);

Then(
  'at least half of the sound requests later than {int} s after the fifth crash are answered at the first attempt',
  function check(this: FleetWorld, seconds: number) {
    const last = this.crashes[Math.min(4, this.crashes.length - 1)].at;
    const late = this.requests.filter(
      ({ parts, sentAt }) => !parts.includes(BAD) && sentAt > last + seconds * 1000,
    );
    const answered = late.filter(({ isAnsweredAtOnce }) => isAnsweredAtOnce);
    assert.ok(late.length >= 20, `only ${late.length} sound requests`);
    assert.ok(answered.length * 2 >= late.length, `${answered.length} of ${late.length}`);
  },
);
