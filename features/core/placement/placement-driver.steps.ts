import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { PlacementDriver } from '../../../src/core/placement/PlacementDriver.js';
import {
  OrderAnswer,
  type OrderPort,
  type PlacementOrder,
  type ReportPort,
} from '../../../src/core/placement/Types.js';
import { deployment, backendServer, RelayFixture, route } from '../FleetFixture.js';

interface DriverWorld {
  fixture: RelayFixture;
  fence: number;
  orders: PlacementOrder[];
}

function answerNamed(name: string): OrderAnswer {
  const found = Object.values(OrderAnswer).find((answer) => String(answer) === name);
  assert.ok(found, `no answer is named ${name}`);
  return found;
}

Given('a failure domain whose only server holds no layers', function set(this: DriverWorld) {
  this.fixture = new RelayFixture();
  this.fence = 1;
  this.orders = [];
  this.fixture.deployments.applyIfNewer(deployment([route()]));
  this.fixture.directory.put(backendServer('server', { accelerator: 'whole' }));
});

Given('another instance holds the lease', function set(this: DriverWorld) {
  this.fence = 0;
});

When(
  'orders are answered {string} and reports say {string}',
  function run(this: DriverWorld, answers: string, reports: string) {
    const { orders, fence, fixture } = this;
    const queue = answers.split(',').map(answerNamed);
    const [accepted, layers] = reports.split(':');
    const port: OrderPort & ReportPort = {
      order: (order) => {
        orders.push(order);
        return Promise.resolve(queue[orders.length - 1] ?? OrderAnswer.Accepted);
      },
      report: () =>
        Promise.resolve({
          ordersAccepted: Number(accepted),
          span: layers === 'none' ? undefined : orders[0].span,
          busy: orders.length === queue.length && layers === 'none' && queue.length > 1,
          slowness: 1,
          blocked: [],
        }),
    };
    new PlacementDriver({
      clock: fixture.clock,
      deployments: fixture.deployments,
      directory: fixture.directory,
      lease: { heldFence: fence, remainingMs: 5000, heldForMs: 5000 },
      port,
      decisions: fixture.dependencies.decisions,
      failureDomain: 'a',
      serverAdmission: fixture.serverAdmission,
    }).start();
  },
);

Then(
  /^the orders sent within 12 seconds (?:state these numbers of accepted orders|are): (\S+)$/,
  async function check(this: DriverWorld, counts: string) {
    await this.fixture.clock.runUntil(12_000);
    const sent = this.orders.map(({ ordersAccepted }) => ordersAccepted).join(',');
    assert.equal(sent, counts === 'none' ? '' : counts);
  },
);
