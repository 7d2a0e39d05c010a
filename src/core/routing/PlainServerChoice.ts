/** Chooses the server of a plain service. */
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { ServerLoad } from './ServerLoad.js';

/** A server elsewhere is used when the home servers are this much fuller, as a share of slots. */
const LOCAL_ADVANTAGE = 0.3;

/** A server that turned requests away is used when all others are fuller than this, as a share of slots. */
const DECLINING_COST = 4;

/**
 * The least filled usable server of a service, the own failure domain first.
 * @returns undefined when no server may be used
 */
export function choosePlainServer(
  directory: ServerDirectory,
  load: ServerLoad,
  service: string,
  localDomain: string,
  avoid: ReadonlySet<string>,
): KnownServer | undefined {
  let best: KnownServer | undefined;
  let bestCost = Infinity;
  for (const server of directory.all()) {
    const { record } = server;
    if (record.service !== service || avoid.has(record.id)) continue;
    if (!directory.isWorking(record.id)) continue;
    const remoteCost = record.failureDomain === localDomain ? 0 : LOCAL_ADVANTAGE;
    const decliningCost = directory.unusableReason(server) === undefined ? 0 : DECLINING_COST;
    const cost = load.requests(record.id) / Math.max(1, record.slots) + remoteCost + decliningCost;
    if (cost >= bestCost) continue;
    best = server;
    bestCost = cost;
  }
  return best;
}
