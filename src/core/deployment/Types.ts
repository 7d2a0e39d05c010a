/**
 * The configuration of a deployment, and the state that its servers report. Digests between router instances
 * carry both as JSON, under the names of the properties.
 */
import type { Revision } from '../store/Revision.js';

/** Whether the requests of a route may be repeated, and how they are answered. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each request of a caller. */
  NonIdempotent = 'non-idempotent',
  /** Answered with a stream of numbered events. */
  Streaming = 'streaming',
}

/** A service and its weight in the split of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/**
 * A configured route: rules for the requests of one host below one path prefix. The servers that a
 * request passes are a `Route` of core/routing.
 */
export interface RequestRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Whether an interrupted stream may be resumed at another server. */
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
  /** Largest number of servers that one request may be sent to. */
  readonly maxServers: number;
  /** Maximum time from a request's arrival to the end of its answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Rank of the route's requests among those of accounts of the same rank; 0 is the most urgent one. */
  readonly rank: number;
  /**
   * Time to the answer within which callers are well served, in milliseconds; for streams, to the first event.
   * Undefined if the operators state none.
   */
  readonly objectiveMs?: number;
  /** Longest pause between two events of a stream that is on time, in milliseconds. */
  readonly maxGapMs?: number;
}

/** One kind of accelerator that an engine runs on. */
export interface Accelerator {
  readonly name: string;
  readonly memoryMb: number;
  /** Time of a decode step as a multiple of the engine's `stepMs`. */
  readonly stepFactor: number;
  /** Prefill time as a multiple of the time that the engine's `readTokensPerMs` gives. */
  readonly readFactor: number;
}

/**
 * Profile of a model engine whose layers are spread over several servers. The counterpart in the
 * configuration of entry instances is `Pipeline`.
 */
export interface EngineProfile {
  readonly layers: number;
  readonly layerMb: number;
  /** KV cache of one token over all layers, in megabytes. */
  readonly tokenMb: number;
  /** Time of one decode step through all layers, in milliseconds. */
  readonly stepMs: number;
  /** Time that each running request adds to a decode step through all layers, in milliseconds. */
  readonly sequenceStepMs: number;
  /** Time that 1,000 tokens of context of a running request add to such a step, in milliseconds. */
  readonly contextStepMs: number;
  /** Decode steps of one pass over all waiting work; a prompt is read between passes. */
  readonly stepsPerPass: number;
  /** Maximum number of prompt tokens that are read in one step. */
  readonly prefillChunkTokens: number;
  /** Prefill rate through all layers, in prompt tokens per millisecond. */
  readonly readTokensPerMs: number;
  /** Activations that pass from one server to the next, in bytes per token. */
  readonly activationBytes: number;
  /** Capacity of the link that all transfers between two failure domains share, in Mbit/s. */
  readonly crossDomainMbps: number;
  /** Mean length of a prompt, in tokens. */
  readonly usualPromptTokens: number;
  /** Mean length of an answer, in tokens. */
  readonly usualAnswerTokens: number;
  readonly accelerators: ReadonlyMap<string, Accelerator>;
}

/** A service that requests are routed to. */
export interface Service {
  readonly name: string;
  /** Undefined for plain services and for engines whose servers hold whole models. */
  readonly engine: EngineProfile | undefined;
}

/** A customer with the keys that its callers present. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank of the account's requests, compared before that of their routes; 0 is the most urgent one. */
  readonly rank?: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  /** Size of a request's head. */
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time in which a request's head must arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** The complete configuration as of one change ticket. */
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

/** The state that a backend server last reported in its store entry. */
export interface BackendServer {
  readonly id: string;
  /** Grows with each change of the entry in the store, also when the store comes back from an older copy. */
  readonly revision: Revision;
  /**
   * Unix time at which the server's current run started, in milliseconds, so that it differs after each
   * restart; 0 if the entry does not state it. If several servers have had an address, the one with the
   * greatest value has it now.
   */
  readonly incarnation: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  /**
   * Whether an answer of this process has said that it is leaving; only a new process ends that. Entries in the
   * store do not say so, digests of peers do.
   */
  readonly saidLeaving?: true;
  /** Maximum number of requests that the server runs concurrently. */
  readonly slots: number;
  /**
   * How much longer the server expects to be slow after its start, in milliseconds; a hint that may be wrong.
   * Undefined if it states nothing.
   */
  readonly coldLeftMs?: number;
  /** Kind of accelerator; empty for plain services. */
  readonly accelerator: string;
  /** Layers that can be used now. */
  readonly span: LayerSpan | undefined;
}
