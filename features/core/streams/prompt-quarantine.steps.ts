import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Invariants } from '../../../src/core/Invariant.js';
import { Outcome } from '../../../src/core/Outcome.js';
import { PartQuarantine } from '../../../src/core/quarantine/PartQuarantine.js';
import { PromptQuarantine } from '../../../src/core/streams/PromptQuarantine.js';
import { StreamSession, type StreamRouting } from '../../../src/core/streams/StreamSession.js';
import {
  EngineFailureKind,
  FinishReason,
  type Engine,
  type EngineListener,
  type StreamOpening,
} from '../../../src/core/streams/Types.js';
import type { Configuration } from '../../../src/core/tickets/Configuration.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface PromptWorld {
  clock: VirtualClock;
  harmful: string;
  /** Whether servers end; otherwise they only reset connections. */
  doEnd: boolean;
  resetsLeft: number;
  ended: Set<string>;
  /** Number of servers that had ended when the last stream was requested. */
  endedBefore: number;
  up: string[];
  prompts: PromptQuarantine;
  outcome: Outcome | undefined;
}

const LAYERS = 4;
const TOKENS = 3;
const SEND_MS = 200;
const DEADLINE_MS = 20_000;

function answer(world: PromptWorld, opening: StreamOpening, listener: EngineListener): void {
  const [{ server }] = opening.stages;
  if (opening.prompt === world.harmful && world.resetsLeft > 0) {
    world.resetsLeft -= 1;
    if (world.doEnd) {
      world.ended.add(server);
      world.up = world.up.filter((name) => name !== server);
    }
    listener.onFailure({ kind: EngineFailureKind.ConnectionLost, server });
    return;
  }
  const hops = Int32Array.from([0, LAYERS, opening.epoch]);
  for (let index = opening.resumeAt; index < TOKENS; index += 1)
    listener.onToken({ epoch: opening.epoch, index, text: 'x', hops, hopCount: 1 });
  listener.onEnd(FinishReason.Length, TOKENS);
}

function engineOf(world: PromptWorld): Engine {
  return {
    open: (opening, listener) =>
      world.clock.schedule(SEND_MS, () => answer(world, opening, listener)),
    probe: async (address) => {
      if (world.ended.has(address)) throw new Error('connection refused');
      return { busyMs: 0, leaving: false };
    },
    order: () => Promise.resolve(),
  };
}

function routingOf(world: PromptWorld): StreamRouting {
  return {
    plan: () => ({
      stages: [{ server: world.up[0], address: world.up[0], from: 0, to: LAYERS }],
      costMs: 10,
    }),
    begin: () => {},
    end: () => {},
    markSuspect: () => {},
    markLeaving: () => {},
    markLoading: () => {},
    findSilent: () => Promise.resolve([]),
    consumeRetry: () => true,
    firstTokenMs: () => SEND_MS,
  };
}

function start(world: PromptWorld, servers: number, harmful: string, resets: number): void {
  const clock = new VirtualClock();
  const up = Array.from({ length: servers }, (_, index) => `s${index}`);
  Object.assign(world, { clock, harmful, up, resetsLeft: resets, ended: new Set() });
  world.prompts = new PromptQuarantine({
    clock,
    engine: engineOf(world),
    // A server's address is its name.
    configuration: {
      state: (_kind: unknown, name: string) => ({ address: name }),
    } as unknown as Configuration,
    quarantine: new PartQuarantine(clock, () => ({ rank: 0, instances: 1 })),
  });
}

Given(
  '{int} servers that end when they begin to answer the prompt {string}',
  function set(this: PromptWorld, servers: number, prompt: string) {
    this.doEnd = true;
    start(this, servers, prompt, Infinity);
  },
);

Given(
  '{int} servers that reset the connection of the prompt {string} {int} times, and go on',
  function set(this: PromptWorld, servers: number, prompt: string, resets: number) {
    this.doEnd = false;
    start(this, servers, prompt, resets);
  },
);

When(
  'a stream with the prompt {string} is requested',
  async function run(this: PromptWorld, prompt: string) {
    const { clock } = this;
    this.outcome = undefined;
    this.endedBefore = this.ended.size;
    const session = new StreamSession(
      {
        clock,
        engine: engineOf(this),
        routing: routingOf(this),
        counters: { countRetry: () => {}, countToken: () => {} },
        quarantine: this.prompts,
        invariants: new Invariants(true),
      },
      {
        id: 'request',
        account: 'account',
        pipeline: 'pipeline',
        layers: LAYERS,
        idempotent: true,
        prompt,
        maxTokens: TOKENS,
        priority: 0,
        deadline: clock.now() + DEADLINE_MS,
      },
      {
        onToken: () => {},
        onEnd: () => {
          this.outcome = Outcome.Complete;
        },
        onRefusal: ({ outcome }) => {
          this.outcome = outcome;
        },
      },
    );
    session.start();
    await clock.runUntil(clock.now() + 2000);
  },
);

Then(
  'at most {int} servers have ended, and its outcome is {string}',
  function check(this: PromptWorld, most: number, outcome: Outcome) {
    assert.ok(this.ended.size <= most, `${this.ended.size} servers ended`);
    assert.equal(this.outcome, outcome);
  },
);

Then(
  'no further server has ended, and its outcome is {string}',
  function check(this: PromptWorld, outcome: Outcome) {
    assert.equal(this.ended.size, this.endedBefore);
    assert.equal(this.outcome, outcome);
  },
);

Then(
  'a request with the prompt {string} is refused before it is queued, and one with {string} is not',
  function check(this: PromptWorld, held: string, free: string) {
    const refused = this.prompts.refuseNew({ pipeline: 'pipeline', prompt: held });
    assert.equal(refused?.outcome, Outcome.NotRun);
    assert.equal(this.prompts.refuseNew({ pipeline: 'pipeline', prompt: free }), undefined);
  },
);
