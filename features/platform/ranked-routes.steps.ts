import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { RouterInstance } from '../../src/router/RouterInstance.js';
import type { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { configuration } from './SampleConfiguration.js';

interface RankedWorld {
  store: FakeStore;
  routers: RouterInstance[];
}

/** Version of the configuration, above that of the configuration in force. */
const VERSION = 9;

/** Time within which an instance applies a configuration of the fake store, in milliseconds. */
const APPLY_LIMIT_MS = 5000;

const PRIORITIES: Readonly<Record<string, number>> = { stream: 0, 'stream-once': 2 };

When(
  'the streams of the engine get ranks 0 and 2, and accounts none',
  { timeout: 2 * APPLY_LIMIT_MS },
  async function run(this: RankedWorld) {
    const { routes, tenants, ...rest } = configuration(VERSION);
    this.store.put('op', 'config', {
      ...rest,
      routes: routes.map((entry) => ({ ...entry, priority: PRIORITIES[entry.name] ?? 1 })),
      tenants: tenants.map(({ name, api_keys: keys }) => ({ name, api_keys: keys })),
    });
    const isApplied = () => this.routers[0].metrics.text().includes(`acaciadrum_ticket ${VERSION}`);
    const endsAt = performance.now() + APPLY_LIMIT_MS;
    while (!isApplied() && performance.now() < endsAt) await pause(20);
    assert.ok(isApplied(), 'the configuration is not in force');
  },
);

Then(/^the metrics of the instance show "(.*)"$/, function check(this: RankedWorld, line: string) {
  const text = this.routers[0].metrics.text();
  assert.ok(text.split('\n').includes(line), text);
});
