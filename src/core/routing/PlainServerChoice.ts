/** Chooses the server of a plain service. */
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { ServerAdmission } from './ServerAdmission.js';
import type { ServerLoad } from './ServerLoad.js';
import { ServerRole } from './Types.js';

/** A remote server is used if the local servers are this much fuller, as a share of slots. */
const LOCAL_ADVANTAGE = 0.3;

/**
 * A server that rejected requests lately is used if all others are fuller by this much, as a multiple of
 * their slots.
 */
const DECLINING_COST = 4;

/** What the choice of a plain service's server depends on. */
export interface PlainServerQuery {
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly serverAdmission: ServerAdmission;
  readonly service: string;
  readonly localDomain: string;
  /** Servers that must not be used. */
  readonly avoid: ReadonlySet<string>;
}

/**
 * Chooses the least filled server of a service that may be given a request, with a preference for the local
 * failure domain and for servers that have not rejected requests lately.
 * @returns undefined if there is no such server
 */
export function choosePlainServer({
  directory,
  load,
  serverAdmission,
  service,
  localDomain,
  avoid,
}: PlainServerQuery): KnownServer | undefined {
  let best: KnownServer | undefined;
  let bestCost = Infinity;
  for (const server of directory.all()) {
    const { record } = server;
    if (record.service !== service || avoid.has(record.id)) continue;
    if (!serverAdmission.accepts(server, ServerRole.First)) continue;
    const remoteCost = record.failureDomain === localDomain ? 0 : LOCAL_ADVANTAGE;
    const decliningCost =
      serverAdmission.obstacle(server, ServerRole.First) === undefined ? 0 : DECLINING_COST;
    const cost = load.requests(record.id) / Math.max(1, record.slots) + remoteCost + decliningCost;
    if (cost >= bestCost) continue;
    best = server;
    bestCost = cost;
  }
  return best;
}
