/** Engines over batch servers in virtual time, at the level of single tokens. */
import { Failure, FailureKind } from '../src/core/Failure.js';
import type { Stage } from '../src/core/routing/Types.js';
import {
  EngineFailureKind,
  FinishReason,
  VALUES_PER_HOP,
  type Engine,
  type EngineListener,
  type ServerReport,
  type StreamOpening,
} from '../src/core/streams/Types.js';
import type { Disposable } from '../src/ports/Types.js';
import type { VirtualClock } from '../src/fakes/VirtualClock.js';
import type { BatchServer } from './BatchServer.js';
import type { Fleet } from './Fleet.js';

/** Prefill work of a position, as a part of the work of a token. */
export const PREFILL_PART = 0.05;

/** Work to rebuild a lost position, as a part of the work of a token. */
const REBUILD_PART = 0.02;

const CROSS_DOMAIN_MS = 0.6;
const CHARACTERS_PER_TOKEN = 4;
const CONNECT_MS = 2;
const CONNECT_TIMEOUT_MS = 500;
const REFUSED_MS = 1;

/** Counts work that was not for a new token. */
export interface EngineCounts {
  tokens: number;
  rebuiltPositions: number;
}

interface Running {
  /** Failure domain of the instance that relays the answer. */
  readonly domain: string;
  cancelled: boolean;
  stageIndex: number;
  index: number;
  readonly opening: StreamOpening;
  readonly listener: EngineListener;
  readonly hops: Int32Array;
}

export class BenchEngine {
  public readonly counts: EngineCounts = { tokens: 0, rebuiltPositions: 0 };

  /** Servers that hold each request's KV cache, with the layers. */
  private readonly caches = new Map<string, Map<string, string>>();

  /** Streams that use each server. */
  private readonly users = new Map<string, Set<Running>>();

  public constructor(
    private readonly clock: VirtualClock,
    private readonly fleet: Fleet,
    private readonly servers: ReadonlyMap<string, BatchServer>,
    private readonly isCut: (from: string, to: string) => boolean = () => false,
  ) {}

  /** The engines as an instance of a failure domain reaches them. */
  public from(domain: string): Engine {
    return {
      open: (opening, listener) => this.open(domain, opening, listener),
      probe: (address, timeoutMs) => this.probe(domain, address, timeoutMs),
      order: () =>
        Promise.reject(new Failure(FailureKind.OrderRefused, 'The bench gives no orders.')),
    };
  }

  private open(domain: string, opening: StreamOpening, listener: EngineListener): Disposable {
    const hops = new Int32Array(opening.stages.length * VALUES_PER_HOP);
    for (const [hop, stage] of opening.stages.entries()) {
      hops.set([stage.from, stage.to, opening.epoch], hop * VALUES_PER_HOP);
    }
    const running: Running = {
      domain,
      cancelled: false,
      stageIndex: 0,
      index: opening.resumeAt - 1,
      opening,
      listener,
      hops,
    };
    this.account(running, 1);
    const [head] = opening.stages;
    if (this.isCut(domain, this.domainOf(head))) {
      this.clock.schedule(CONNECT_TIMEOUT_MS, () =>
        this.fail(running, EngineFailureKind.NotConnected, head.server),
      );
    } else this.clock.schedule(CONNECT_MS, () => this.runStage(running));
    return { dispose: () => this.end(running) };
  }

  private async probe(domain: string, address: string, timeoutMs: number): Promise<ServerReport> {
    const server = this.server(address);
    const serverDomain = this.fleet.servers.get(address)?.failureDomain ?? '';
    if (server.isSilent || this.isCut(domain, serverDomain)) {
      await this.clock.sleep(timeoutMs);
      throw new Failure(FailureKind.ConnectionLost, 'No answer in time.');
    }
    await this.clock.sleep(REFUSED_MS);
    const { loadMs: busyMs, utilisation, slowdown } = server;
    return { busyMs, utilisation, leaving: false, ...(slowdown !== undefined && { slowdown }) };
  }

  /** Breaks every stream that uses a server, as a crash does. */
  public break(name: string): void {
    for (const running of [...(this.users.get(name) ?? [])]) {
      const isHead = running.opening.stages[0].server === name;
      const kind = isHead ? EngineFailureKind.Reset : EngineFailureKind.StageFailed;
      this.clock.schedule(REFUSED_MS, () => this.fail(running, kind, name));
    }
  }

  /** Requests in progress whose route matches. */
  public requestsOn(matches: (stages: readonly Stage[]) => boolean): Set<string> {
    const found = new Set<string>();
    for (const users of this.users.values()) {
      for (const { opening } of users) if (matches(opening.stages)) found.add(opening.request);
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

  private account(running: Running, sign: number): void {
    for (const stage of running.opening.stages) {
      const server = this.server(stage.server);
      server.loadMs = Math.max(0, server.loadMs + sign * this.layerMs(stage));
      const users = this.users.get(stage.server) ?? new Set();
      if (sign > 0) users.add(running);
      else users.delete(running);
      this.users.set(stage.server, users);
    }
  }

  private end(running: Running): void {
    if (running.cancelled) return;
    Object.assign(running, { cancelled: true });
    this.account(running, -1);
  }

  private fail(running: Running, kind: EngineFailureKind, server: string): void {
    if (running.cancelled) return;
    running.listener.onFailure({ kind, server });
  }

  private runStage(running: Running): void {
    if (running.cancelled) return;
    const { opening, stageIndex, index } = running;
    const stage = opening.stages[stageIndex];
    const server = this.server(stage.server);
    if (!server.alive) {
      const kind =
        stageIndex === 0 ? EngineFailureKind.NotConnected : EngineFailureKind.StageFailed;
      this.clock.schedule(REFUSED_MS, () => this.fail(running, kind, stage.server));
      return;
    }
    const layerMs = this.layerMs(stage);
    const isPrefill = index < opening.resumeAt;
    const workMs = isPrefill ? this.prefillMs(opening, stage, layerMs) : layerMs;
    if (workMs === 0) {
      this.passOn(running);
      return;
    }
    server.add({ workMs, done: () => this.passOn(running) });
  }

  private prefillMs(opening: StreamOpening, stage: Stage, layerMs: number): number {
    const caches = this.caches.get(opening.request) ?? new Map<string, string>();
    this.caches.set(opening.request, caches);
    const range = `${stage.from}-${stage.to}`;
    if (caches.get(stage.server) === range) return 0;
    caches.set(stage.server, range);
    const prompt = opening.prompt.length / CHARACTERS_PER_TOKEN;
    if (opening.resumeAt > 0) this.counts.rebuiltPositions += prompt + opening.resumeAt;
    return layerMs * (prompt * PREFILL_PART + opening.resumeAt * REBUILD_PART);
  }

  private passOn(running: Running): void {
    if (running.cancelled) return;
    const { opening } = running;
    const from = opening.stages[running.stageIndex];
    const isLast = running.stageIndex === opening.stages.length - 1;
    Object.assign(running, { stageIndex: isLast ? 0 : running.stageIndex + 1 });
    const to = opening.stages[running.stageIndex];
    if (this.isCut(this.domainOf(from), this.domainOf(to))) return;
    this.clock.schedule(this.linkMs(from, to), () =>
      isLast ? this.token(running) : this.runStage(running),
    );
  }

  private token(running: Running): void {
    if (running.cancelled) return;
    const { opening, listener, index, hops } = running;
    Object.assign(running, { index: index + 1 });
    if (this.isCut(running.domain, this.domainOf(opening.stages[0]))) return;
    if (index >= opening.resumeAt) {
      this.counts.tokens += 1;
      listener.onToken({
        epoch: opening.epoch,
        index,
        text: ' t',
        hops,
        hopCount: opening.stages.length,
      });
    }
    if (running.cancelled) return;
    if (running.index < opening.maxTokens) {
      this.runStage(running);
      return;
    }
    this.caches.delete(opening.request);
    this.end(running);
    listener.onEnd(FinishReason.Length, opening.maxTokens);
  }

  private domainOf(stage: Stage): string {
    return this.fleet.servers.get(stage.server)?.failureDomain ?? '';
  }

  private linkMs(from: Stage, to: Stage): number {
    const cross = this.domainOf(from) === this.domainOf(to) ? 0 : CROSS_DOMAIN_MS;
    return (
      cross +
      (this.fleet.servers.get(from.server)?.linkMs ?? 0) +
      (this.fleet.servers.get(to.server)?.linkMs ?? 0)
    );
  }
}
