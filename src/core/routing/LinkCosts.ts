/**
 * Costs of transfers between failure domains. All transfers between two domains share a link, one after
 * another, so that each waits for those before it.
 */
import type { EngineProfile } from '../deployment/Types.js';
import type { DomainPair } from './DomainLinks.js';
import type { ServerLoad } from './ServerLoad.js';
import type { Stage } from './Types.js';

/** Cost of a transfer from one failure domain to another, in milliseconds; Infinity if there must be none. */
export type LinkCost = (from: string, to: string) => number;

/** Factor on the time of a transfer, for the wait for transfers that are not known here. */
const LINK_CONTENTION_FACTOR = 3;

/** Decides whether a link has room for one more transfer. */
export type LinkAdmission = (pair: DomainPair) => boolean;

/** Returns the name under which the transfers between two failure domains count as outstanding work. */
export function linkName(from: string, to: string): string {
  return from < to ? `link:${from}|${to}` : `link:${to}|${from}`;
}

/** Lists the links that a route crosses, once for each crossing. */
export function crossedLinks(stages: readonly Stage[]): string[] {
  const links: string[] = [];
  let previous: string | undefined;
  for (const { failureDomain } of stages) {
    if (previous !== undefined && failureDomain !== undefined && failureDomain !== previous)
      links.push(linkName(previous, failureDomain));
    previous = failureDomain;
  }
  return links;
}

/**
 * Prepares the costs of the links for one route search.
 * @param tokens - tokens whose activations the request transfers
 * @param hasRoom - asked once for each link of the search
 */
export function linkCosts(
  engine: EngineProfile,
  load: ServerLoad,
  tokens: number,
  hasRoom: LinkAdmission,
): LinkCost {
  const tokenMs = (engine.activationBytes * 8) / (engine.crossDomainMbps * 1000);
  const transferMs = tokenMs * tokens;
  const costOf = (pair: DomainPair): number => {
    if (!hasRoom(pair)) return Infinity;
    const backlogMs = tokenMs * load.prefillTokens(linkName(pair.from, pair.to));
    return LINK_CONTENTION_FACTOR * transferMs + backlogMs;
  };
  // A search asks for each link at each layer boundary; both directions share the cost.
  const known = new Map<string, Map<string, number>>();
  const costsFrom = (domain: string): Map<string, number> => {
    let costs = known.get(domain);
    if (costs === undefined) {
      costs = new Map();
      known.set(domain, costs);
    }
    return costs;
  };
  return (from, to) => {
    const costs = costsFrom(from);
    let cost = costs.get(to);
    if (cost === undefined) {
      cost = costOf({ from, to });
      costs.set(to, cost);
      costsFrom(to).set(from, cost);
    }
    return cost;
  };
}
