/** Looks up the configured routes and the accounts of one deployment. */
import type { ClientAccount, Deployment, RequestRoute } from './Types.js';

/** Longest prefix first; the name decides between equal ones, so that the order of the list does not matter. */
function byPrefixLength(a: RequestRoute, b: RequestRoute): number {
  return b.prefix.length - a.prefix.length || (a.name < b.name ? -1 : 1);
}

/** Rank of the requests of accounts that have none of their own, and of requests without an account. */
const DEFAULT_ACCOUNT_RANK = 1;

/** Requests to one service that have the same rank. */
interface RankClass {
  readonly accountRank: number;
  readonly routeRank: number;
  /** The shortest of their objectives, in milliseconds; undefined if they have none. */
  objectiveMs: number | undefined;
}

/** The rank of the account is compared first; that of the route decides among equals. */
function byUrgency(a: RankClass, b: RankClass): number {
  return a.accountRank - b.accountRank || a.routeRank - b.routeRank;
}

/** Ranks of the accounts that may use a route that is not public. */
function ranksOfAccounts(accounts: readonly ClientAccount[] | undefined): ReadonlySet<number> {
  if (accounts === undefined) return new Set([DEFAULT_ACCOUNT_RANK]);
  return new Set(accounts.map(({ rank = DEFAULT_ACCOUNT_RANK }) => rank));
}

/** Classes of the requests that each service may get, the most urgent first. */
function classesByService({
  routes,
  accounts,
}: Deployment): ReadonlyMap<string, readonly RankClass[]> {
  const found = new Map<string, RankClass[]>();
  const ranks = ranksOfAccounts(accounts);
  const publicRanks = new Set(ranks).add(DEFAULT_ACCOUNT_RANK);
  for (const { rank: routeRank, objectiveMs, isPublic, shares } of routes) {
    const accountRanks = isPublic ? publicRanks : ranks;
    for (const { service } of shares) {
      const classes = found.get(service) ?? [];
      found.set(service, classes);
      for (const accountRank of accountRanks) {
        const entry = { accountRank, routeRank, objectiveMs };
        const known = classes.find((other) => byUrgency(other, entry) === 0);
        if (known === undefined) classes.push(entry);
        else known.objectiveMs = shorter(known.objectiveMs, objectiveMs);
      }
    }
  }
  for (const classes of found.values()) classes.sort(byUrgency);
  return found;
}

function shorter(one: number | undefined, other: number | undefined): number | undefined {
  return one === undefined || other === undefined ? (one ?? other) : Math.min(one, other);
}

export class RouteTable {
  /** Routes of each host, longest prefix first. */
  private readonly routesByHost = new Map<string, RequestRoute[]>();

  private readonly accountsByKey = new Map<string, ClientAccount>();

  private readonly classesByService: ReadonlyMap<string, readonly RankClass[]>;

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
    this.classesByService = classesByService(deployment);
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
    return [...(this.classesByService.get(service) ?? []).keys()];
  }

  /** Whether the routes of a service, or the accounts that use it, differ in rank. */
  public hasRanks(service: string): boolean {
    return (this.classesByService.get(service)?.length ?? 0) > 1;
  }

  /**
   * Returns the shortest objective among requests to a service that are more urgent than a rank.
   * @returns milliseconds; undefined if there are no such requests, or none of them has an objective
   */
  public objectiveAbove(service: string, rank: number): number | undefined {
    let shortest: number | undefined;
    for (const { objectiveMs } of this.classesByService.get(service)?.slice(0, rank) ?? [])
      shortest = shorter(shortest, objectiveMs);
    return shortest;
  }

  /**
   * Returns the rank of requests to a service: 0 for the most urgent that the configuration allows.
   * @param route - a route to the service
   * @param account - undefined if the requests need none
   */
  public rankFor(service: string, route: RequestRoute, account: ClientAccount | undefined): number {
    return this.findRank(service, route, account) ?? 0;
  }

  /**
   * Returns the rank of requests by the names of their route and account.
   * @param accountName - undefined if the requests need no account
   * @returns undefined if there is no such account any more, or no such route to the service
   */
  public rankOf(
    service: string,
    routeName: string,
    accountName: string | undefined,
  ): number | undefined {
    const account = this.deployment.accounts?.find(({ name }) => name === accountName);
    const route = this.deployment.routes.find(({ name }) => name === routeName);
    if (route === undefined || account?.name !== accountName) return undefined;
    return this.findRank(service, route, account);
  }

  private findRank(
    service: string,
    { rank: routeRank }: RequestRoute,
    account: ClientAccount | undefined,
  ): number | undefined {
    const accountRank = account?.rank ?? DEFAULT_ACCOUNT_RANK;
    const own = { accountRank, routeRank, objectiveMs: undefined };
    const classes = this.classesByService.get(service) ?? [];
    const rank = classes.findIndex((other) => byUrgency(other, own) === 0);
    return rank === -1 ? undefined : rank;
  }

  public accountOf(key: string): ClientAccount | undefined {
    return this.accountsByKey.get(key);
  }
}
