import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { planPlacement } from '../../../src/core/placement/PlacementPlanner.js';
import { WorkReservation } from '../../../src/core/routing/WorkReservation.js';
import { EngineRoutes, mergeRevisits } from '../../../src/core/routing/EngineRoutes.js';
import { coversOnce } from '../../../src/core/routing/RoutePlanner.js';
import type { Stage } from '../../../src/core/routing/Types.js';
import {
  ENGINE,
  ENGINE_SERVICE,
  backendServer,
  domainLinks,
  RelayFixture,
  REFERENCE_FLEET,
} from '../FleetFixture.js';

interface RoutesWorld {
  fixture: RelayFixture;
  routes: (readonly Stage[])[];
  refused: number;
  stages: Stage[];
}

const TOKENS = 939;

const REQUIREMENTS = {
  service: ENGINE_SERVICE,
  engine: ENGINE,
  tokens: TOKENS,
  avoid: new Set<string>(),
  kept: [],
};

function domainOf(world: RoutesWorld, server: string): string {
  return world.fixture.directory.get(server)?.record.failureDomain ?? '';
}

function planner({ fixture }: RoutesWorld, domain: string): EngineRoutes {
  const { directory, load, serverAdmission } = fixture;
  return new EngineRoutes(directory, load, domain, {
    serverAdmission,
    links: domainLinks(fixture.clock),
  });
}

function start(world: RoutesWorld, count: number, domains: readonly string[]): void {
  const { load } = world.fixture;
  const planners = domains.map((domain) => planner(world, domain));
  for (let index = 0; index < count; index += 1) {
    const stages = planners[index % planners.length].plan(REQUIREMENTS);
    if (stages === undefined) {
      world.refused += 1;
      continue;
    }
    world.routes.push(stages);
    new WorkReservation(load, stages, TOKENS, 772).endPrefill();
  }
}

Given('the reference fleet with layers assigned by the planner', function set(this: RoutesWorld) {
  this.fixture = new RelayFixture();
  this.routes = [];
  this.refused = 0;
  const servers = Object.entries(REFERENCE_FLEET).flatMap(([failureDomain, kinds]) =>
    kinds.map((accelerator, index) => ({
      id: `${failureDomain}-${index}`,
      failureDomain,
      accelerator,
      span: undefined,
      hasRecentOrder: false,
    })),
  );
  for (const domain of Object.keys(REFERENCE_FLEET)) {
    for (const { id, span } of planPlacement(ENGINE, servers, domain)) {
      const server = servers.find((candidate) => candidate.id === id);
      assert.ok(server);
      const { failureDomain, accelerator } = server;
      this.fixture.directory.put(backendServer(id, { failureDomain, accelerator, span }));
    }
  }
});

When(
  '{int} request(s) of domain {string} is/are in progress',
  function run(this: RoutesWorld, count: number, domain: string) {
    start(this, count, [domain]);
  },
);

When(
  '{int} requests of all domains are in progress',
  function run(this: RoutesWorld, count: number) {
    start(this, count, Object.keys(REFERENCE_FLEET));
  },
);

When(
  'the only server of domain {string} for some layers is lost',
  function run(this: RoutesWorld, domain: string) {
    const { directory } = this.fixture;
    const home = [...directory.all()].filter(
      ({ record: { failureDomain } }) => failureDomain === domain,
    );
    const isOnly = ({ record: { id, span } }: (typeof home)[number]): boolean =>
      Array.from({ length: ENGINE.layers }, (_, layer) => layer).some(
        (layer) =>
          span !== undefined &&
          layer >= span.from &&
          layer < span.to &&
          !home.some(
            (other) =>
              other.record.id !== id &&
              other.record.span !== undefined &&
              layer >= other.record.span.from &&
              layer < other.record.span.to,
          ),
      );
    const only = home.find(isOnly);
    assert.ok(only, 'every layer is held by two servers of the domain');
    directory.suspect(only.record.id);
  },
);

Then('every route runs each layer once, in order', function check(this: RoutesWorld) {
  assert.equal(this.refused, 0);
  for (const stages of this.routes) assert.ok(coversOnce(stages, ENGINE.layers));
});

Then(
  '{int} prompts per second keep the link between domains busy for at most half of the time',
  function check(this: RoutesWorld, prompts: number) {
    let crossings = 0;
    for (const stages of this.routes) {
      for (const [index, { server }] of stages.entries()) {
        if (index > 0 && domainOf(this, stages[index - 1].server) !== domainOf(this, server))
          crossings += 1;
      }
    }
    const { usualPromptTokens, activationBytes, crossDomainMbps } = ENGINE;
    const transferS = (usualPromptTokens * activationBytes * 8) / (crossDomainMbps * 1e6);
    const busy = (crossings / this.routes.length) * prompts * transferS;
    assert.ok(busy <= 0.5, `the link is busy for ${busy} of the time`);
  },
);

Then(
  'routes have at most {int} stages on average',
  function check(this: RoutesWorld, most: number) {
    assert.ok(this.routes.flat().length / this.routes.length <= most);
  },
);

function checkMemory(world: RoutesWorld): void {
  for (const { record: found } of world.fixture.directory.all()) {
    const { span, accelerator, id } = found;
    assert.ok(span);
    const layers = span.to - span.from;
    const memoryMb = ENGINE.accelerators.get(accelerator)?.memoryMb ?? 0;
    const usedMb = (world.fixture.load.tokenLayers(id) * ENGINE.tokenMb) / ENGINE.layers;
    assert.ok(
      usedMb <= memoryMb - layers * ENGINE.layerMb,
      `the requests of ${id} exceed its memory`,
    );
  }
}

Then('no server has more requests than fit its memory', function check(this: RoutesWorld) {
  checkMemory(this);
});

Then(
  'some find no route, and no server has more requests than fit its memory',
  function check(this: RoutesWorld) {
    assert.ok(this.refused > 0);
    checkMemory(this);
  },
);

When('stages {string} are merged', function run(this: RoutesWorld, list: string) {
  this.stages = mergeRevisits(
    list.split(' ').map((word) => {
      const [from, to] = word.slice(1).split('-').map(Number);
      return { server: word[0], address: word[0], from, to };
    }),
  );
});

Then('they are {string}', function check(this: RoutesWorld, merged: string) {
  const words = this.stages.map(({ server, from, to }) => `${server}${from}-${to}`);
  assert.equal(words.join(' '), merged);
});

Given('a route over three servers and a spare for each', function set(this: RoutesWorld) {
  this.fixture = new RelayFixture();
  this.routes = [];
  for (const [index, [from, to]] of [
    [0, 30],
    [30, 60],
    [60, 80],
  ].entries()) {
    const span = { from, to };
    this.fixture.directory.put(backendServer(`s${index + 1}`, { accelerator: 'h100', span }));
    this.fixture.directory.put(backendServer(`t${index + 1}`, { accelerator: 'whole', span }));
  }
  start(this, 1, ['a']);
});

When('the route is replanned without {string}', function run(this: RoutesWorld, lost: string) {
  const [kept] = this.routes;
  const requirements = { ...REQUIREMENTS, tokens: 10, avoid: new Set([lost]), kept };
  const stages = planner(this, 'a').planReroute(requirements, kept[0]);
  assert.ok(stages);
  this.stages = [...stages];
});

Then('the new route is {string}', function check(this: RoutesWorld, expected: string) {
  assert.equal(this.stages.map(({ server }) => server).join(' '), expected);
  assert.ok(coversOnce(this.stages, ENGINE.layers));
});

When(
  '{string} has rejected requests for {int} ms and {string} is lost',
  async function run(this: RoutesWorld, server: string, ms: number, lost: string) {
    const { clock, directory } = this.fixture;
    const endsAt = clock.now() + ms;
    while (clock.now() < endsAt) {
      directory.noteRejection(server);
      await clock.runUntil(clock.now() + 160);
    }
    directory.suspect(lost);
  },
);

Then("a new request's route is {string}", function check(this: RoutesWorld, expected: string) {
  const stages = planner(this, 'a').plan(REQUIREMENTS);
  assert.equal(stages?.map(({ server }) => server).join(' '), expected);
});

Then('every route stays in one domain', function check(this: RoutesWorld) {
  for (const stages of this.routes) {
    const domains = new Set(stages.map(({ server }) => domainOf(this, server)));
    assert.equal(domains.size, 1, [...domains].join(' '));
  }
});
