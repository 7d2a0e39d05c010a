/** A fake backend server: a model engine that holds layer ranges, and plain services. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { readBody } from '../adapters/http/BodyReader.js';
import { HttpClient } from '../adapters/http/HttpClient.js';
import { closeServer, createLimitedServer, listen } from '../adapters/http/JsonServer.js';
import { encodeEnd, encodeFailure, encodeToken } from '../adapters/http/TokenFrames.js';
import { SystemClock } from '../adapters/SystemClock.js';
import {
  EngineFailureKind,
  FinishReason,
  VALUES_PER_HOP,
  type EngineFailure,
  type ServerOrder,
  type StreamOpening,
  type TokenFrame,
} from '../core/streams/Types.js';
import { StageSequences, type Sequence } from './StageSequences.js';
import { StepBatcher } from './StepBatcher.js';
import { tokenText } from './TokenText.js';

/** Settings of a fake server. */
export interface BackendOptions {
  readonly name: string;
  /** Time of one layer for one token, in milliseconds. */
  readonly layerMs: number;
  /** Fixed cost of a step, in milliseconds. */
  readonly stepMs: number;
  /** Whether orders with an old fencing number are rejected. */
  readonly checksFence: boolean;
  /** Time to load layers from the weight store, in milliseconds. */
  readonly loadMs: number;
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

const STAGE_TIMEOUT_MS = 60_000;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const CHARACTERS_PER_TOKEN = 4;
/** Time for which a KV cache is kept after the end of its stream, in milliseconds. */
const CACHE_RETENTION_MS = 3000;

/** Time of a prompt token in a prefill, as a factor on the time of a decode step. */
const PREFILL_COST_FACTOR = 0.05;

/** Time of an answer token in a rebuild of the KV cache, as a factor on the time of a decode step. */
const REBUILD_COST_FACTOR = 0.02;

export class BackendDaemon {
  /** Number of times that each plain call ran, by its `x-call-id`; tests assert at most one. */
  public readonly plainRunsByCall = new Map<string, number>();

  /** Streams of which some part was requested here, whether it ran or not. */
  public readonly requestedStreams = new Set<string>();

  public readonly sequences = new StageSequences();

  /** Highest fencing number of the accepted orders; 0 before the first. */
  public highestFence = 0;

  /** Accepted orders, newest last. */
  public readonly orders: ServerOrder[] = [];

  private readonly clock = new SystemClock();

  private readonly client = new HttpClient();

  private readonly batcher: StepBatcher;

  private readonly server: Server;

  private frozenUntil = 0;

  public constructor(private readonly options: BackendOptions) {
    this.batcher = new StepBatcher(this.clock, options.stepMs);
    this.sequences.loaded = [];
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

  /** Stops answering for `durationMs` milliseconds, like a suspended process. */
  public freeze(durationMs: number): void {
    this.frozenUntil = this.clock.now() + durationMs;
  }

  /**
   * Number of requests whose KV cache is held: those in progress, and those whose stream ended less than
   * `CACHE_RETENTION_MS` ago.
   */
  public get active(): number {
    return this.sequences.size;
  }

  private async waitUntilThawed(): Promise<void> {
    while (this.clock.now() < this.frozenUntil) {
      await new Promise<void>((resolve) => {
        this.clock.schedule(this.frozenUntil - this.clock.now() + 1, resolve);
      });
    }
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await this.waitUntilThawed();
    const path = request.url ?? '/';
    if (path.startsWith('/services/')) return this.servePlain(request, response);
    const body = await readBody(request, MAX_BODY_BYTES);
    if (path === '/v1/status')
      return this.reply(response, 200, {
        busyMs: this.batcher.busyMs,
        leaving: this.sequences.leaving,
        loaded: this.sequences.loaded,
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
      return this.acceptOrder(JSON.parse(body.toString()) as ServerOrder, response);
    if (path.startsWith('/v1/sequences/')) {
      const url = new URL(path, 'http://localhost');
      const name = decodeURIComponent(url.pathname.slice('/v1/sequences/'.length));
      this.sequences.forget(name, Number(url.searchParams.get('epoch')));
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

  /** Accepts an order at once and holds its layers after the load time, unless a newer order arrives. */
  private acceptOrder(order: ServerOrder, response: ServerResponse): void {
    if (this.options.checksFence && order.fence < this.highestFence) {
      this.reply(response, 412, { highestFence: this.highestFence });
      return;
    }
    this.highestFence = Math.max(this.highestFence, order.fence);
    this.orders.push(order);
    this.clock.schedule(this.options.loadMs, () => {
      if (this.orders.at(-1) === order) this.sequences.loaded = order.ranges;
    });
    this.reply(response, 200, {});
  }

  private async servePlain(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const callId = String(request.headers['x-call-id'] ?? '');
    const body = await readBody(request, MAX_BODY_BYTES);
    this.plainRunsByCall.set(callId, (this.plainRunsByCall.get(callId) ?? 0) + 1);
    // A plain call costs 0.1 ms of work.
    await this.batcher.run(0.1);
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
    this.requestedStreams.add(opening.request);
    if (this.sequences.leaving && !this.sequences.has(opening.request))
      return this.reply(response, 410, {});
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
      hops: new Int32Array(64 * VALUES_PER_HOP),
      hopCount: 0,
    };
    try {
      for (let index = opening.resumeAt - 1; index < opening.maxTokens; index += 1) {
        const isPrefill = index < opening.resumeAt;
        const answer = await this.runStage({ opening, stage: 0, index: isPrefill ? -1 : index });
        if (response.destroyed) return undefined;
        if (answer.failure !== undefined) return answer.failure;
        if (isPrefill) continue;
        frame.index = index;
        frame.text = tokenText(opening.prompt, index);
        frame.hopCount = answer.hops?.length ?? 0;
        for (const [hop, values] of (answer.hops ?? []).entries())
          frame.hops.set(values, hop * VALUES_PER_HOP);
        await this.waitUntilThawed();
        response.write(encodeToken(frame));
      }
      return undefined;
    } finally {
      this.scheduleCacheRelease(opening);
    }
  }

  /** Releases the KV cache after a delay, since a later epoch may still use it. */
  private scheduleCacheRelease(opening: StreamOpening): void {
    this.clock.schedule(CACHE_RETENTION_MS, () => {
      this.sequences.forget(opening.request, opening.epoch);
      for (const stage of opening.stages.slice(1)) {
        const path = `/v1/sequences/${encodeURIComponent(opening.request)}?epoch=${opening.epoch}`;
        this.client
          .call({ address: stage.address, method: 'DELETE', path, timeoutMs: 1000 })
          .catch(() => {});
      }
    });
  }

  private async runStage(call: StageCall): Promise<StageAnswer> {
    const { opening } = call;
    const stage = opening.stages[call.stage];
    this.requestedStreams.add(opening.request);
    const failed = (kind: EngineFailureKind): StageAnswer => ({
      failure: { kind, server: stage.server },
    });
    const sequence = this.sequences.admit(opening, stage);
    if (typeof sequence === 'string') return failed(sequence);
    const ranEpoch = await this.runLayers(call, sequence);
    await this.waitUntilThawed();
    if (sequence.epoch > opening.epoch) return failed(EngineFailureKind.StaleEpoch);
    const rest = await this.runNextStage(call);
    if (rest.hops === undefined) return rest;
    return { hops: [[stage.from, stage.to, ranEpoch], ...rest.hops] };
  }

  private async runLayers(call: StageCall, sequence: Sequence): Promise<number> {
    const layersMs = (sequence.to - sequence.from) * this.options.layerMs;
    const { opening, index } = call;
    if (index < 0) {
      const missing = this.sequences.prefill(sequence, opening.resumeAt);
      const prompt = missing.prompt ? opening.prompt.length / CHARACTERS_PER_TOKEN : 0;
      await this.batcher.run(
        layersMs * (prompt * PREFILL_COST_FACTOR + missing.answerTokens * REBUILD_COST_FACTOR),
      );
      return opening.epoch;
    }
    const ranEpoch = this.sequences.run(sequence, index, opening.epoch);
    if (ranEpoch === opening.epoch) await this.batcher.run(layersMs);
    return ranEpoch;
  }

  private async runNextStage(call: StageCall): Promise<StageAnswer> {
    const nextStage = call.opening.stages[call.stage + 1];
    if (nextStage === undefined) return { hops: [] };
    try {
      const answer = await this.client.json<StageAnswer>(
        {
          address: nextStage.address,
          method: 'POST',
          path: '/v1/stage',
          timeoutMs: STAGE_TIMEOUT_MS,
        },
        { ...call, stage: call.stage + 1 } satisfies StageCall,
      );
      return answer.value;
    } catch {
      return { failure: { kind: EngineFailureKind.StageFailed, server: nextStage.server } };
    }
  }
}
