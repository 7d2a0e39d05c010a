/** Change tickets and the objects that they contain. */

export enum ObjectKind {
  ClientAccount = 'ClientAccount',
  Pipeline = 'Pipeline',
  BackendServer = 'BackendServer',
  PlainService = 'PlainService',
}

/** A customer whose callers share keys, limits and a weight. */
export interface ClientAccount {
  /** SHA-256 of each accepted bearer key, in hex. */
  readonly keyHashes: readonly string[];
  /** Share of a contended pipeline, relative to other accounts. */
  readonly weight: number;
  /** Allowed requests per second over all instances. */
  readonly requestsPerSecond: number;
  /** Allowed requests in progress over all instances. */
  readonly concurrency: number;
}

/** A model that is split into layers. */
export interface Pipeline {
  readonly layers: number;
  /** Whether a request may run again after a failure. */
  readonly idempotent: boolean;
  /** Maximum number of tokens in one answer. */
  readonly maxTokens: number;
  /** Maximum time from the arrival of a request to its last token, in milliseconds. */
  readonly deadlineMs: number;
  /** Target time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Target time between tokens, in milliseconds. */
  readonly tokenGapMs: number;
  /** Time of one layer for one token at a full batch, in milliseconds, by accelerator kind. */
  readonly layerMs: Readonly<Record<string, number>>;
}

/** Layers [from, to) of a pipeline. */
export interface LayerRange {
  readonly pipeline: string;
  readonly from: number;
  readonly to: number;
}

/** A machine that runs layers or plain services. */
export interface BackendServer {
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Accelerator kind; a key of the pipelines' `layerMs`. */
  readonly accelerator: string;
  readonly layerRanges: readonly LayerRange[];
  /** Plain services that the server runs. */
  readonly services: readonly string[];
  /** Maximum number of sequences in one batch of the server. */
  readonly maxSequences: number;
  /** One-way delay of the server's own link, in milliseconds. */
  readonly linkMs: number;
  /** A leaving server gets no new work. */
  readonly leaving: boolean;
  /** Whether the server rejects an order with an old fencing number. */
  readonly checksFence: boolean;
}

/** Rule that says whether matching calls of a plain service may be repeated. */
export interface PlainRule {
  readonly method: string;
  /** Prefix of the path below the service. */
  readonly path: string;
  readonly repeatable: boolean;
}

/** A service other than a model engine. Calls that match no rule may not be repeated. */
export interface PlainService {
  readonly rules: readonly PlainRule[];
  /** Time limit of one call, in milliseconds. */
  readonly timeoutMs: number;
}

/** Type of the state of each kind of object. */
export interface ObjectStates {
  [ObjectKind.ClientAccount]: ClientAccount;
  [ObjectKind.Pipeline]: Pipeline;
  [ObjectKind.BackendServer]: BackendServer;
  [ObjectKind.PlainService]: PlainService;
}

export type ObjectState = ObjectStates[ObjectKind];

/** The whole new state of one object, or its removal. */
export interface Change {
  readonly kind: ObjectKind;
  readonly name: string;
  /** Number of the ticket that last changed or removed the object; 0 when it is new. */
  readonly base: number;
  /** Absent when the object is removed. */
  readonly state?: ObjectState;
}

/** A change ticket as its author writes it. */
export interface ChangeTicket {
  readonly author: string;
  readonly reason: string;
  readonly changes: readonly Change[];
}

/** A ticket that was committed under a number. */
export interface CommittedTicket extends ChangeTicket {
  readonly number: number;
  readonly submission: string;
  /** Wall-clock time of the commit, ISO 8601. */
  readonly at: string;
}

/** An object in force, with the ticket that set its state. */
export interface ObjectInForce<K extends ObjectKind = ObjectKind> {
  readonly kind: K;
  readonly name: string;
  readonly state: ObjectStates[K];
  readonly ticket: number;
  /** Number of the ticket that last changed or removed the object before; 0 for a new object. */
  readonly replaced: number;
  readonly author: string;
  readonly reason: string;
  readonly at: string;
}

/** All objects in force at one ticket number. */
export interface Snapshot {
  readonly number: number;
  readonly objects: readonly ObjectInForce[];
  /** Last ticket of each removed object, keyed `kind/name`. */
  readonly removed: Readonly<Record<string, number>>;
}
