/**
 * Records why routes leave the local failure domain: what the servers of each domain had when they did. One line a
 * domain and second, and none while all routes stay.
 */
import type { Clock } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import { crossedLinks } from './LinkCosts.js';
import type { ServerAdmission } from './ServerAdmission.js';
import type { ServerLoad } from './ServerLoad.js';
import type { ServerSlowness } from './ServerSlowness.js';
import type { ServerProfile } from './ServerTime.js';
import { ServerRole, type Stage } from './Types.js';

export interface RemoteRouteLogDependencies {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly slowness: ServerSlowness;
  readonly serverAdmission: ServerAdmission;
  readonly decisions: DecisionLog;
  readonly localDomain: string;
}

/** Servers of a failure domain, and what they have. */
interface DomainLoad {
  servers: number;
  usable: number;
  slow: number;
  requests: number;
  /** Sum of the shares of memory that are taken at usable servers. */
  fill: number;
}

/** Least time between two records, in milliseconds. */
const RECORD_INTERVAL_MS = 1000;

export class RemoteRouteLog {
  private recordedAt = -Infinity;

  private remoteRoutes = 0;

  private crossings = 0;

  public constructor(private readonly dependencies: RemoteRouteLogDependencies) {}

  /** Number of routes so far that left the local failure domain. */
  public get remoteCount(): number {
    return this.remoteRoutes;
  }

  /** Number of crossings between failure domains so far, of all routes. */
  public get crossingCount(): number {
    return this.crossings;
  }

  /**
   * Notes a planned route.
   * @param profiles - the servers of the service, by id
   */
  public note(stages: readonly Stage[], profiles: ReadonlyMap<string, ServerProfile>): void {
    const { clock, localDomain } = this.dependencies;
    if (stages.every(({ failureDomain }) => failureDomain === localDomain)) return;
    this.remoteRoutes += 1;
    this.crossings += crossedLinks(stages).length;
    if (clock.now() - this.recordedAt < RECORD_INTERVAL_MS) return;
    this.recordedAt = clock.now();
    this.record(profiles);
  }

  private record(profiles: ReadonlyMap<string, ServerProfile>): void {
    const { decisions } = this.dependencies;
    for (const [domain, { servers, usable, slow, requests, fill }] of this.summarize(profiles)) {
      const memoryPercent = Math.round((100 * fill) / Math.max(1, usable));
      decisions.record('domain-load', { domain, servers, usable, slow, requests, memoryPercent });
    }
  }

  private summarize(profiles: ReadonlyMap<string, ServerProfile>): Map<string, DomainLoad> {
    const { directory, load, slowness, serverAdmission } = this.dependencies;
    const domains = new Map<string, DomainLoad>();
    for (const [id, profile] of profiles) {
      const server = directory.get(id);
      if (server === undefined) continue;
      const { failureDomain } = server.record;
      const sum = domains.get(failureDomain) ?? {
        servers: 0,
        usable: 0,
        slow: 0,
        requests: 0,
        fill: 0,
      };
      domains.set(failureDomain, sum);
      sum.servers += 1;
      if (serverAdmission.obstacle(server, ServerRole.Later) !== undefined) continue;
      const { requests, tokenLayers } = load.work(id);
      sum.usable += 1;
      sum.slow += slowness.factor(id) > 1 ? 1 : 0;
      sum.requests += requests;
      sum.fill += tokenLayers / profile.kvCacheCapacity;
    }
    return domains;
  }
}
