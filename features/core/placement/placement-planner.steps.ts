import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  planPlacement,
  type Assignment,
  type PlacementServer,
} from '../../../src/core/placement/PlacementPlanner.js';
import { ENGINE, REFERENCE_FLEET } from '../FleetFixture.js';

interface PlacementWorld {
  servers: PlacementServer[];
  ordered: Map<string, Assignment>;
}

function planAll(world: PlacementWorld): void {
  // One round closes only a few gaps of a domain. While orders are open, PlacementDriver runs a round every
  // 300 ms.
  for (let round = 0; round < 4; round += 1) {
    for (const domain of Object.keys(REFERENCE_FLEET)) {
      for (const assignment of planPlacement(ENGINE, world.servers, domain)) {
        world.ordered.set(assignment.id, assignment);
        world.servers = world.servers.map((server) =>
          server.id === assignment.id ? { ...server, span: assignment.span } : server,
        );
      }
    }
  }
}

function copies(world: PlacementWorld, domain?: string): number[] {
  const found = Array<number>(ENGINE.layers).fill(0);
  for (const { failureDomain, span } of world.servers) {
    if (span === undefined || (domain !== undefined && domain !== failureDomain)) continue;
    for (let layer = span.from; layer < span.to; layer += 1) found[layer] += 1;
  }
  return found;
}

Given('the reference fleet with {string} lost', function set(this: PlacementWorld, lost: string) {
  this.servers = [];
  this.ordered = new Map();
  for (const [failureDomain, kinds] of Object.entries(REFERENCE_FLEET)) {
    for (const [index, accelerator] of kinds.entries()) {
      const id = `${failureDomain}-${index}`;
      if (lost.split(' ').includes(id) || lost === `domain ${failureDomain}`) continue;
      this.servers.push({ id, failureDomain, accelerator, span: undefined, hasRecentOrder: false });
    }
  }
});

Given('servers {string}', function set(this: PlacementWorld, list: string) {
  this.ordered = new Map();
  this.servers = list.split(' ').map((word, index) => {
    const [failureDomain, accelerator, layers] = word.split(':');
    const [from, to] = layers.split('-').map(Number);
    const span = layers === 'none' ? undefined : { from, to };
    return { id: String(index), failureDomain, accelerator, span, hasRecentOrder: false };
  });
});

When('the layers of every failure domain are planned', function run(this: PlacementWorld) {
  planAll(this);
});

When(
  'the layers of every failure domain are planned again with {string} lost',
  function run(this: PlacementWorld, lost: string) {
    this.ordered = new Map();
    for (const id of lost.split(' ').filter((word) => word !== 'none')) {
      this.servers = this.servers.filter((server) => server.id !== id);
      planAll(this);
    }
    planAll(this);
  },
);

When(
  'the layers of failure domain {string} are planned',
  function run(this: PlacementWorld, domain: string) {
    for (const assignment of planPlacement(ENGINE, this.servers, domain))
      this.ordered.set(assignment.id, assignment);
  },
);

Then(
  'each failure domain holds every layer: {string}',
  function check(this: PlacementWorld, each: string) {
    const domains = Object.keys(REFERENCE_FLEET);
    const whole = domains.every((domain) => Math.min(...copies(this, domain)) > 0);
    assert.equal(whole, each === 'yes');
  },
);

Then('the fleet holds every layer', function check(this: PlacementWorld) {
  assert.ok(Math.min(...copies(this)) > 0);
});

Then('at most {int} servers got an order', function check(this: PlacementWorld, most: number) {
  assert.ok(this.ordered.size <= most, `${this.ordered.size} servers got an order`);
});

Then(
  "every server's layers fit its memory and leave room for {int} requests of mean length",
  function check(this: PlacementWorld, requests: number) {
    const tokens = ENGINE.usualPromptTokens + ENGINE.usualAnswerTokens;
    for (const { id, accelerator, span } of this.servers) {
      assert.ok(span, `${id} holds no layers`);
      const layers = span.to - span.from;
      const freeMb =
        (ENGINE.accelerators.get(accelerator)?.memoryMb ?? 0) - layers * ENGINE.layerMb;
      const requestMb = (tokens * layers * ENGINE.tokenMb) / ENGINE.layers;
      assert.ok(
        freeMb >= requests * requestMb,
        `${id} has room for ${freeMb / requestMb} requests`,
      );
    }
  },
);

Then(
  'server {int} is ordered to hold layers that include {int}-{int}',
  function check(this: PlacementWorld, index: number, from: number, to: number) {
    const span = this.ordered.get(String(index))?.span;
    assert.ok(span !== undefined && span.from <= from && span.to >= to);
  },
);
