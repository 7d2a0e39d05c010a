import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Invariants } from '../../../src/core/Invariant.js';
import { OrderDriver } from '../../../src/core/placement/OrderDriver.js';
import type { Engine } from '../../../src/core/streams/Types.js';
import { Configuration } from '../../../src/core/tickets/Configuration.js';
import { ObjectKind, type LayerRange } from '../../../src/core/tickets/Types.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface OrderWorld {
  clock: VirtualClock;
  driver: OrderDriver;
  addresses: string[];
  silent: Set<string>;
  loaded: Map<string, readonly LayerRange[]>;
  orders: string[];
  probes: number;
  mostProbes: number;
}

const RANGES: readonly LayerRange[] = [{ pipeline: 'model', from: 0, to: 8 }];

const PROBE_MS = 50;

function engineOf(world: OrderWorld): Engine {
  return {
    open: () => {
      throw new Error('No stream is opened.');
    },
    probe: async (address, timeoutMs) => {
      world.probes += 1;
      world.mostProbes = Math.max(world.mostProbes, world.probes);
      const isSilent = world.silent.has(address);
      await world.clock.sleep(isSilent ? timeoutMs : PROBE_MS);
      world.probes -= 1;
      if (isSilent) throw new Error('no answer');
      return { busyMs: 0, leaving: false, loaded: world.loaded.get(address) ?? [] };
    },
    order: async (address, { ranges }) => {
      await world.clock.sleep(PROBE_MS);
      world.orders.push(address);
      world.loaded.set(address, ranges);
    },
  };
}

Given(
  'a failure domain of {int} servers without layers, of which the first {int} do not answer',
  function set(this: OrderWorld, servers: number, silent: number) {
    Object.assign(this, { clock: new VirtualClock(), orders: [], probes: 0, mostProbes: 0 });
    this.loaded = new Map();
    this.addresses = Array.from({ length: servers }, (_, index) => `10.0.0.${index + 1}:80`);
    this.silent = new Set(this.addresses.slice(0, silent));
    const invariants = new Invariants(true);
    const configuration = new Configuration(invariants);
    const changes = this.addresses.map((address) => ({
      kind: ObjectKind.BackendServer as const,
      name: `server-${address}`,
      base: 0,
      state: {
        address,
        failureDomain: 'a',
        accelerator: 'l4',
        layerRanges: RANGES,
        services: [],
        maxSequences: 8,
        linkMs: 1,
        leaving: false,
        checksFence: true,
      },
    }));
    configuration.apply({ number: 1, submission: '', at: '', author: '', reason: '', changes });
    this.driver = new OrderDriver({
      clock: this.clock,
      engine: engineOf(this),
      configuration,
      lease: { heldFence: 1, remainingMs: 1e6, heldForMs: 1e6 },
      failureDomain: 'a',
      invariants,
      log: () => {},
    });
  },
);

When('the lease is held for {int} ms', async function run(this: OrderWorld, ms: number) {
  this.driver.start();
  await this.clock.runUntil(ms);
  this.driver.dispose();
});

Then(
  'the other servers have got {int} order each, and the silent ones none',
  function check(this: OrderWorld, orders: number) {
    for (const address of this.addresses) {
      const count = this.orders.filter((ordered) => ordered === address).length;
      assert.equal(count, this.silent.has(address) ? 0 : orders, address);
    }
  },
);

Then(
  'never more than {int} servers were probed at the same time',
  function check(this: OrderWorld, most: number) {
    assert.ok(this.mostProbes <= most, `${this.mostProbes}`);
  },
);
