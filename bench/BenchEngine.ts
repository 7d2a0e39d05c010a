/** Engine port over simulated batch servers in virtual time, at the level of single tokens. */
import { Failure, FailureKind } from '../src/core/Failure.js';
import type { Stage } from '../src/core/routing/Types.js';
import {
  EngineFailureKind,
  FinishReason,
  VALUES_PER_HOP,
  type Engine,
  type EngineListener,
  type EngineReport,
  type StreamOpening,
} from '../src/core/streams/Types.js';
import type { Disposable } from '../src/ports/Types.js';
import type { VirtualClock } from '../src/fakes/VirtualClock.js';
import type { BatchServer } from './BatchServer.js';
import type { Fleet } from './Fleet.js';

/** Work to prefill one position, as a fraction of the work of one token. */
export const PREFILL_COST_FACTOR = 0.05;

/**
 * Work to rebuild one position of the answer after a reroute, as a fraction of the work of one
 * token.
 */
const REBUILD_COST_FACTOR = 0.02;

/** Extra delay of a link between failure domains, in milliseconds. */
const CROSS_DOMAIN_LINK_MS = 0.6;
const CHARACTERS_PER_TOKEN = 4;

/** Time to connect to the first server of a route, in milliseconds. */
const CONNECT_MS = 2;

/** Time until a connection to a partitioned failure domain fails, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Delay until a probe answer or the report of a failure arrives, in milliseconds. */
const REPLY_DELAY_MS = 1;

/**
 * Tokens generated, and positions of prompts and answers whose KV cache was rebuilt after a reroute,
 * counted once for each server that rebuilt them.
 */
export interface EngineCounts {
  tokens: number;
  rebuiltPositions: number;
}

interface RunningStream {
  /** Failure domain of the instance that relays the answer. */
  readonly domain: string;
  /** Whether the stream ended or was disposed. */
  isEnded: boolean;
  stageIndex: number;
  /** Index of the token in progress; `resumeAt - 1` during the prefill. */
  tokenIndex: number;
  readonly opening: StreamOpening;
  readonly listener: EngineListener;
  readonly hops: Int32Array;
}

export class BenchEngine {
  public readonly counts: EngineCounts = { tokens: 0, rebuiltPositions: 0 };

  /** Layer range of each request's KV cache, by request and server. */
  private readonly cachedRanges = new Map<string, Map<string, string>>();

  private readonly streamsByServer = new Map<string, Set<RunningStream>>();

  public constructor(
    private readonly clock: VirtualClock,
    private readonly fleet: Fleet,
    private readonly servers: ReadonlyMap<string, BatchServer>,
    private readonly isPartitioned: (from: string, to: string) => boolean = () => false,
  ) {}

  /** Returns the engine port of an instance in a failure domain. */
  public engineFor(domain: string): Engine {
    return {
      open: (opening, listener) => this.open(domain, opening, listener),
      probe: (address, timeoutMs) => this.probe(domain, address, timeoutMs),
      order: () =>
        Promise.reject(
          new Failure(FailureKind.OrderRejected, 'The bench engine does not support orders.'),
        ),
    };
  }

  private open(domain: string, opening: StreamOpening, listener: EngineListener): Disposable {
    const hops = new Int32Array(opening.stages.length * VALUES_PER_HOP);
    for (const [hop, stage] of opening.stages.entries()) {
      hops.set([stage.from, stage.to, opening.epoch], hop * VALUES_PER_HOP);
    }
    const running: RunningStream = {
      domain,
      isEnded: false,
      stageIndex: 0,
      tokenIndex: opening.resumeAt - 1,
      opening,
      listener,
      hops,
    };
    this.updateLoad(running, 1);
    const [firstStage] = opening.stages;
    if (this.isPartitioned(domain, this.domainOf(firstStage))) {
      this.clock.schedule(CONNECT_TIMEOUT_MS, () =>
        this.fail(running, EngineFailureKind.NotConnected, firstStage.server),
      );
    } else this.clock.schedule(CONNECT_MS, () => this.runStage(running));
    return { dispose: () => this.end(running) };
  }

  private async probe(domain: string, address: string, timeoutMs: number): Promise<EngineReport> {
    const server = this.server(address);
    const serverDomain = this.fleet.servers.get(address)?.failureDomain ?? '';
    if (server.isSilent || this.isPartitioned(domain, serverDomain)) {
      await this.clock.sleep(timeoutMs);
      throw new Failure(
        FailureKind.ConnectionLost,
        'The server did not answer the probe before the timeout.',
      );
    }
    await this.clock.sleep(REPLY_DELAY_MS);
    const { busyMs, utilisation, slowdown } = server;
    return { busyMs, utilisation, leaving: false, ...(slowdown !== undefined && { slowdown }) };
  }

  /** Fails every stream that uses a server, as a crash of the server does. */
  public failStreams(server: string): void {
    for (const running of [...(this.streamsByServer.get(server) ?? [])]) {
      const isFirstStage = running.opening.stages[0].server === server;
      const kind = isFirstStage ? EngineFailureKind.ConnectionLost : EngineFailureKind.StageFailed;
      this.clock.schedule(REPLY_DELAY_MS, () => this.fail(running, kind, server));
    }
  }

  /** Returns the ids of the requests in progress whose route matches. */
  public requestsMatching(matches: (stages: readonly Stage[]) => boolean): Set<string> {
    const found = new Set<string>();
    for (const streams of this.streamsByServer.values()) {
      for (const { opening } of streams) if (matches(opening.stages)) found.add(opening.request);
    }
    return found;
  }

  private server(name: string): BatchServer {
    return this.servers.get(name) as BatchServer;
  }

  private layerMs(stage: Stage): number {
    const accelerator = this.fleet.servers.get(stage.server)?.accelerator ?? '';
    return (stage.to - stage.from) * (this.fleet.pipeline.layerMs[accelerator] ?? 0);
  }

  /**
   * Adds a stream to the load and the streams of its servers, or removes it.
   * @param sign - 1 when the stream starts, -1 when it ends
   */
  private updateLoad(running: RunningStream, sign: number): void {
    for (const stage of running.opening.stages) {
      const server = this.server(stage.server);
      server.busyMs = Math.max(0, server.busyMs + sign * this.layerMs(stage));
      const streams = this.streamsByServer.get(stage.server) ?? new Set();
      if (sign > 0) streams.add(running);
      else streams.delete(running);
      this.streamsByServer.set(stage.server, streams);
    }
  }

  private end(running: RunningStream): void {
    if (running.isEnded) return;
    Object.assign(running, { isEnded: true });
    this.updateLoad(running, -1);
  }

  private fail(running: RunningStream, kind: EngineFailureKind, server: string): void {
    if (running.isEnded) return;
    running.listener.onFailure({ kind, server });
  }

  private runStage(running: RunningStream): void {
    if (running.isEnded) return;
    const { opening, stageIndex, tokenIndex } = running;
    const stage = opening.stages[stageIndex];
    const server = this.server(stage.server);
    if (!server.alive) {
      const kind =
        stageIndex === 0 ? EngineFailureKind.NotConnected : EngineFailureKind.StageFailed;
      this.clock.schedule(REPLY_DELAY_MS, () => this.fail(running, kind, stage.server));
      return;
    }
    const layerMs = this.layerMs(stage);
    const isPrefill = tokenIndex < opening.resumeAt;
    const workMs = isPrefill ? this.prefillMs(opening, stage, layerMs) : layerMs;
    if (workMs === 0) {
      this.forward(running);
      return;
    }
    server.enqueue({ workMs, done: () => this.forward(running) });
  }

  private prefillMs(opening: StreamOpening, stage: Stage, layerMs: number): number {
    const ranges = this.cachedRanges.get(opening.request) ?? new Map<string, string>();
    this.cachedRanges.set(opening.request, ranges);
    const range = `${stage.from}-${stage.to}`;
    if (ranges.get(stage.server) === range) return 0;
    ranges.set(stage.server, range);
    const prompt = opening.prompt.length / CHARACTERS_PER_TOKEN;
    if (opening.resumeAt > 0) this.counts.rebuiltPositions += prompt + opening.resumeAt;
    return layerMs * (prompt * PREFILL_COST_FACTOR + opening.resumeAt * REBUILD_COST_FACTOR);
  }

  private forward(running: RunningStream): void {
    if (running.isEnded) return;
    const { opening } = running;
    const from = opening.stages[running.stageIndex];
    const isLast = running.stageIndex === opening.stages.length - 1;
    Object.assign(running, { stageIndex: isLast ? 0 : running.stageIndex + 1 });
    const to = opening.stages[running.stageIndex];
    if (this.isPartitioned(this.domainOf(from), this.domainOf(to))) return;
    this.clock.schedule(this.linkMs(from, to), () =>
      isLast ? this.emitToken(running) : this.runStage(running),
    );
  }

  private emitToken(running: RunningStream): void {
    if (running.isEnded) return;
    const { opening, listener, tokenIndex, hops } = running;
    Object.assign(running, { tokenIndex: tokenIndex + 1 });
    if (this.isPartitioned(running.domain, this.domainOf(opening.stages[0]))) return;
    if (tokenIndex >= opening.resumeAt) {
      this.counts.tokens += 1;
      listener.onToken({
        epoch: opening.epoch,
        index: tokenIndex,
        text: ' t',
        hops,
        hopCount: opening.stages.length,
      });
    }
    if (running.isEnded) return;
    if (running.tokenIndex < opening.maxTokens) {
      this.runStage(running);
      return;
    }
    this.cachedRanges.delete(opening.request);
    this.end(running);
    listener.onEnd(FinishReason.Length, opening.maxTokens);
  }

  private domainOf(stage: Stage): string {
    return this.fleet.servers.get(stage.server)?.failureDomain ?? '';
  }

  private linkMs(from: Stage, to: Stage): number {
    const cross = this.domainOf(from) === this.domainOf(to) ? 0 : CROSS_DOMAIN_LINK_MS;
    return (
      cross +
      (this.fleet.servers.get(from.server)?.linkMs ?? 0) +
      (this.fleet.servers.get(to.server)?.linkMs ?? 0)
    );
  }
}
