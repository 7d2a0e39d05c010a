import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { CallerServer } from '../../src/adapters/http/CallerServer.js';
import type { CallerServerDependencies } from '../../src/adapters/http/Types.js';
import { Invariants } from '../../src/core/Invariant.js';
import { Configuration } from '../../src/core/tickets/Configuration.js';
import { ObjectKind } from '../../src/core/tickets/Types.js';
import { DEMO_KEYS } from '../../src/fakes/DemoFleet.js';
import { VirtualClock } from '../../src/fakes/VirtualClock.js';
import { sendRequest, type CallerAnswer } from '../entry/Caller.js';

interface ServerWorld {
  callerServer: CallerServer;
  callerAddress: string;
  keyAnswer: CallerAnswer;
  refusals: string[];
}

function configuration(): Configuration {
  const known = new Configuration(new Invariants(true));
  const keyHashes = [createHash('sha256').update(DEMO_KEYS.workshop).digest('hex')];
  const state = { keyHashes, weight: 1, requestsPerSecond: 1, concurrency: 1 };
  const change = { kind: ObjectKind.ClientAccount, name: 'workshop', base: 0, state };
  const ticket = { number: 1, submission: '', at: '', author: '', reason: '' };
  known.apply({ ...ticket, changes: [change] });
  return known;
}

Given(
  "a callers' server in which minting a key meets an unexpected error",
  async function set(this: ServerWorld) {
    this.refusals = [];
    const dependencies: Partial<CallerServerDependencies> = {
      clock: new VirtualClock(),
      configuration: configuration(),
      keyMint: {
        mint: () => {
          throw new Error('unexpected');
        },
      } as never,
      metrics: { countRefusal: (reason: string) => this.refusals.push(reason) } as never,
      isReady: () => true,
      isLeaving: () => false,
      isStopping: () => false,
      maxBodyBytes: 1000,
    };
    this.callerServer = new CallerServer(dependencies as CallerServerDependencies);
    this.callerAddress = await this.callerServer.listen('127.0.0.1:0');
  },
);

When('a caller asks it for a key', async function run(this: ServerWorld) {
  this.keyAnswer = await sendRequest({
    address: this.callerAddress,
    method: 'POST',
    path: '/v1/request-keys',
  });
});

Then(
  'the caller is told {int} {string} {string}, and the error is counted',
  function check(this: ServerWorld, status: number, outcome: string, reason: string) {
    const { headers } = this.keyAnswer;
    assert.equal(this.keyAnswer.status, status);
    assert.equal(headers['acaciadrum-outcome'], outcome);
    assert.equal(headers['acaciadrum-reason'], reason);
    assert.deepEqual(this.refusals, [reason]);
  },
);

After(async function stop(this: ServerWorld) {
  await this.callerServer?.close();
});
