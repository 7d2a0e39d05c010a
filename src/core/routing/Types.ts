/** Routes through a pipeline. */

/** One server's part of a route: layers [from, to). */
export interface Stage {
  readonly server: string;
  readonly address: string;
  readonly from: number;
  readonly to: number;
}

/** Stages that cover every layer once, in order. */
export interface Route {
  readonly stages: readonly Stage[];
  /** Predicted time of one token through all stages, in milliseconds. */
  readonly costMs: number;
}

/** A server's layers of one pipeline, as the planner sees them. */
export interface Candidate {
  readonly server: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly from: number;
  readonly to: number;
  /** Time of one layer for one token at a full batch, in milliseconds. */
  readonly layerMs: number;
  /** One-way time of the server's own link, in milliseconds. */
  readonly linkMs: number;
}

/** What every route choice depends on. */
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

/** A route choice by the measured busy time of servers. */
export interface RouteQuery extends RouteSearch {
  /** Busy time that a server adds to each token, in milliseconds. */
  readonly busyMs: (server: string) => number;
}

/** Prices of a route in milliseconds, for engines that say what their work takes. */
export interface RouteCosts {
  /** Passing a prompt's activations from one failure domain to another. */
  readonly crossDomainMs: number;
  /** Beginning in another failure domain: only the request's text and its answer pass between them. */
  readonly remoteEntryMs: number;
  /** Waiting at a server, whatever the number of its layers. */
  readonly serverMs: (server: string) => number;
}

/** A route choice by prices that are known beforehand. */
export interface PricedRouteQuery extends RouteSearch {
  readonly costs: RouteCosts;
}
