import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { RetryBudget } from '../../../src/core/limits/RetryBudget.js';

interface BudgetWorld {
  retries: number;
}

When(
  '{int} instances that allow {float} retries per request and save {int} retries in total receive {int} requests that all need a retry',
  function run(
    this: BudgetWorld,
    instances: number,
    perRequest: number,
    totalSaved: number,
    requests: number,
  ) {
    this.retries = 0;
    const saved = totalSaved / instances;
    const budgets = Array.from(
      { length: instances },
      () => new RetryBudget(() => ({ perRequest, maxSaved: saved, initial: saved, refillPerS: 0 })),
    );
    for (let request = 0; request < requests; request += 1) {
      const budget = budgets[request % instances];
      budget.recordRequest('service', 0);
      if (budget.consumeRetry('service', 0)) this.retries += 1;
    }
  },
);

Then('at most {int} retries are sent', function check(this: BudgetWorld, most: number) {
  assert.ok(this.retries <= most, `${this.retries} were sent`);
});
