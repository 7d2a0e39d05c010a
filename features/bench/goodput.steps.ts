import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { generateFleet, type FleetProfile } from '../../bench/Fleet.js';
import type { Policy } from '../../bench/Policies.js';
import { Simulation } from '../../bench/Simulation.js';
import { measureThroughput, type ThroughputRow } from '../../bench/Throughput.js';
import { Outcome } from '../../src/core/Outcome.js';

interface GoodputWorld {
  simulation: Simulation;
  seconds: number;
  row: ThroughputRow;
}

const TIMEOUT = { timeout: 300_000 };

When(
  'the fleet of {string} runs at load {float} and seed {int} with the route policy {string} for {int} seconds',
  TIMEOUT,
  async function run(
    this: GoodputWorld,
    user: string,
    load: number,
    seed: number,
    policy: string,
    seconds: number,
  ) {
    this.seconds = seconds;
    this.simulation = new Simulation({
      fleet: generateFleet(user as FleetProfile, seed),
      policy: policy as Policy,
      seed,
      load,
    });
    await this.simulation.run(seconds * 1000);
  },
);

Then(
  'its tokens are at least {float} of the bound and every request that ended was answered completely',
  function check(this: GoodputWorld, fraction: number) {
    const { boundPerMs, engine, records } = this.simulation;
    assert.ok(engine.counts.tokens >= fraction * boundPerMs * this.seconds * 1000);
    assert.ok(
      records.every(({ outcome }) => outcome === undefined || outcome === Outcome.Complete),
    );
  },
);

When(
  'the throughput bench measures {string} at load {float} and seed {int} with the route policy {string}',
  TIMEOUT,
  async function run(this: GoodputWorld, user: string, load: number, seed: number, policy: string) {
    this.row = await measureThroughput(user as FleetProfile, policy as Policy, load, seed);
  },
);

Then(
  'its goodput is at least {float} of the bound',
  function check(this: GoodputWorld, fraction: number) {
    assert.ok(this.row.goodput >= fraction, JSON.stringify(this.row));
  },
);
