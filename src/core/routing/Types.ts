/** Routes through the servers of a pipeline or an engine, and the input of a route search. */

/** One server's part of a route: layers [from, to). */
export interface Stage {
  readonly server: string;
  readonly address: string;
  /** Undefined for stages whose transfers are not counted. */
  readonly failureDomain?: string;
  readonly from: number;
  readonly to: number;
}

/** Stages that cover every layer once, in order. */
export interface Route {
  readonly stages: readonly Stage[];
  /**
   * Cost by which the search compares routes, in milliseconds. For a `RouteQuery`, the predicted time of
   * one token with the costs of congestion and of rebuilding KV cache; for a `PricedRouteQuery`, the
   * cost of a whole request.
   */
  readonly costMs: number;
}

/** A server's layers of one pipeline or engine, as the planner sees them. */
export interface Candidate {
  readonly server: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly from: number;
  readonly to: number;
  /**
   * Time of one layer, in milliseconds: for a pipeline, of one token at a full batch; for an engine, of a
   * whole request, set by the search.
   */
  readonly layerMs: number;
  /**
   * Time of a stage besides its layers, in milliseconds: for a pipeline, one way of the server's own link;
   * for an engine, link, wait and use of memory, set by the search.
   */
  readonly linkMs: number;
}

/** Input of every route search. */
export interface RouteSearch {
  readonly candidates: readonly Candidate[];
  readonly layers: number;
  readonly localDomain: string;
  /** Whether a server may get new work. */
  readonly usable: (server: string) => boolean;
  /** Stages whose KV cache is worth keeping. */
  readonly kept: readonly Stage[];
  /** Time to rebuild the KV cache of one layer elsewhere, in milliseconds. */
  readonly rebuildLayerMs: number;
}

/** A route search by the busy time of servers. */
export interface RouteQuery extends RouteSearch {
  /** Busy time that a server adds to each token, in milliseconds. */
  readonly busyMs: (server: string) => number;
}

/** Costs of a route in milliseconds, for engines whose profile states the time of their work. */
export interface RouteCosts {
  /** Transfer of a request's activations from one failure domain to another; Infinity if there must be none. */
  readonly crossDomainMs: (from: string, to: string) => number;
  /** Start in a remote failure domain: only the request's text and its answer pass between the domains. */
  readonly remoteEntryMs: number;
  readonly server: (server: string) => ServerCost;
}

/** Predicted costs of a request at a server, in milliseconds. */
export interface ServerCost {
  /** Wait and use of memory, independent of how many layers the stage runs. */
  readonly stageMs: number;
  readonly layerMs: number;
}

/** A route search by given costs. */
export interface PricedRouteQuery extends RouteSearch {
  readonly costs: RouteCosts;
}

/** How a server takes part in a request. */
export enum ServerRole {
  /** Receives the request: the server of a plain service, or the first one of a route. */
  First = 'first',
  /** Serves layers of a route that begins at another server. */
  Later = 'later',
}
