import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Invariants } from '../../../src/core/Invariant.js';
import { Outcome } from '../../../src/core/Outcome.js';
import { PartQuarantine } from '../../../src/core/quarantine/PartQuarantine.js';
import { PromptQuarantine } from '../../../src/core/streams/PromptQuarantine.js';
import { StreamSession } from '../../../src/core/streams/StreamSession.js';
import {
  EngineFailureKind,
  FinishReason,
  type Engine,
  type EngineListener,
  type StreamOpening,
} from '../../../src/core/streams/Types.js';
import type { Configuration } from '../../../src/core/tickets/Configuration.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

interface SessionWorld {
  clock: VirtualClock;
  isRepeatable: boolean;
  leftMs: number;
  openings: number;
  outcome: Outcome | undefined;
}

const LAYERS = 4;
const TOKENS = 4;

/** Time from an opening to its first token, and between tokens, in milliseconds. */
const PACE_MS = 50;

/** What the engine does with an opening after its first token. */
type FirstRun = (listener: EngineListener, goOn: () => void) => void;

function run(world: SessionWorld, firstRun: FirstRun, hasRoute: () => boolean): void {
  const { clock } = world;
  const open = (opening: StreamOpening, listener: EngineListener) => {
    world.openings += 1;
    const isFirst = world.openings === 1;
    let isOpen = true;
    const hops = Int32Array.from([0, LAYERS, opening.epoch]);
    const give = (index: number): void => {
      if (!isOpen) return;
      if (index === TOKENS) {
        listener.onEnd(FinishReason.Length, TOKENS);
        return;
      }
      listener.onToken({ epoch: opening.epoch, index, text: 'x', hops, hopCount: 1 });
      const goOn = (): void => give(index + 1);
      if (isFirst && index === 0) firstRun(listener, goOn);
      else clock.schedule(PACE_MS, goOn);
    };
    clock.schedule(PACE_MS, () => give(opening.resumeAt));
    return {
      dispose: () => {
        isOpen = false;
      },
    };
  };
  const engine: Engine = {
    open,
    probe: async () => ({ busyMs: 0, leaving: false }),
    order: () => Promise.resolve(),
  };
  const session = new StreamSession(
    {
      clock,
      engine,
      routing: {
        plan: () =>
          hasRoute()
            ? { stages: [{ server: 'e1', address: 'e1', from: 0, to: LAYERS }], costMs: 10 }
            : undefined,
        begin: () => {},
        end: () => {},
        markSuspect: () => {},
        markLeaving: () => {},
        markLoading: () => {},
        findSilent: () => Promise.resolve([]),
        consumeRetry: () => true,
        firstTokenMs: () => PACE_MS,
      },
      counters: { countRetry: () => {}, countToken: () => {} },
      quarantine: new PromptQuarantine({
        clock,
        engine,
        configuration: {
          state: (_kind: unknown, name: string) => ({ address: name }),
        } as unknown as Configuration,
        quarantine: new PartQuarantine(clock, () => ({ rank: 0, instances: 1 })),
      }),
      invariants: new Invariants(true),
    },
    {
      id: 'request',
      account: 'account',
      pipeline: 'pipeline',
      layers: LAYERS,
      idempotent: world.isRepeatable,
      prompt: 'prompt',
      maxTokens: TOKENS,
      priority: 0,
      deadline: clock.now() + world.leftMs,
    },
    {
      onToken: () => {},
      onEnd: () => {
        world.outcome = Outcome.Complete;
      },
      onRefusal: ({ outcome }) => {
        world.outcome = outcome;
      },
    },
  );
  session.start();
}

Given(
  'a session of a {string} stream with {int} s left',
  function set(this: SessionWorld, kind: string, seconds: number) {
    this.clock = new VirtualClock();
    this.isRepeatable = kind === 'repeatable';
    this.leftMs = seconds * 1000;
    this.openings = 0;
    this.outcome = undefined;
  },
);

When(
  'its engine pauses for {int} ms after a token, and there are routes {string}',
  async function play(this: SessionWorld, ms: number, routes: string) {
    const { clock } = this;
    run(
      this,
      (_listener, goOn) => clock.schedule(ms, goOn),
      () => routes === 'always' || this.openings === 0,
    );
    await clock.runUntil(clock.now() + this.leftMs);
  },
);

When(
  'its engine is lost after a token, and there is a route {int} ms later',
  async function play(this: SessionWorld, ms: number) {
    const { clock } = this;
    const kind = EngineFailureKind.ConnectionLost;
    run(
      this,
      (listener) => clock.schedule(PACE_MS, () => listener.onFailure({ kind, server: 'e1' })),
      () => this.openings === 0 || clock.now() >= ms,
    );
    await clock.runUntil(clock.now() + this.leftMs);
  },
);

Then(
  /^the session ends as "([^"]*)" after (\d+) openings?$/,
  function check(this: SessionWorld, outcome: string, openings: string) {
    assert.equal(`${this.outcome}, ${this.openings}`, `${outcome}, ${openings}`);
  },
);
