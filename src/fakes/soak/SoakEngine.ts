/** Simulated model engine of the soak runs; its servers crash, freeze, slow down and leave. */
import { Failure, FailureKind } from '../../core/Failure.js';
import {
  EngineFailureKind,
  FinishReason,
  VALUES_PER_HOP,
  type Engine,
  type EngineListener,
  type ServerOrder,
  type EngineReport,
  type StreamOpening,
  type TokenFrame,
} from '../../core/streams/Types.js';
import type { Stage } from '../../core/routing/Types.js';
import type { Disposable } from '../../ports/Types.js';
import { tokenText } from '../TokenText.js';
import type { SoakHost } from './SoakHost.js';
import type { SoakServer } from './SoakServer.js';
import type { SoakEnvironment } from './SoakEnvironment.js';

const LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 500;
const LAYER_MS = 2;
const MAX_JITTER_MS = 20;
const JITTER_CHANCE = 0.1;
const REPEAT_CHANCE = 0.03;
const LOAD_MS = 300;
const LATE_ORDER_CHANCE = 0.4;

type Emit = (notify: (listener: EngineListener) => void) => void;

/**
 * Client of the simulated model engine for one host; pauses and network cuts of the host affect its
 * calls.
 */
export class SoakEngine implements Engine {
  public constructor(
    private readonly environment: SoakEnvironment,
    private readonly host: SoakHost,
  ) {}

  public open(opening: StreamOpening, listener: EngineListener): Disposable {
    const stream = { cancelled: false };
    const emit: Emit = (notify) => this.deliver(opening.stages[0], listener, notify);
    this.generate(opening, stream, listener, emit);
    return {
      dispose: () => {
        // The cancellation takes one link delay, and is lost if the first server cannot be reached.
        this.environment.clock.schedule(LATENCY_MS, () => {
          if (this.reaches(opening.stages[0].server)) stream.cancelled = true;
        });
      },
    };
  }

  public async probe(address: string, timeoutMs: number): Promise<EngineReport> {
    return this.host.call(LATENCY_MS, async () => {
      const server = await this.findAnsweringServer(address, timeoutMs);
      const { leaving, loaded, size } = server.sequences;
      return { busyMs: size * LAYER_MS, leaving, ...(loaded && { loaded }) };
    });
  }

  public async order(address: string, order: ServerOrder, timeoutMs: number): Promise<void> {
    return this.host.call(LATENCY_MS, async () => {
      if (this.environment.random.chance(LATE_ORDER_CHANCE))
        await this.environment.clock.sleep(this.environment.random.between(0, timeoutMs));
      const server = await this.findAnsweringServer(address, timeoutMs);
      if (server.checksFence && order.fence < server.highestFence) {
        throw new Failure(FailureKind.OrderRejected, 'The order carries an old fencing number.');
      }
      this.environment.checkOrder(server, order);
      server.highestFence = Math.max(server.highestFence, order.fence);
      this.environment.clock.schedule(LOAD_MS, () => {
        if (server.alive) server.sequences.loaded = order.ranges;
      });
    });
  }

  private async findAnsweringServer(address: string, timeoutMs: number): Promise<SoakServer> {
    const server = this.environment.server(address);
    if (!this.reaches(address) || server.isFrozen) {
      await this.environment.clock.sleep(timeoutMs);
      throw new Failure(FailureKind.ConnectionLost, 'No answer in time.');
    }
    if (!server.alive) throw new Failure(FailureKind.NotConnected, 'Connection refused.');
    return server;
  }

  private reaches(server: string): boolean {
    return this.environment.network.reaches(
      this.host.failureDomain,
      this.environment.server(server).failureDomain,
    );
  }

  /** Delivers an event to the host unless the link is cut or the host has stopped. */
  private deliver(
    firstStage: Stage,
    listener: EngineListener,
    notify: (listener: EngineListener) => void,
  ): void {
    const { random, clock } = this.environment;
    const jitterMs = random.chance(JITTER_CHANCE) ? random.between(0, MAX_JITTER_MS) : 0;
    clock.schedule(LATENCY_MS + jitterMs, () => {
      if (!this.reaches(firstStage.server)) return;
      this.host.schedule(0, () => notify(listener));
    });
  }

  private async generate(
    opening: StreamOpening,
    stream: { cancelled: boolean },
    listener: EngineListener,
    emit: Emit,
  ): Promise<void> {
    const [firstStage] = opening.stages;
    const { clock } = this.environment;
    const fail = (kind: EngineFailureKind, server = firstStage.server) =>
      emit((receiver) => receiver.onFailure({ kind, server }));
    if (!this.reaches(firstStage.server)) {
      // The local socket reports the connect timeout, so no message has to cross the cut.
      this.host.schedule(CONNECT_TIMEOUT_MS, () =>
        listener.onFailure({ kind: EngineFailureKind.NotConnected, server: firstStage.server }),
      );
      return;
    }
    await clock.sleep(LATENCY_MS);
    if (!this.environment.server(firstStage.server).alive) {
      fail(EngineFailureKind.NotConnected);
      return;
    }
    for (let index = opening.resumeAt - 1; index < opening.maxTokens; index += 1) {
      const frame = await this.runToken(opening, index, fail);
      if (frame === undefined || stream.cancelled) return;
      if (index >= opening.resumeAt) this.emitToken(frame, emit);
    }
    emit((receiver) => receiver.onEnd(FinishReason.Length, opening.maxTokens));
  }

  private emitToken(frame: TokenFrame, emit: Emit): void {
    emit((receiver) => receiver.onToken(frame));
    if (this.environment.random.chance(REPEAT_CHANCE)) emit((receiver) => receiver.onToken(frame));
  }

  /** Runs one token through all stages; returns undefined after a failure. */
  private async runToken(
    opening: StreamOpening,
    index: number,
    fail: (kind: EngineFailureKind, server?: string) => void,
  ): Promise<TokenFrame | undefined> {
    const hops = new Int32Array(opening.stages.length * VALUES_PER_HOP);
    let previous = opening.stages[0];
    for (const [hop, stage] of opening.stages.entries()) {
      const ranEpoch = await this.runStage(opening, stage, previous, index, fail);
      if (ranEpoch === undefined) return undefined;
      hops.set([stage.from, stage.to, ranEpoch], hop * VALUES_PER_HOP);
      previous = stage;
    }
    const text = tokenText(opening.prompt, index);
    return { epoch: opening.epoch, index, text, hops, hopCount: opening.stages.length };
  }

  private async runStage(
    opening: StreamOpening,
    stage: Stage,
    previous: Stage,
    index: number,
    fail: (kind: EngineFailureKind, server?: string) => void,
  ): Promise<number | undefined> {
    const { environment } = this;
    const server = environment.server(stage.server);
    const from = environment.server(previous.server);
    if (!environment.network.reaches(from.failureDomain, server.failureDomain)) {
      await environment.clock.sleep(CONNECT_TIMEOUT_MS);
      fail(EngineFailureKind.StageFailed, stage.server);
      return undefined;
    }
    if (!(await server.waitUntilThawed())) {
      fail(
        stage === opening.stages[0]
          ? EngineFailureKind.ConnectionLost
          : EngineFailureKind.StageFailed,
        stage.server,
      );
      return undefined;
    }
    const isNew = !server.sequences.has(opening.request);
    const sequence = server.sequences.admit(opening, stage);
    if (typeof sequence === 'string') {
      fail(sequence, stage.server);
      return undefined;
    }
    if (isNew) environment.checkAdmission(server, this.host);
    environment.recordRun(opening.request);
    const layers = stage.to - stage.from;
    await environment.clock.sleep(layers * LAYER_MS * server.slowdownFactor + LATENCY_MS);
    if (!(await server.waitUntilThawed())) {
      fail(
        stage === opening.stages[0]
          ? EngineFailureKind.ConnectionLost
          : EngineFailureKind.StageFailed,
        stage.server,
      );
      return undefined;
    }
    if (sequence.epoch > opening.epoch) {
      fail(EngineFailureKind.StaleEpoch, stage.server);
      return undefined;
    }
    if (index >= opening.resumeAt) return server.sequences.run(sequence, index, opening.epoch);
    server.sequences.prefill(sequence, opening.resumeAt);
    return opening.epoch;
  }
}
