import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { MemoryBudget } from '../../../src/core/limits/MemoryBudget.js';
import type { MemoryShare } from '../../../src/core/limits/MemoryShare.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface BudgetWorld {
  clock: VirtualClock;
  budget: MemoryBudget;
  shares: Map<string, MemoryShare>;
  ended: string[];
}

const KB = 1000;

const WAIT_MS = 2000;

const STORE_ALLOWANCE_KB = 500;

const ACTIONS: Readonly<Record<string, (share: MemoryShare) => void>> = {
  settle: (share) => share.settle(),
  end: (share) => share.dispose(),
};

function shareOf(world: BudgetWorld, name: string): MemoryShare {
  let share = world.shares.get(name);
  if (share === undefined) {
    share = world.budget.open({
      allowanceBytes: name === 'store' ? STORE_ALLOWANCE_KB * KB : 0,
      onEvict: () => world.ended.push(name),
    });
    world.shares.set(name, share);
  }
  return share;
}

Given('a budget of {int} kB', function set(this: BudgetWorld, kb: number) {
  this.clock = new VirtualClock();
  this.budget = new MemoryBudget(this.clock, kb * KB);
  this.shares = new Map();
  this.ended = [];
});

When('messages keep {string}', async function run(this: BudgetWorld, text: string) {
  for (const step of text.split(' ')) {
    if (step === 'wait') {
      await this.clock.runUntil(this.clock.now() + WAIT_MS);
      continue;
    }
    const [name, amount] = step.split(':');
    const share = shareOf(this, name);
    if (amount in ACTIONS) ACTIONS[amount](share);
    else share.add(Number(amount) * KB);
  }
});

Then(
  '{string} end, and the others keep at most {int} kB',
  function check(this: BudgetWorld, ended: string, kb: number) {
    assert.equal(this.ended.join(' '), ended);
    assert.ok(this.budget.used <= kb * KB, `${this.budget.used}`);
    let kept = 0;
    for (const share of this.shares.values()) kept += share.bytes;
    assert.equal(kept, this.budget.used);
    assert.equal(this.budget.evictions, this.ended.length);
  },
);
