import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  SharedRetryBudget,
  type PeerRetryUse,
  type RetryUse,
} from '../../../src/core/limits/SharedRetryBudget.js';

const WINDOW_MS = 10_000;

const STEP_MS = 20;

const PLAY_MS = 30_000;

const SERVICE = 'engine';

const PER_REQUEST = 0.2;

interface Told {
  readonly at: number;
  readonly uses: readonly (RetryUse | undefined)[];
}

interface BudgetWorld {
  instances: number;
  slack: number;
  requestsPerS: number;
  retriesAt: number[];
}

/** Says whether one instance hears of another, and after how many milliseconds. */
const HEARING: Readonly<
  Record<string, { delayMs: number; hears: (one: number, other: number, count: number) => boolean }>
> = {
  'after 750 ms': { delayMs: 750, hears: () => true },
  'in two parts': {
    delayMs: 750,
    hears: (one, other, count) => one < count / 3 === other < count / 3,
  },
  never: { delayMs: 0, hears: () => false },
};

Given(
  '{int} instances with {int} retries a window and a fifth of their requests, {int} requests a second each',
  function set(this: BudgetWorld, instances: number, slack: number, requestsPerS: number) {
    Object.assign(this, { instances, slack, requestsPerS, retriesAt: [] });
  },
);

When(
  /^(\d+) of them want as many retries as they get, and hear of each other (.+)$/,
  function run(this: BudgetWorld, storming: string, hearing: string) {
    const { delayMs, hears } = HEARING[hearing];
    const { instances, slack } = this;
    const told: Told[] = [];
    let now = 0;
    const othersOf = (one: number) => (): PeerRetryUse => {
      const last = told.filter(({ at }) => at <= now - delayMs).at(-1);
      const sum = { instances: 0, requests: 0, retries: 0 };
      for (const [other, use] of (last?.uses ?? []).entries()) {
        if (other === one || use === undefined || !hears(one, other, instances)) continue;
        sum.instances += 1;
        sum.requests += use.requests;
        sum.retries += use.retries;
      }
      return sum;
    };
    const terms = { perRequest: PER_REQUEST, slack, windowMs: WINDOW_MS, instances };
    const budgets = Array.from(
      { length: instances },
      (_, index) => new SharedRetryBudget(() => terms, othersOf(index)),
    );
    const usesAt = (at: number) => (budget: SharedRetryBudget) => budget.use(at)[0];
    for (; now < PLAY_MS; now += STEP_MS) {
      if (now % 250 < STEP_MS) told.push({ at: now, uses: budgets.map(usesAt(now)) });
      for (const budget of budgets) {
        if (now % Math.floor(1000 / this.requestsPerS) < STEP_MS)
          budget.recordRequest(SERVICE, now);
      }
      for (const budget of budgets.slice(0, Number(storming))) {
        while (budget.consumeRetry(SERVICE, now)) this.retriesAt.push(now);
      }
    }
  },
);

Then('no window of 10 seconds has more retries than allowed', function check(this: BudgetWorld) {
  const { retriesAt, slack, instances, requestsPerS } = this;
  let first = 0;
  for (const [last, at] of retriesAt.entries()) {
    while (retriesAt[first] <= at - WINDOW_MS) first += 1;
    const seconds = Math.min(at, WINDOW_MS) / 1000;
    const allowed = slack + PER_REQUEST * requestsPerS * instances * seconds;
    assert.ok(last - first + 1 <= allowed, `${last - first + 1} of ${allowed} at ${at} ms`);
  }
});

Then(
  'in the first 10 seconds at least {int} retries were used',
  function check(this: BudgetWorld, least: number) {
    const used = this.retriesAt.filter((at) => at < WINDOW_MS).length;
    assert.ok(used >= least, `${used} retries`);
  },
);
