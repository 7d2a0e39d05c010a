import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Invariants } from '../../../src/core/Invariant.js';
import { AccountLimiter } from '../../../src/core/limits/AccountLimiter.js';
import { RetryBudget } from '../../../src/core/limits/RetryBudget.js';
import type { Refusal, RefusalReason } from '../../../src/core/Outcome.js';
import { CompletionDispatcher } from '../../../src/core/requests/CompletionDispatcher.js';
import { Topology } from '../../../src/core/routing/Topology.js';
import type { AnswerListener } from '../../../src/core/streams/StreamSession.js';
import { Configuration } from '../../../src/core/tickets/Configuration.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { changesOf, generateFleet, PIPELINE, FleetProfile } from '../../../bench/Fleet.js';

interface DispatcherWorld {
  dispatcher: CompletionDispatcher;
  reasons: RefusalReason[];
}

const TOO_LARGE_BYTES = 1e9;

Given('a dispatcher with one pipeline and one account', function set(this: DispatcherWorld) {
  const clock = new VirtualClock();
  const configuration = new Configuration(new Invariants(true));
  const changes = changesOf(generateFleet(FleetProfile.Shamshyrak, 1));
  configuration.apply({ number: 1, submission: '', at: '', author: '', reason: '', changes });
  this.reasons = [];
  this.dispatcher = new CompletionDispatcher({
    // Nothing of a refused request reaches a session.
    sessionDependencies: { quarantine: { refuseNew: () => undefined } } as never,
    clock,
    configuration,
    topology: new Topology(configuration),
    limiter: new AccountLimiter({ domains: 1, localInstances: 1 }),
    retryBudget: new RetryBudget(),
    localDomain: '',
    isUsable: () => true,
    countLocalInstances: () => 1,
  });
});

When(
  'a request too large for the queue is submitted and its caller then disconnects',
  function run(this: DispatcherWorld) {
    const listener = {
      onRefusal: ({ reason }: Refusal) => this.reasons.push(reason),
    } as unknown as AnswerListener;
    const request = {
      id: 'r',
      account: 'account-1',
      pipeline: PIPELINE,
      prompt: '',
      maxTokens: 1,
      priority: 0,
    };
    this.dispatcher.submit({ ...request, bytes: TOO_LARGE_BYTES }, listener).dispose();
  },
);

Then('it was refused once, as {string}', function check(this: DispatcherWorld, reason: string) {
  assert.deepEqual(this.reasons, [reason]);
});

Then('no request counts as open', function check(this: DispatcherWorld) {
  assert.equal(this.dispatcher.active, 0);
});
