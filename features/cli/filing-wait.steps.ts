import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { InstanceStatus, Status } from '../../src/adapters/http/OperatorServer.js';
import { mayChange } from '../../src/cli/FilingWait.js';

interface FilingWorld {
  status: Status;
  waits: boolean;
}

function instanceFrom(text: string): InstanceStatus {
  const [, instance, applied, heard] = /^(\w+)=(\d+) heard (-?\d+)$/.exec(text) ?? [];
  return {
    instance,
    failureDomain: 'home',
    applied: Number(applied),
    ready: true,
    leaving: false,
    heardMsAgo: Number(heard),
  };
}

Given(
  /^a fleet in which (.+), with an instance list that is "(known|unknown)"$/,
  function set(this: FilingWorld, instances: string, list: string) {
    this.status = {
      instance: 'a',
      ticket: 2,
      instances: instances.split(', ').map(instanceFrom),
      isInstanceListKnown: list === 'known',
      servers: [],
      queues: [],
    };
  },
);

When('ticket {int} was accepted {int} ms ago', function ask(this: FilingWorld, ticket, ms) {
  this.waits = mayChange(this.status, ticket, ms);
});

Then(/^the filing (waits|has ended)$/, function check(this: FilingWorld, expected: string) {
  assert.equal(this.waits ? 'waits' : 'has ended', expected);
});
