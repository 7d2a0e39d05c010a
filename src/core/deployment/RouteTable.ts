/** Looks up the configured routes and the accounts of one deployment. */
import type { ClientAccount, Deployment, RequestRoute } from './Types.js';

/** Longest prefix first; the name decides between equal ones, so that the order of the list does not matter. */
function byPrefixLength(a: RequestRoute, b: RequestRoute): number {
  return b.prefix.length - a.prefix.length || (a.name < b.name ? -1 : 1);
}

/** Ranks that requests of each service may have. */
function ranksByService({
  routes,
  accounts,
}: Deployment): ReadonlyMap<string, ReadonlySet<number>> {
  const ranks = new Map<string, Set<number>>();
  for (const route of routes) {
    for (const { service } of route.shares) {
      const known = ranks.get(service) ?? new Set();
      for (const { rank = route.rank } of accounts ?? [{}]) known.add(rank);
      ranks.set(service, known);
    }
  }
  return ranks;
}

export class RouteTable {
  /** Routes of each host, longest prefix first. */
  private readonly routesByHost = new Map<string, RequestRoute[]>();

  private readonly accountsByKey = new Map<string, ClientAccount>();

  private readonly ranksByService: ReadonlyMap<string, ReadonlySet<number>>;

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

  /** Whether the routes of a service, or the accounts that use it, differ in rank. */
  public hasRanks(service: string): boolean {
    return (this.ranksByService.get(service)?.size ?? 0) > 1;
  }

  public accountOf(key: string): ClientAccount | undefined {
    return this.accountsByKey.get(key);
  }
}
