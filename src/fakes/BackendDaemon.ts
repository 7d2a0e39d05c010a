/** The stand-in for a backend server: a model engine that holds layer ranges, and plain services. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { HttpClient, readBody } from '../adapters/http/HttpClient.js';
import { closeServer, createLimitedServer, listen } from '../adapters/http/JsonServer.js';
import { encodeEnd, encodeFailure, encodeToken } from '../adapters/http/TokenFrames.js';
import { SystemClock } from '../adapters/SystemClock.js';
import {
  EngineFailureKind,
  FinishReason,
  HOP_WORDS,
  type EngineFailure,
  type StreamOpening,
  type TokenFrame,
} from '../core/streams/Types.js';
import { StageBatch } from './StageBatch.js';
import { tokenText } from './TokenText.js';

/** Settings of a stand-in server. */
export interface BackendOptions {
  readonly name: string;
  /** Time of one layer for one token, in milliseconds. */
  readonly layerMs: number;
  /** Fixed cost of a step, in milliseconds. */
  readonly stepMs: number;
  readonly checksFence: boolean;
}

/** Layers [from, to) of a token that ran under an epoch. */
type Hop = [from: number, to: number, epoch: number];

interface StageCall {
  readonly opening: StreamOpening;
  readonly stage: number;
  /** Token to run; -1 rebuilds the KV cache up to `opening.resumeAt`. */
  readonly index: number;
}

interface StageAnswer {
  readonly hops?: Hop[];
  readonly failure?: EngineFailure;
}

/** What a server keeps of one request. */
interface Sequence {
  epoch: number;
  from: number;
  to: number;
  /** Positions of the answer that the KV cache holds. */
  positions: number;
  /** Epoch under which each token's layers ran here. */
  readonly ranAt: Map<number, number>;
}

const STAGE_TIMEOUT_MS = 60_000;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const PREFILL_COST = 0.05;
const REBUILD_COST = 0.02;

export class BackendDaemon {
  /** Times each plain call ran, by its `x-call-id`: tests assert at most one. */
  public readonly runs = new Map<string, number>();

  /** Times a token ran the same layers twice under one epoch. */
  public doubleRuns = 0;

  public leaving = false;

  public highestFence = 0;

  /** Orders taken, newest last. */
  public readonly orders: unknown[] = [];

  private readonly clock = new SystemClock();

  private readonly client = new HttpClient();

  private readonly batch: StageBatch;

  private readonly sequences = new Map<string, Sequence>();

  private readonly server: Server;

  private frozenUntil = 0;

  public constructor(private readonly options: BackendOptions) {
    this.batch = new StageBatch(this.clock, options.stepMs);
    this.server = createLimitedServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  public listen(address: string): Promise<string> {
    return listen(this.server, address);
  }

  public async close(): Promise<void> {
    this.client.dispose();
    await closeServer(this.server);
  }

  /** Answers nothing for a while, as a paused process would. */
  public freeze(durationMs: number): void {
    this.frozenUntil = this.clock.now() + durationMs;
  }

  /** Streams and stages in progress. */
  public get active(): number {
    return this.sequences.size;
  }

  private async thaw(): Promise<void> {
    while (this.clock.now() < this.frozenUntil) {
      await new Promise<void>((resolve) => {
        this.clock.schedule(this.frozenUntil - this.clock.now() + 1, resolve);
      });
    }
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await this.thaw();
    const path = request.url ?? '/';
    if (path.startsWith('/services/')) return this.servePlain(request, response);
    const body = await readBody(request, MAX_BODY_BYTES);
    if (path === '/v1/status')
      return this.reply(response, 200, {
        busyMs: this.batch.busyMs,
        leaving: this.leaving,
        active: this.active,
      });
    if (path === '/v1/streams')
      return this.serveStream(JSON.parse(body.toString()) as StreamOpening, response);
    if (path === '/v1/stage')
      return this.reply(
        response,
        200,
        await this.runStage(JSON.parse(body.toString()) as StageCall),
      );
    if (path === '/v1/orders')
      return this.takeOrder(JSON.parse(body.toString()) as { fence: number }, response);
    if (path.startsWith('/v1/sequences/')) {
      this.sequences.delete(decodeURIComponent(path.slice('/v1/sequences/'.length)));
      return this.reply(response, 200, {});
    }
    return this.reply(response, 404, {});
  }

  private reply(response: ServerResponse, status: number, value: unknown): void {
    const text = JSON.stringify(value);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  private takeOrder(order: { fence: number }, response: ServerResponse): void {
    if (this.options.checksFence && order.fence < this.highestFence) {
      this.reply(response, 412, { highestFence: this.highestFence });
      return;
    }
    this.highestFence = Math.max(this.highestFence, order.fence);
    this.orders.push(order);
    this.reply(response, 200, {});
  }

  private async servePlain(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const callId = String(request.headers['x-call-id'] ?? '');
    const body = await readBody(request, MAX_BODY_BYTES);
    this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
    await this.batch.run(0.1);
    const text = JSON.stringify({
      server: this.options.name,
      call: callId,
      method: request.method,
      path: request.url,
      bytes: body.length,
    });
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(text);
  }

  private async serveStream(opening: StreamOpening, response: ServerResponse): Promise<void> {
    if (this.leaving && !this.sequences.has(opening.request)) return this.reply(response, 410, {});
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.flushHeaders();
    const failure = await this.generate(opening, response);
    if (response.destroyed) return undefined;
    if (failure !== undefined) response.end(encodeFailure(failure));
    else response.end(encodeEnd(FinishReason.Length, opening.maxTokens));
    return undefined;
  }

  private async generate(
    opening: StreamOpening,
    response: ServerResponse,
  ): Promise<EngineFailure | undefined> {
    const frame: TokenFrame = {
      epoch: opening.epoch,
      index: 0,
      text: '',
      hops: new Int32Array(64 * HOP_WORDS),
      hopCount: 0,
    };
    try {
      for (let index = opening.resumeAt - 1; index < opening.maxTokens; index += 1) {
        const first = index < opening.resumeAt;
        const answer = await this.runStage({ opening, stage: 0, index: first ? -1 : index });
        if (response.destroyed) return undefined;
        if (answer.failure !== undefined) return answer.failure;
        if (first) continue;
        frame.index = index;
        frame.text = tokenText(opening.prompt, index);
        frame.hopCount = answer.hops?.length ?? 0;
        for (const [hop, words] of (answer.hops ?? []).entries())
          frame.hops.set(words, hop * HOP_WORDS);
        await this.thaw();
        response.write(encodeToken(frame));
      }
      return undefined;
    } finally {
      this.forget(opening);
    }
  }

  private forget(opening: StreamOpening): void {
    const sequence = this.sequences.get(opening.request);
    if (sequence === undefined || sequence.epoch > opening.epoch) return;
    this.sequences.delete(opening.request);
    for (const stage of opening.stages.slice(1)) {
      const path = `/v1/sequences/${encodeURIComponent(opening.request)}`;
      this.client
        .call({ address: stage.address, method: 'DELETE', path, timeoutMs: 1000 })
        .catch(() => {});
    }
  }

  private async runStage(call: StageCall): Promise<StageAnswer> {
    const { opening } = call;
    const stage = opening.stages[call.stage];
    const failed = (kind: EngineFailureKind): StageAnswer => ({
      failure: { kind, server: stage.server },
    });
    const known = this.sequences.get(opening.request);
    if (known !== undefined && known.epoch > opening.epoch)
      return failed(EngineFailureKind.StaleEpoch);
    if (this.leaving && known === undefined) return failed(EngineFailureKind.Leaving);
    const sequence = this.enter(opening, stage.from, stage.to, known);
    const ranEpoch = await this.runLayers(call, sequence);
    await this.thaw();
    if (sequence.epoch > opening.epoch) return failed(EngineFailureKind.StaleEpoch);
    const rest = await this.runNext(call);
    if (rest.hops === undefined) return rest;
    return { hops: [[stage.from, stage.to, ranEpoch], ...rest.hops] };
  }

  private enter(
    opening: StreamOpening,
    from: number,
    to: number,
    known: Sequence | undefined,
  ): Sequence {
    if (known !== undefined && known.from === from && known.to === to) {
      known.epoch = opening.epoch;
      return known;
    }
    const sequence: Sequence = { epoch: opening.epoch, from, to, positions: 0, ranAt: new Map() };
    this.sequences.set(opening.request, sequence);
    return sequence;
  }

  /** Runs a token's layers unless they ran under an earlier epoch, whose boundary output is kept. */
  private async runLayers(call: StageCall, sequence: Sequence): Promise<number> {
    const layers = sequence.to - sequence.from;
    const { opening, index } = call;
    if (index < 0) {
      const missing = Math.max(0, opening.resumeAt - sequence.positions);
      const prompt = opening.resumeAt === 0 || missing > 0 ? opening.prompt.length / 4 : 0;
      sequence.positions = Math.max(sequence.positions, opening.resumeAt);
      await this.batch.run(
        layers * this.options.layerMs * (prompt * PREFILL_COST + missing * REBUILD_COST),
      );
      return opening.epoch;
    }
    const ranAt = sequence.ranAt.get(index);
    if (ranAt === opening.epoch) this.doubleRuns += 1;
    if (ranAt !== undefined) return ranAt;
    sequence.ranAt.set(index, opening.epoch);
    sequence.positions = index + 1;
    await this.batch.run(layers * this.options.layerMs);
    return opening.epoch;
  }

  private async runNext(call: StageCall): Promise<StageAnswer> {
    const next = call.opening.stages[call.stage + 1];
    if (next === undefined) return { hops: [] };
    try {
      const answer = await this.client.json<StageAnswer>(
        { address: next.address, method: 'POST', path: '/v1/stage', timeoutMs: STAGE_TIMEOUT_MS },
        { ...call, stage: call.stage + 1 } satisfies StageCall,
      );
      return answer.value;
    } catch {
      return { failure: { kind: EngineFailureKind.StageFailed, server: next.server } };
    }
  }
}
