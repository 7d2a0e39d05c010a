import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Failure, FailureKind } from '../../../src/core/Failure.js';
import { ServerLimits } from '../../../src/core/limits/ServerLimits.js';
import { PartQuarantine } from '../../../src/core/quarantine/PartQuarantine.js';
import {
  decodeKnowledgeRow,
  KNOWLEDGE_TABLE,
  KnowledgeArchive,
} from '../../../src/core/store/KnowledgeArchive.js';
import { MemoryPlatform } from '../../../src/fakes/MemoryPlatform.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import type { TableService } from '../../../src/ports/Types.js';

interface Instance {
  readonly quarantine: PartQuarantine;
  readonly serverLimits: ServerLimits;
  readonly archive: KnowledgeArchive;
}

interface ArchiveWorld {
  clock: VirtualClock;
  platform: MemoryPlatform;
  instances: Instance[];
  awayUntil: number;
  /** Calls that read the rows so far. */
  reads: number;
  /** Index of the instance of each write. */
  writers: number[];
  /** Runs once between the next read and the write that follows it. */
  beforeWrite: (() => void) | undefined;
}

/** Time that the store takes to answer, in milliseconds. */
const ANSWER_MS = 4;

const ROW_KEY = `${KNOWLEDGE_TABLE}/a`;

function rowOf(world: ArchiveWorld) {
  return world.platform.readSync([ROW_KEY])[0];
}

function throwIfAway(world: ArchiveWorld): void {
  if (world.clock.now() < world.awayUntil)
    throw new Failure(FailureKind.PlatformUnavailable, 'The store is away. The call is repeated.');
}

function addInstance(world: ArchiveWorld): void {
  const index = world.instances.length;
  const { clock, platform } = world;
  const quarantine = new PartQuarantine(clock, () => ({ rank: index, instances: 3 }));
  const serverLimits = new ServerLimits(clock, new SeededRandom(index), () => 3);
  const table: TableService = {
    read: (keys) => platform.read(keys),
    transact: async (transaction) => {
      throwIfAway(world);
      world.beforeWrite?.();
      world.beforeWrite = undefined;
      world.writers.push(index);
      return platform.transact(transaction);
    },
  };
  const archive = new KnowledgeArchive({
    clock,
    table,
    rows: {
      readAll: async () => {
        world.reads += 1;
        await clock.sleep(ANSWER_MS);
        throwIfAway(world);
        const row = rowOf(world);
        const entries =
          row === undefined
            ? []
            : [{ key: 'a', revision: row.version, value: decodeKnowledgeRow(row.value) }];
        return { entries, revision: row?.version ?? 0, storeTimeMs: clock.now() };
      },
      changesSince: () => Promise.resolve(undefined),
    },
    failureDomain: 'a',
    quarantine,
    serverLimits,
    decisions: { record: () => {} },
    isHub: () => index % 3 === 0,
    isPreparedByPeer: () => false,
  });
  world.instances.push({ quarantine, serverLimits, archive });
  archive.start();
}

async function pass(world: ArchiveWorld, ms: number): Promise<void> {
  await world.clock.runUntil(world.clock.now() + ms);
}

/** Crashes of different moments; digests carry them to every instance at once. */
async function crashServers(world: ArchiveWorld, servers: number, part: string): Promise<void> {
  for (let server = 0; server < servers; server += 1) {
    await pass(world, 400);
    for (const { quarantine } of world.instances)
      quarantine.recordCrash(`s${server}`, 1, ['shared', part]);
  }
}

Given(
  '3 instances, the first of which is the hub, with a store',
  async function set(this: ArchiveWorld) {
    Object.assign(this, {
      clock: new VirtualClock(),
      platform: new MemoryPlatform(),
      instances: [],
      awayUntil: 0,
      reads: 0,
      writers: [],
      beforeWrite: undefined,
    });
    for (let index = 0; index < 3; index += 1) addInstance(this);
    await pass(this, 10);
  },
);

When(
  '{int} servers crash under part {string} and a server names a limit of {int} requests a second, and {int} ms pass',
  async function run(this: ArchiveWorld, servers: number, part: string, limit: number, ms: number) {
    for (const { serverLimits, quarantine } of this.instances) {
      serverLimits.recordAnswer({ id: 'limited', incarnation: 1 }, limit);
      quarantine.recordAnswer(['shared']);
    }
    await crashServers(this, servers, part);
    await pass(this, ms);
  },
);

When(
  '{int} servers crash under part {string} and a server names a limit of {int} requests a second, and all instances end {int} ms later',
  async function run(this: ArchiveWorld, servers: number, part: string, limit: number, ms: number) {
    for (const { serverLimits, quarantine } of this.instances) {
      serverLimits.recordAnswer({ id: 'limited', incarnation: 1 }, limit);
      quarantine.recordAnswer(['shared']);
    }
    await crashServers(this, servers, part);
    await pass(this, ms);
    for (const { archive } of this.instances) archive.dispose();
    this.instances = [];
  },
);

When(
  /^new instances start (\d+) ms later, while the store (.+)$/,
  async function run(this: ArchiveWorld, ms: string, store: string) {
    await pass(this, Number(ms));
    const [awayMs = '0'] = /\d+/.exec(store) ?? [];
    this.awayUntil = this.clock.now() + Number(awayMs);
    if (store === 'holds an invalid row')
      await this.platform.transact({
        conditions: [],
        writes: [{ key: ROW_KEY, value: { savedAtMs: 'never' } }],
      });
    for (let index = 0; index < 3; index += 1) addInstance(this);
  },
);

const OUTCOMES: Readonly<Record<string, (instance: Instance) => void>> = {
  'refuse part "bad" and know the limit of 40': ({ quarantine, serverLimits }) => {
    assert.equal(quarantine.refuse(['shared', 'bad'])?.part, 'bad');
    assert.equal(quarantine.refuse(['shared']), undefined);
    assert.equal(serverLimits.list()[0]?.perSecond, 40);
  },
  'know nothing': ({ quarantine, serverLimits }) => {
    assert.equal(quarantine.refuse(['shared', 'bad']), undefined);
    assert.ok(!serverLimits.isLimited({ id: 'limited', incarnation: 1 }));
  },
};

Then(
  /^within (\d+) ms, and not before, they accept requests, and (.+)$/,
  async function check(this: ArchiveWorld, ms: string, outcome: string) {
    for (const { archive } of this.instances)
      assert.equal(archive.isPrepared, false, 'prepared before anything was read');
    await pass(this, Number(ms) - 300);
    if (Number(ms) > 300)
      for (const { archive } of this.instances) assert.equal(archive.isPrepared, false);
    // After failures for 1 s, a read is repeated within 800 ms.
    await pass(this, 300 + 800);
    for (const instance of this.instances) {
      assert.ok(instance.archive.isPrepared);
      OUTCOMES[outcome](instance);
    }
  },
);

When(
  'the store is away for {int} ms while all instances start again',
  async function run(this: ArchiveWorld, ms: number) {
    for (const { archive } of this.instances) archive.dispose();
    this.instances = [];
    this.reads = 0;
    this.awayUntil = this.clock.now() + ms;
    for (let index = 0; index < 3; index += 1) addInstance(this);
    await pass(this, ms);
  },
);

Then(
  'each has tried to read at most {int} times',
  function check(this: ArchiveWorld, most: number) {
    assert.ok(this.reads <= most * this.instances.length, `${this.reads} reads`);
  },
);

Then(
  'at most {int} writes were made, all by the hub',
  function check(this: ArchiveWorld, most: number) {
    assert.ok(this.writers.length > 0 && this.writers.length <= most, `${this.writers.length}`);
    assert.deepEqual([...new Set(this.writers)], [0]);
  },
);

Then('within {int} ms the row is gone', async function check(this: ArchiveWorld, ms: number) {
  assert.ok(rowOf(this) !== undefined);
  await pass(this, ms);
  assert.equal(rowOf(this), undefined);
});

When(
  'another instance changes the row while the hub writes what it knows of {int} crashes under part {string}',
  async function run(this: ArchiveWorld, crashes: number, part: string) {
    this.beforeWrite = () => {
      this.platform.transactSync({
        conditions: [],
        writes: [{ key: ROW_KEY, value: { savedAtMs: 0 } }],
      });
    };
    await crashServers(this, crashes, part);
  },
);

Then(
  'within {int} ms the row holds {int} crashes',
  async function check(this: ArchiveWorld, ms: number, crashes: number) {
    await pass(this, ms);
    assert.equal(decodeKnowledgeRow(rowOf(this)?.value)?.evidence?.crashes.length, crashes);
  },
);
