/** What operators have put in force on a deployment, and what its servers say of themselves. */

/** What may be done again with a request. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each request of a caller. */
  NonIdempotent = 'non-idempotent',
  /** Answered by a series of numbered events. */
  Streaming = 'streaming',
}

/** A service that takes a share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Rules for the requests of one host below one path prefix. */
export interface RequestRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Whether an interrupted stream may go on at another server. */
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
  /** Servers that one request may be sent to. */
  readonly maxServers: number;
  /** Longest time for which a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** One kind of accelerator that an engine runs on. */
export interface Accelerator {
  readonly name: string;
  readonly memoryMb: number;
  /** Time of a step relative to the engine's own figures. */
  readonly stepFactor: number;
  /** Time of reading a prompt relative to the engine's own figures. */
  readonly readFactor: number;
}

/** A model engine whose layers are spread over several servers. */
export interface EngineProfile {
  readonly layers: number;
  readonly layerMb: number;
  /** KV cache of one token over all layers, in megabytes. */
  readonly tokenMb: number;
  /** Time of one step through all layers, in milliseconds. */
  readonly stepMs: number;
  /** Prompt tokens read in a millisecond by all layers. */
  readonly readTokensPerMs: number;
  /** Bytes that a token carries from one server to the next. */
  readonly activationBytes: number;
  /** Capacity of the link that all transfers between two failure domains share, in Mbit/s. */
  readonly crossDomainMbps: number;
  /** Mean tokens of a prompt. */
  readonly usualPromptTokens: number;
  /** Mean tokens of an answer. */
  readonly usualAnswerTokens: number;
  readonly accelerators: ReadonlyMap<string, Accelerator>;
}

/** A service that requests are routed to. */
export interface Service {
  readonly name: string;
  /** Absent for plain services and engines whose servers hold whole models. */
  readonly engine: EngineProfile | undefined;
}

/** A customer with the keys that its callers present. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  /** Time in which a request's head must arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Everything that operators have put in force, under one ticket number. */
export interface Deployment {
  readonly ticket: number;
  readonly routes: readonly RequestRoute[];
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined when requests need no keys. */
  readonly accounts: readonly ClientAccount[] | undefined;
  readonly limits: CallerLimits;
}

/** Layers [from, to). */
export interface LayerSpan {
  readonly from: number;
  readonly to: number;
}

/** What a backend server last said of itself. */
export interface BackendServer {
  readonly id: string;
  /** Grows with each change of the entry in the store. */
  readonly revision: number;
  /** Start of this run of the server; differs after each restart. */
  readonly incarnation: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Kind of accelerator; empty for plain services. */
  readonly accelerator: string;
  /** Layers that can be used now. */
  readonly span: LayerSpan | undefined;
}
