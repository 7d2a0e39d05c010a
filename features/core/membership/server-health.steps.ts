import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ServerHealth, ServerMark } from '../../../src/core/membership/ServerHealth.js';

interface HealthWorld {
  serverHealth: ServerHealth;
  peerHealth: ServerHealth;
  mark: ServerMark;
}

const SERVER = 'server';

Given(
  'a server that this instance has marked {string}, and whose mark a peer has heard of',
  function set(this: HealthWorld, mark: ServerMark) {
    this.serverHealth = new ServerHealth();
    this.peerHealth = new ServerHealth();
    this.mark = mark;
    this.serverHealth.mark(SERVER, mark, 0);
  },
);

When(
  "the mark is cleared after {int} ms, and the peer's mark set {int} ms after the first one arrives at {int} ms",
  function run(this: HealthWorld, clearedAt: number, setAt: number, arrivesAt: number) {
    this.peerHealth.mark(SERVER, this.mark, setAt);
    if (this.mark !== ServerMark.Leaving) this.serverHealth.clear(SERVER, this.mark, clearedAt);
    for (const { server, mark, remainingMs } of this.peerHealth.list(arrivesAt))
      this.serverHealth.adopt(server, mark, arrivesAt, remainingMs);
  },
);

Then('the server is then marked {string}', function check(this: HealthWorld, mark: string) {
  assert.equal(this.serverHealth.markOf(SERVER, 1500) ?? 'none', mark);
});
