/** Chooses the servers that a request to an engine passes through. */
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile, Service } from '../deployment/Types.js';
import { coversOnce, planRoute } from './RoutePlanner.js';
import type { ServerLoad } from './ServerLoad.js';
import type { Candidate, Stage } from './Types.js';

/** What a route is wanted for. */
export interface RouteWish {
  readonly service: Service;
  readonly engine: EngineProfile;
  /** Tokens of prompt and answer for which memory is wanted. */
  readonly tokens: number;
  /** Servers that must not be used. */
  readonly avoid: ReadonlySet<string>;
  /** Stages whose KV cache is worth keeping. */
  readonly kept: readonly Stage[];
}

/** Requests with more stages are rejected by the servers. */
const MAX_STAGES = 32;

/** Share of a server's free memory that is planned for; answers run longer than their estimate. */
const MEMORY_SHARE = 0.9;

export class EngineRoutes {
  private candidates = new Map<string, Candidate[]>();

  public constructor(
    private readonly directory: ServerDirectory,
    private readonly load: ServerLoad,
    private readonly homeDomain: string,
  ) {
    directory.onChange(() => this.candidates.clear());
  }

  /** @returns undefined when the usable servers do not cover every layer with room for the request */
  public plan(wish: RouteWish): readonly Stage[] | undefined {
    const { engine } = wish;
    const route = planRoute({
      candidates: this.candidatesOf(wish.service, engine),
      layers: engine.layers,
      homeDomain: this.homeDomain,
      busyMs: (id) => this.busyMs(id, engine),
      usable: (id) => !wish.avoid.has(id) && this.hasRoom(id, engine, wish.tokens),
      kept: wish.kept,
      rebuildLayerMs: wish.tokens / (engine.readTokensPerMs * engine.layers),
    });
    if (route === undefined || route.stages.length > MAX_STAGES) return undefined;
    if (!coversOnce(route.stages, engine.layers) || repeatsServer(route.stages)) return undefined;
    return route.stages;
  }

  /** Time until a server has read the prompts that wait there, plus what a step takes for its requests. */
  private busyMs(id: string, engine: EngineProfile): number {
    const server = this.directory.get(id);
    const kind = engine.accelerators.get(server?.record.accelerator ?? '');
    const span = server?.record.span;
    if (kind === undefined || span === undefined) return 0;
    const share = (span.to - span.from) / engine.layers;
    const readMs = (this.load.readingTokens(id) / engine.readTokensPerMs) * kind.readFactor;
    const stepMs = this.load.requests(id) * engine.sequenceMs * kind.stepFactor;
    return share * (readMs + stepMs);
  }

  private hasRoom(id: string, engine: EngineProfile, tokens: number): boolean {
    const server = this.directory.get(id);
    if (server === undefined || this.directory.doubt(server) !== undefined) return false;
    const { span, accelerator } = server.record;
    const kind = engine.accelerators.get(accelerator);
    if (span === undefined || kind === undefined) return false;
    const layers = span.to - span.from;
    const freeMb = (kind.memoryMb - layers * engine.layerMb) * MEMORY_SHARE;
    const tokenLayerMb = engine.tokenMb / engine.layers;
    return (this.load.tokenLayers(id) + tokens * layers) * tokenLayerMb <= freeMb;
  }

  private candidatesOf(service: Service, engine: EngineProfile): Candidate[] {
    let found = this.candidates.get(service.name);
    if (found === undefined) {
      found = [];
      for (const server of this.directory.all()) {
        const candidate = toCandidate(server, service, engine);
        if (candidate !== undefined) found.push(candidate);
      }
      this.candidates.set(service.name, found);
    }
    return found;
  }
}

function toCandidate(
  { record }: KnownServer,
  service: Service,
  engine: EngineProfile,
): Candidate | undefined {
  const kind = engine.accelerators.get(record.accelerator);
  if (record.service !== service.name || record.span === undefined || kind === undefined)
    return undefined;
  return {
    server: record.id,
    address: record.address,
    failureDomain: record.failureDomain,
    from: record.span.from,
    to: record.span.to,
    layerMs: (engine.stepMs / engine.layers) * kind.stepFactor,
    linkMs: 0,
  };
}

function repeatsServer(stages: readonly Stage[]): boolean {
  return new Set(stages.map(({ server }) => server)).size < stages.length;
}
