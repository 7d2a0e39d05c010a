import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  SharedRetryBudget,
  type PeerRetryUse,
  type RetryUse,
} from '../../../src/core/limits/SharedRetryBudget.js';

const WINDOW_MS = 10_000;

const STEP_MS = 20;

const RUN_MS = 30_000;

const SERVICE = 'engine';

const PER_REQUEST = 0.2;

interface Report {
  readonly sentAt: number;
  readonly uses: readonly (RetryUse | undefined)[];
}

interface BudgetWorld {
  instances: number;
  slack: number;
  requestsPerS: number;
  retriesAt: number[];
}

/** Whether one instance receives the reports of another, and after how many milliseconds. */
const REPORT_DELIVERY: Readonly<
  Record<
    string,
    { delayMs: number; receives: (one: number, other: number, count: number) => boolean }
  >
> = {
  'after 750 ms': { delayMs: 750, receives: () => true },
  'after 750 ms, but not across the cut': {
    delayMs: 750,
    receives: (one, other, count) => one < count / 3 === other < count / 3,
  },
  never: { delayMs: 0, receives: () => false },
};

Given(
  '{int} instances that together may send {int} retries per window plus one for every 5 requests, with {int} requests per second at each',
  function set(this: BudgetWorld, instances: number, slack: number, requestsPerS: number) {
    Object.assign(this, { instances, slack, requestsPerS, retriesAt: [] });
  },
);

When(
  /^(\d+) of them consume every available retry, and reports arrive (.+)$/,
  function run(this: BudgetWorld, affected: string, delivery: string) {
    const { delayMs, receives } = REPORT_DELIVERY[delivery];
    const { instances, slack } = this;
    const reports: Report[] = [];
    let now = 0;
    const peerUseOf = (one: number) => (): PeerRetryUse => {
      const last = reports.filter(({ sentAt }) => sentAt <= now - delayMs).at(-1);
      const sum = { instances: 0, requests: 0, retries: 0 };
      for (const [other, use] of (last?.uses ?? []).entries()) {
        if (other === one || use === undefined || !receives(one, other, instances)) continue;
        sum.instances += 1;
        sum.requests += use.requests;
        sum.retries += use.retries;
      }
      return sum;
    };
    const limits = { perRequest: PER_REQUEST, slack, windowMs: WINDOW_MS, instances };
    const budgets = Array.from(
      { length: instances },
      (_, index) => new SharedRetryBudget(() => limits, peerUseOf(index)),
    );
    const usesAt = (at: number) => (budget: SharedRetryBudget) => budget.currentUse(at)[0];
    for (; now < RUN_MS; now += STEP_MS) {
      if (now % 250 < STEP_MS) reports.push({ sentAt: now, uses: budgets.map(usesAt(now)) });
      for (const budget of budgets) {
        if (now % Math.floor(1000 / this.requestsPerS) < STEP_MS)
          budget.recordRequest(SERVICE, now);
      }
      for (const budget of budgets.slice(0, Number(affected))) {
        while (budget.consumeRetry(SERVICE, now)) this.retriesAt.push(now);
      }
    }
  },
);

Then(
  'no window of 10 seconds contains more retries than allowed',
  function check(this: BudgetWorld) {
    const { retriesAt, slack, instances, requestsPerS } = this;
    let first = 0;
    for (const [last, at] of retriesAt.entries()) {
      while (retriesAt[first] <= at - WINDOW_MS) first += 1;
      const seconds = Math.min(at, WINDOW_MS) / 1000;
      const allowed = slack + PER_REQUEST * requestsPerS * instances * seconds;
      assert.ok(
        last - first + 1 <= allowed,
        `${last - first + 1} retries, of ${allowed} allowed, in the 10 s before ${at} ms`,
      );
    }
  },
);

Then(
  'in the first 10 seconds at least {int} retries were used',
  function check(this: BudgetWorld, least: number) {
    const used = this.retriesAt.filter((at) => at < WINDOW_MS).length;
    assert.ok(used >= least, `${used} retries`);
  },
);
