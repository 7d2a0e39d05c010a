import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { prefillBacklogMs } from '../../../src/core/admission/RoomLimits.js';
import { backendServer, ENGINE, RelayFixture } from '../FleetFixture.js';

interface BacklogWorld {
  backlogMs: number;
}

const LAYERS_EACH = 20;

Given(
  'a route over servers with {string} prompt tokens in prefill',
  function set(this: BacklogWorld, tokens: string) {
    const { directory, load } = new RelayFixture();
    const stages = tokens.split(' ').map((prefill, index) => {
      const server = `s${index}`;
      const from = index * LAYERS_EACH;
      const stage = { server, address: '', from, to: from + LAYERS_EACH };
      directory.put(backendServer(server, { accelerator: 'h100', span: stage }));
      load.add([stage], 1, 0, Number(prefill));
      return stage;
    });
    this.backlogMs = prefillBacklogMs(stages, ENGINE, directory, load);
  },
);

Then('a new prompt waits for {int} ms', function check(this: BacklogWorld, ms: number) {
  assert.equal(Math.round(this.backlogMs), ms);
});
