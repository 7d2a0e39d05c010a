/** Looks up the configured routes and the accounts of one deployment. */
import type { ClientAccount, Deployment, RequestRoute } from './Types.js';

/** Longest prefix first; the name decides between equal ones, so that the order of the list does not matter. */
function byPrefixLength(a: RequestRoute, b: RequestRoute): number {
  return b.prefix.length - a.prefix.length || (a.name < b.name ? -1 : 1);
}

/** The shortest objective of the requests of each rank, in milliseconds; undefined if they have none. */
type ObjectivesByRank = Map<number, number | undefined>;

/** Ranks that requests of each service may have, with their objectives. */
function ranksByService({
  routes,
  accounts,
}: Deployment): ReadonlyMap<string, ReadonlyMap<number, number | undefined>> {
  const ranks = new Map<string, ObjectivesByRank>();
  for (const route of routes) {
    for (const { service } of route.shares) {
      const known: ObjectivesByRank = ranks.get(service) ?? new Map();
      for (const { rank = route.rank } of accounts ?? [{}])
        known.set(rank, shorter(known.get(rank), route.objectiveMs));
      ranks.set(service, known);
    }
  }
  return ranks;
}

function shorter(one: number | undefined, other: number | undefined): number | undefined {
  return one === undefined || other === undefined ? (one ?? other) : Math.min(one, other);
}

export class RouteTable {
  /** Routes of each host, longest prefix first. */
  private readonly routesByHost = new Map<string, RequestRoute[]>();

  private readonly accountsByKey = new Map<string, ClientAccount>();

  private readonly ranksByService: ReadonlyMap<string, ReadonlyMap<number, number | undefined>>;

  public constructor(public readonly deployment: Deployment) {
    for (const route of deployment.routes) {
      const routes = this.routesByHost.get(route.host);
      if (routes === undefined) this.routesByHost.set(route.host, [route]);
      else routes.push(route);
    }
    for (const routes of this.routesByHost.values()) routes.sort(byPrefixLength);
    for (const account of deployment.accounts ?? []) {
      for (const key of account.keys) this.accountsByKey.set(key, account);
    }
    this.ranksByService = ranksByService(deployment);
  }

  /** Whether requests on routes that are not public need a key. */
  public get needsKeys(): boolean {
    return this.deployment.accounts !== undefined;
  }

  /**
   * Finds the route with the longest prefix.
   * @param host - name of the host, without a port
   * @param path - path without its query
   */
  public routeFor(host: string, path: string): RequestRoute | undefined {
    for (const route of this.routesByHost.get(host) ?? []) {
      if (path.startsWith(route.prefix)) return route;
    }
    return undefined;
  }

  /** Returns the ranks that requests to a service may have, the most urgent first. */
  public ranksOf(service: string): number[] {
    return [...(this.ranksByService.get(service)?.keys() ?? [])].sort((a, b) => a - b);
  }

  /** Whether the routes of a service, or the accounts that use it, differ in rank. */
  public hasRanks(service: string): boolean {
    return (this.ranksByService.get(service)?.size ?? 0) > 1;
  }

  /**
   * Returns the shortest objective among requests to a service that are more urgent than a rank.
   * @returns milliseconds; undefined if there are no such requests, or none of them has an objective
   */
  public objectiveAbove(service: string, rank: number): number | undefined {
    let shortest: number | undefined;
    for (const [other, objectiveMs] of this.ranksByService.get(service) ?? [])
      if (other < rank) shortest = shorter(shortest, objectiveMs);
    return shortest;
  }

  /**
   * Returns the rank that requests have.
   * @param routeName - their route
   * @param accountName - their account; undefined if they need none
   * @returns undefined if there is no such route any more
   */
  public rankOf(routeName: string, accountName: string | undefined): number | undefined {
    const account = this.deployment.accounts?.find(({ name }) => name === accountName);
    const route = this.deployment.routes.find(({ name }) => name === routeName);
    return account?.rank ?? route?.rank;
  }

  public accountOf(key: string): ClientAccount | undefined {
    return this.accountsByKey.get(key);
  }
}
