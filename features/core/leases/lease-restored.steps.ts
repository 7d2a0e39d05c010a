import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { LeaseKeeper } from '../../../src/core/leases/LeaseKeeper.js';
import { Failure, FailureKind } from '../../../src/core/Failure.js';
import { MemoryPlatform } from '../../../src/fakes/MemoryPlatform.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import {
  CommitStatus,
  type Row,
  type TableService,
  type Transaction,
  type TransactionResult,
} from '../../../src/ports/Types.js';

/** A table that can come back from an empty or earlier state, after which versions are given out again. */
class RestorableTable implements TableService {
  public era = 1;

  public isAway = false;

  /** Whether the next write is carried out only once the table has come back. */
  public delaysNextWrite = false;

  private platform = new MemoryPlatform();

  private copy: Row[] = [];

  private versions = 0;

  public constructor(private readonly clock: VirtualClock) {}

  public async read(keys: readonly string[]): Promise<(Row | undefined)[]> {
    this.throwIfAway();
    return this.platform.read(keys);
  }

  public async transact(transaction: Transaction): Promise<TransactionResult> {
    this.throwIfAway();
    if (this.delaysNextWrite) {
      this.delaysNextWrite = false;
      const { era } = this;
      while (this.era === era || this.isAway) await this.clock.sleep(50);
    }
    const result = this.platform.transactSync(transaction);
    const isOfEra = transaction.era === undefined || transaction.era === this.era;
    return isOfEra ? result : { ...result, status: CommitStatus.Conflict };
  }

  public takeCopy(key: string): void {
    this.copy = this.platform.readSync([key]).filter((row) => row !== undefined);
    this.versions = this.copy[0]?.version ?? 0;
  }

  public restore(): void {
    this.era += 1;
    this.platform = new MemoryPlatform();
    // Writing the row as often as before the copy gives it the version that it had.
    for (const { key, value } of this.copy) {
      for (let version = 1; version <= this.versions; version += 1)
        this.platform.transactSync({ conditions: [], writes: [{ key, value }] });
    }
  }

  private throwIfAway(): void {
    if (!this.isAway) return;
    throw new Failure(FailureKind.PlatformUnavailable, 'The table is away. The call is repeated.');
  }
}

interface Candidate {
  readonly keeper: LeaseKeeper;
  mayHold: boolean;
  highestFence: number;
}

interface LeaseWorld {
  clock: VirtualClock;
  table: RestorableTable;
  a: Candidate;
  b: Candidate;
}

const KEY = 'lease/placement';

function addCandidate(world: LeaseWorld, name: string): Candidate {
  const candidate: Candidate = {
    mayHold: true,
    highestFence: 0,
    keeper: new LeaseKeeper({
      clock: world.clock,
      table: world.table,
      name: 'placement',
      holder: `${name}/1`,
      predecessorPrefix: `${name}/`,
      isCandidate: () => candidate.mayHold,
      isFirstStart: true,
      log: () => {},
    }),
  };
  return candidate;
}

async function run(world: LeaseWorld, ms: number): Promise<void> {
  const endsAt = world.clock.now() + ms;
  while (world.clock.now() < endsAt) {
    await world.clock.runUntil(world.clock.now() + 50);
    for (const candidate of [world.a, world.b])
      candidate.highestFence = Math.max(candidate.highestFence, candidate.keeper.heldFence);
    const held = [world.a, world.b].filter(({ keeper }) => keeper.heldFence > 0);
    assert.ok(held.length <= 1, `two holders at ${world.clock.now()} ms`);
  }
}

const HISTORIES: Readonly<Record<string, (world: LeaseWorld) => Promise<void>>> = {
  'A acquires it after the copy': async (world) => {
    world.table.takeCopy(KEY);
    world.a.keeper.start();
    await run(world, 1000);
    world.b.keeper.start();
    await run(world, 2500);
  },
  'B releases it before the copy and A acquires it after': async (world) => {
    world.b.keeper.start();
    await run(world, 500);
    await world.b.keeper.release();
    world.table.takeCopy(KEY);
    world.b = addCandidate(world, 'b');
    world.a.keeper.start();
    await run(world, 1000);
    world.b.keeper.start();
    await run(world, 2500);
  },
  'B holds it at the copy and A acquires it after B no longer may': async (world) => {
    world.b.keeper.start();
    await run(world, 100);
    world.table.takeCopy(KEY);
    world.b.mayHold = false;
    world.a.keeper.start();
    await run(world, 12_000);
    assert.ok(world.a.keeper.heldFence > 0);
    world.b.mayHold = true;
  },
  "B's acquisition is under way while A's takes place, after the copy": async (world) => {
    world.table.takeCopy(KEY);
    world.table.delaysNextWrite = true;
    world.b.keeper.start();
    await run(world, 100);
    world.a.keeper.start();
    await run(world, 500);
    assert.ok(world.a.keeper.heldFence > 0);
  },
  'A acquires it before the copy': async (world) => {
    world.a.keeper.start();
    await run(world, 1000);
    world.table.takeCopy(KEY);
    world.b.keeper.start();
    await run(world, 2500);
  },
  'A acquires it after the copy and then ends': async (world) => {
    world.table.takeCopy(KEY);
    world.a.keeper.start();
    await run(world, 1000);
    world.b.keeper.start();
    await run(world, 2500);
    world.a.keeper.dispose();
  },
};

Given(
  'candidates A and B of a lease, and {}',
  async function set(this: LeaseWorld, history: string) {
    this.clock = new VirtualClock();
    this.table = new RestorableTable(this.clock);
    this.a = addCandidate(this, 'a');
    this.b = addCandidate(this, 'b');
    await HISTORIES[history.trim()](this);
  },
);

When(
  'the table is away for {int} ms and comes back from the copy',
  async function comeBack(this: LeaseWorld, ms: number) {
    this.table.isAway = true;
    await run(this, ms);
    this.table.restore();
    this.table.isAway = false;
  },
);

Then(
  'for {int} ms at most one of them holds the lease',
  async function check(this: LeaseWorld, ms: number) {
    await run(this, ms);
  },
);

Then(
  'one of them holds it in the end, with a higher fencing number than any before',
  function check(this: LeaseWorld) {
    const holder = [this.a, this.b].find(({ keeper }) => keeper.heldFence > 0);
    assert.ok(holder);
    const other = holder === this.a ? this.b : this.a;
    assert.ok(holder.keeper.heldFence > other.highestFence, 'an earlier fencing number');
  },
);
