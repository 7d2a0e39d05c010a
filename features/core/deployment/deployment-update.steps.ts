import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { decodeUpdate, encodeUpdate } from '../../../src/adapters/grpc/UpdateEncoding.js';
import { Deployments } from '../../../src/core/deployment/Deployments.js';
import {
  applyUpdate,
  type DeploymentUpdate,
} from '../../../src/core/deployment/DeploymentUpdate.js';
import type { Deployment, RequestRoute } from '../../../src/core/deployment/Types.js';
import { deployment, route } from '../FleetFixture.js';

interface UpdateWorld {
  versions: Deployment[];
  deployments: Deployments;
  update: DeploymentUpdate;
  result: Deployment | undefined;
}

/** Further versions, so that the first ones are no longer kept. */
const MORE_VERSIONS = 20;

function routesOf(list: string): RequestRoute[] {
  const words = list.trim().split(' ').filter(Boolean);
  return words.map((word) => {
    const [name, seconds] = word.split(':');
    return route({ name, prefix: `/${name}/`, timeoutMs: Number(seconds) * 1000 });
  });
}

Given(
  'versions of a configuration with routes {string}',
  function set(this: UpdateWorld, text: string) {
    const hasMore = text.endsWith(' and 20 more');
    const lists = text.replace(' and 20 more', '').split(',');
    if (hasMore) for (let more = 0; more < MORE_VERSIONS; more += 1) lists.push(`a:${10 + more}`);
    this.versions = lists.map((list, index) => deployment(routesOf(list), { ticket: index + 1 }));
    this.deployments = new Deployments();
    for (const version of this.versions) this.deployments.applyIfNewer(version);
  },
);

function fetchUpdate(world: UpdateWorld, known: number): DeploymentUpdate {
  const update = decodeUpdate(encodeUpdate(world.deployments.updateSince(known)));
  assert.ok(update);
  return update;
}

When(
  'an instance at version {int} fetches the update and applies it',
  function run(this: UpdateWorld, known: number) {
    this.update = fetchUpdate(this, known);
    this.result = applyUpdate(this.versions[known - 1], this.update);
  },
);

When(
  'an instance at version {int} fetches the update, and has version {int} of elsewhere when it arrives',
  function run(this: UpdateWorld, known: number, now: number) {
    this.update = fetchUpdate(this, known);
    this.result = applyUpdate(this.versions[now - 1], this.update);
  },
);

Then('it has the routes of the last version', function check(this: UpdateWorld) {
  const last = this.versions.at(-1) as Deployment;
  assert.equal(this.result?.ticket, last.ticket);
  const sorted = (routes: readonly RequestRoute[]) =>
    routes.map((item) => JSON.stringify(item)).sort();
  assert.deepEqual(sorted(this.result.routes), sorted(last.routes));
  assert.deepEqual(this.result.services.get('engine'), last.services.get('engine'));
});

Then(
  'the update holds {int} changed and {int} removed routes',
  function check(this: UpdateWorld, changed: number, removed: number) {
    const { routes } = this.update;
    assert.deepEqual([routes.changed.length, routes.removed.length], [changed, removed]);
  },
);

Then('the update is not applied', function check(this: UpdateWorld) {
  assert.equal(this.result, undefined);
});
