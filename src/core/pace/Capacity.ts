/** How many requests a server can have in progress, and with how many it begins. */
import type { Deployments } from '../deployment/Deployments.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { BackendServer, EngineProfile } from '../deployment/Types.js';
import { kvCacheCapacity } from '../routing/ServerTime.js';
import type { ServerLoad } from '../routing/ServerLoad.js';

/** Share of a server's capacity with which it begins: two rounds of sound answers lead to all of it. */
const INITIAL_SHARE = 0.25;

/** Requests with which larger servers begin at least: fewer show little, and the callers' demand waits. */
const MIN_INITIAL_REQUESTS = 4;

/** Largest initial share of a small server: more would not be a pace. */
const MAX_INITIAL_SHARE = 0.5;

/** Factor on the initial window of a server that says that it is still slow. It may be wrong. */
const COLD_SHARE = 0.5;

/**
 * Returns the requests that a server can run at the same time: its slots, or for a part of an engine the usual
 * requests for which it has memory.
 * @returns undefined if it cannot take requests, for example because it holds no layers
 */
function requestsOf(
  { slots, span, accelerator }: BackendServer,
  engine: EngineProfile | undefined,
): number | undefined {
  if (engine === undefined) return Math.max(1, slots);
  const kind = engine.accelerators.get(accelerator);
  if (span === undefined || kind === undefined) return undefined;
  const layers = span.to - span.from;
  const usualTokens = engine.usualPromptTokens + engine.usualAnswerTokens;
  const inMemory = kvCacheCapacity(engine, kind, layers) / Math.max(1, usualTokens * layers);
  // Slots limit what a server receives as the first one of a route.
  return Math.max(1, span.from === 0 ? Math.min(inMemory, slots) : inMemory);
}

/** Returns the window with which a server begins. */
function initialRequests(capacity: number, { coldLeftMs = 0 }: BackendServer): number {
  const share = Math.max(MIN_INITIAL_REQUESTS, capacity * INITIAL_SHARE);
  const window = Math.min(capacity * MAX_INITIAL_SHARE, share);
  return Math.max(1, Math.floor(coldLeftMs > 0 ? window * COLD_SHARE : window));
}

/** What the servers of the fleet can carry, and what they have in progress. */
export class FleetCapacity {
  public constructor(
    private readonly directory: ServerDirectory,
    private readonly load: ServerLoad,
    private readonly deployments: Deployments,
  ) {}

  /** Returns the requests that a server can run at the same time; undefined if it cannot take any. */
  public of(id: string): number | undefined {
    const record = this.directory.get(id)?.record;
    return record && requestsOf(record, this.engineOf(record.service));
  }

  /** Returns the window with which a server begins; undefined if it needs none or cannot take requests. */
  public initialWindow(id: string): number | undefined {
    const record = this.directory.get(id)?.record;
    const capacity = this.of(id);
    if (record === undefined || capacity === undefined) return undefined;
    const window = initialRequests(capacity, record);
    return window < capacity ? window : undefined;
  }

  /**
   * Returns the requests in progress, on average, at the other servers of the same service and kind.
   * @param isPaced - whether a server is no measure because it is paced itself
   * @returns Infinity if there is no other server
   */
  public usualRequests(id: string, isPaced: (id: string) => boolean): number {
    const own = this.directory.get(id)?.record;
    let servers = 0;
    let requests = 0;
    for (const { record } of this.directory.all()) {
      if (record.service !== own?.service || record.accelerator !== own.accelerator) continue;
      if (isPaced(record.id) || !this.directory.isWorking(record.id)) continue;
      if (this.of(record.id) === undefined) continue;
      servers += 1;
      requests += this.load.requests(record.id);
    }
    return servers === 0 ? Infinity : requests / servers;
  }

  private engineOf(service: string): EngineProfile | undefined {
    return this.deployments.currentTable?.deployment.services.get(service)?.engine;
  }
}
