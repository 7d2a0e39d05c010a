/** Chooses the server of a plain service. */
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { ServerAdmission } from './ServerAdmission.js';
import type { PaceLimit } from '../pace/Types.js';
import type { ServerLoad } from './ServerLoad.js';
import { ServerRole } from './Types.js';

/** A remote server is used if the local servers are this much fuller, as a share of slots. */
const LOCAL_ADVANTAGE = 0.3;

/**
 * A server that rejected requests lately is used if all others are fuller by this much, as a multiple of
 * their slots.
 */
const DECLINING_COST = 4;

/** A server beyond its pace counts as if all of its slots were taken besides: others are filled first. */
const BEYOND_PACE_COST = 1;

/** The same for a request that another server has failed, which shows that others are short. */
const BEYOND_PACE_RETRY_COST = 0.5;

/** What the choice of a plain service's server depends on. */
export interface PlainServerQuery {
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly serverAdmission: ServerAdmission;
  readonly pace: PaceLimit;
  readonly service: string;
  readonly localDomain: string;
  /** Servers that must not be used. */
  readonly avoid: ReadonlySet<string>;
}

/**
 * Chooses the least filled server of a service that may be given a request, with a preference for the local
 * failure domain, for servers that have not rejected requests lately and for those within their pace.
 * @returns undefined if there is no such server
 */
export function choosePlainServer({
  directory,
  load,
  serverAdmission,
  pace,
  service,
  localDomain,
  avoid,
}: PlainServerQuery): KnownServer | undefined {
  const beyondPaceCost = avoid.size > 0 ? BEYOND_PACE_RETRY_COST : BEYOND_PACE_COST;
  let best: KnownServer | undefined;
  let bestCost = Infinity;
  for (const server of directory.all()) {
    const { record } = server;
    if (record.service !== service || avoid.has(record.id)) continue;
    if (!serverAdmission.accepts(server, ServerRole.First)) continue;
    const remoteCost = record.failureDomain === localDomain ? 0 : LOCAL_ADVANTAGE;
    const decliningCost =
      serverAdmission.obstacle(server, ServerRole.First) === undefined ? 0 : DECLINING_COST;
    const paceCost = pace.allows(record.id) ? 0 : beyondPaceCost;
    const fill = load.requests(record.id) / Math.max(1, record.slots);
    const cost = fill + remoteCost + decliningCost + paceCost;
    if (cost >= bestCost) continue;
    best = server;
    bestCost = cost;
  }
  return best;
}
