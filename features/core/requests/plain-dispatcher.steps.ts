import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { Given, Then, When } from '@cucumber/cucumber';
import { Invariants } from '../../../src/core/Invariant.js';
import { AccountLimiter } from '../../../src/core/limits/AccountLimiter.js';
import { RetryBudget } from '../../../src/core/limits/RetryBudget.js';
import { ServerHealth, type ServerMark } from '../../../src/core/membership/ServerHealth.js';
import { PlainDispatcher, type PlainResult } from '../../../src/core/requests/PlainDispatcher.js';
import { Configuration } from '../../../src/core/tickets/Configuration.js';
import { ObjectKind, type Change } from '../../../src/core/tickets/Types.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface PlainWorld {
  plainDispatcher: PlainDispatcher;
  /** Addresses that calls reached, in order. */
  reached: string[];
  plainResult: PlainResult;
}

const SERVERS = ['one', 'two'];

function change(kind: ObjectKind, name: string, state: object): Change {
  return { kind, name, base: 0, state: state as never };
}

function start(world: PlainWorld, marked: readonly string[], mark: string): void {
  const clock = new VirtualClock();
  const configuration = new Configuration(new Invariants(true));
  const changes = [
    change(ObjectKind.ClientAccount, 'account', {
      keyHashes: [],
      weight: 1,
      requestsPerSecond: 1000,
      concurrency: 1000,
    }),
    change(ObjectKind.PlainService, 'orders', { rules: [], timeoutMs: 1000 }),
    ...SERVERS.map((name) =>
      change(ObjectKind.BackendServer, name, {
        address: name,
        failureDomain: 'home',
        accelerator: 'any',
        services: ['orders'],
        layerRanges: [],
        leaving: false,
      }),
    ),
  ];
  configuration.apply({ number: 1, submission: '', at: '', author: '', reason: '', changes });
  const health = new ServerHealth();
  if (mark !== 'none')
    for (const server of marked) health.mark(server, mark as ServerMark, clock.now());
  world.reached = [];
  world.plainDispatcher = new PlainDispatcher({
    clock,
    random: new SeededRandom(1),
    configuration,
    transport: {
      send: (address) => {
        world.reached.push(address);
        return Promise.resolve({
          status: 200,
          headers: {},
          body: Readable.from([]),
          notRun: false,
        });
      },
    },
    limiter: new AccountLimiter({ domains: 1, localInstances: 1 }),
    retryBudget: new RetryBudget(),
    health,
    localDomain: 'home',
    countRetry: () => {},
  });
}

async function send(world: PlainWorld): Promise<void> {
  const call = { method: 'GET', path: '/stock', headers: {}, body: Buffer.alloc(0) };
  await world.plainDispatcher.send(
    { account: 'account', service: 'orders', servicePath: '/stock', call },
    (result) => {
      world.plainResult = result;
      return Promise.resolve();
    },
  );
}

Given(
  'a plain service whose two servers are marked {string}',
  function set(this: PlainWorld, mark: string) {
    start(this, SERVERS, mark);
  },
);

Given(
  'a plain service whose first server is marked {string}',
  function set(this: PlainWorld, mark: string) {
    start(this, ['one'], mark);
  },
);

When('a plain call is sent', async function run(this: PlainWorld) {
  await send(this);
});

When('a plain call is sent {int} times', async function run(this: PlainWorld, times: number) {
  for (let count = 0; count < times; count += 1) await send(this);
});

Then(
  'the plain call ends with {string} after reaching {int} server(s)',
  function check(this: PlainWorld, end: string, reached: number) {
    const { response, refusal } = this.plainResult;
    const actual =
      response === undefined
        ? `${refusal?.status} ${refusal?.outcome} ${refusal?.reason}`
        : String(response.status);
    assert.equal(actual, end);
    assert.equal(this.reached.length, reached);
  },
);

Then('all plain calls went to the second server', function check(this: PlainWorld) {
  assert.deepEqual([...new Set(this.reached)], ['two']);
});
