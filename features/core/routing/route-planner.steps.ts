import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { coversOnce, planRoute } from '../../../src/core/routing/RoutePlanner.js';
import type { Candidate, Route, Stage } from '../../../src/core/routing/Types.js';

interface PlannerWorld {
  layers: number;
  localDomain: string;
  candidates: Candidate[];
  busy: Map<string, number>;
  unusable: Set<string>;
  kept: Stage[];
  route: Route | undefined;
  layouts: { candidates: Candidate[]; route: Route | undefined }[];
}

const words = (text: string): string[] => text.split(' ').filter((word) => word !== '');

function parseStage(word: string): Stage {
  const [server = '', range = ''] = word.split(':');
  const [from = 0, to = 0] = range.split('-').map(Number);
  return { server, address: server, from, to };
}

function plan(world: PlannerWorld): Route | undefined {
  return planRoute({
    candidates: world.candidates,
    layers: world.layers,
    localDomain: world.localDomain,
    busyMs: (server) => world.busy.get(server) ?? 0,
    usable: (server) => !world.unusable.has(server),
    kept: world.kept,
    rebuildLayerMs: 1,
  });
}

Given(
  'the pipeline has {int} layers and local domain {string}',
  function set(this: PlannerWorld, layers: number, localDomain: string) {
    Object.assign(this, { layers, localDomain, busy: new Map(), unusable: new Set(), kept: [] });
  },
);

Given('the servers {string}', function set(this: PlannerWorld, text: string) {
  this.candidates = words(text).map((word) => {
    const [server = '', failureDomain = '', range = '', layerMs = '1'] = word.split(':');
    const [from = 0, to = 0] = range.split('-').map(Number);
    return {
      server,
      address: server,
      failureDomain,
      from,
      to,
      layerMs: Number(layerMs),
      linkMs: 0,
    };
  });
});

Given('the busy times {string}', function set(this: PlannerWorld, text: string) {
  this.busy = new Map(words(text).map((word) => [word.split('=')[0], Number(word.split('=')[1])]));
});

Given('the unusable servers {string}', function set(this: PlannerWorld, text: string) {
  this.unusable = new Set(words(text));
});

Given('the kept stages {string}', function set(this: PlannerWorld, text: string) {
  this.kept = words(text).map(parseStage);
});

When('a route is planned', function run(this: PlannerWorld) {
  this.route = plan(this);
});

Then('the route is {string}', function check(this: PlannerWorld, expected: string) {
  const found =
    this.route?.stages.map((stage) => `${stage.server}:${stage.from}-${stage.to}`).join(' ') ??
    'none';
  assert.equal(found, expected);
});

const candidate = fc.record({
  server: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
  failureDomain: fc.constantFrom('h', 'o'),
  from: fc.integer({ min: 0, max: 11 }),
  length: fc.integer({ min: 1, max: 12 }),
  layerMs: fc.double({ min: 0.1, max: 4, noNaN: true }),
});

When(
  '{int} random layouts are planned with seed {int}',
  function run(this: PlannerWorld, runs: number, seed: number) {
    Object.assign(this, {
      layers: 12,
      localDomain: 'h',
      busy: new Map(),
      unusable: new Set(),
      kept: [],
    });
    this.layouts = fc
      .sample(fc.array(candidate, { maxLength: 10 }), { numRuns: runs, seed })
      .map((drawn) => {
        this.candidates = drawn.map(({ length, ...rest }, index) => ({
          ...rest,
          server: `${rest.server}${index}`,
          address: '',
          to: Math.min(12, rest.from + length),
          linkMs: 0,
        }));
        return { candidates: this.candidates, route: plan(this) };
      });
  },
);

Then(
  'each planned route covers every layer once on servers that hold them',
  function check(this: PlannerWorld) {
    for (const { candidates, route } of this.layouts) {
      const reachable = Array.from({ length: 12 }, (_, layer) => layer).every((layer) =>
        candidates.some((item) => item.from <= layer && layer < item.to),
      );
      assert.equal(route !== undefined, reachable);
      if (route !== undefined) assert.ok(coversOnce(route.stages, 12));
      for (const stage of route?.stages ?? []) {
        const holder = candidates.find((item) => item.server === stage.server);
        assert.ok(holder !== undefined && holder.from <= stage.from && stage.to <= holder.to);
      }
    }
  },
);
