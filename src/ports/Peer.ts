/**
 * Calls between entry instances: exchange of their states and of accepted tickets, queries about claims,
 * forwarded requests and handed-over keys.
 */
import type { ServerMark } from '../core/membership/ServerHealth.js';
import type { CrashEvidence } from '../core/quarantine/Types.js';
import type { CommittedTicket, Snapshot } from '../core/tickets/Types.js';
import type { StoredAnswer } from '../core/claims/Types.js';
import type { Refusal } from '../core/Outcome.js';

/** Busy time that the streams of one instance cause at a server, in milliseconds per token. */
export interface ServerBusyTime {
  readonly server: string;
  readonly busyMs: number;
}

/** Factor by which a server is busier than its streams suggest; 0 withdraws an earlier factor. */
export interface ServerCorrection {
  readonly server: string;
  readonly factor: number;
}

/** A quantity of one account: requests per second, or requests in progress. */
export interface AccountValue {
  readonly account: string;
  readonly value: number;
}

/** Sequence number of the latest change of each kind. */
export interface Sequences {
  readonly busy: number;
  readonly rates: number;
  readonly inFlight: number;
  readonly corrections: number;
}

/** A mark on a server, as reported to a peer. */
export interface ReportedMark {
  readonly server: string;
  readonly mark: ServerMark;
  /** Time until the mark expires, in milliseconds. */
  readonly remainingMs: number;
}

/** States that the keys minted by an incarnation are now held by another instance. */
export interface Heir {
  readonly incarnation: string;
  readonly instance: string;
  /** Time until the keys expire, in milliseconds. */
  readonly remainingMs: number;
}

/** State that an instance reports about itself in an exchange. */
export interface PeerState {
  readonly instance: string;
  readonly incarnation: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Number of the last ticket applied. */
  readonly applied: number;
  /**
   * Time since the table service last confirmed the head (the number of the newest ticket) to this instance
   * or its peers, in milliseconds.
   */
  readonly headAgeMs: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Fraction of every limit that is guaranteed to the instance. */
  readonly guarantee: number;
  /** Sequence number of the last change in this message, by kind. */
  readonly sequences: Sequences;
  /** Last incarnation of the receiver that this instance received state from. */
  readonly seenIncarnation: string;
  /** Sequence numbers received from that incarnation. */
  readonly seen: Sequences;
  /** Busy times that changed since the receiver last received them. */
  readonly busy: readonly ServerBusyTime[];
  readonly marks: readonly ReportedMark[];
  /** Demand of the accounts whose demand changed, in requests per second. */
  readonly rates: readonly AccountValue[];
  /** Demand of the accounts whose demand changed, in requests in progress. */
  readonly inFlight: readonly AccountValue[];
  /** Corrections that changed, for servers that the instance probes. */
  readonly corrections: readonly ServerCorrection[];
  readonly heirs: readonly Heir[];
}

/**
 * Message that one side of an exchange sends. The state is only a hint, except that `applied`, `ready` and
 * `headAgeMs` confirm the head. The tickets are copies of accepted ones.
 */
export interface PeerExchange {
  readonly state: PeerState;
  /** Tickets that the other side has not applied, oldest first. */
  readonly tickets: readonly CommittedTicket[];
  /** Evidence of prompts under which servers crash; undefined if there is none. */
  readonly evidence?: CrashEvidence;
}

/** A keyed request forwarded to the instance that minted its key, or to which the key was handed over. */
export interface ForwardedCall {
  readonly account: string;
  readonly key: string;
  /** SHA-256 of the request. */
  readonly digest: string;
  /** Path of the request in the callers' interface. */
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Base64 of the body. */
  readonly body: string;
}

/**
 * The result of a forwarded request: an answer or a refusal; neither when the key is not held or its request
 * ended without an answer.
 */
export interface ForwardedAnswer {
  readonly answer?: StoredAnswer;
  readonly refusal?: Refusal;
}

/** State of a minted key. */
export interface MintedKey {
  readonly key: string;
  readonly account: string;
  /** Empty until the key is first used. */
  readonly digest: string;
  readonly answer?: StoredAnswer;
}

/** Minted keys that a stopping instance hands over to a peer. */
export interface HandOver {
  /** Incarnations that minted the keys: the stopping one and those whose keys were handed over to it. */
  readonly incarnations: readonly string[];
  readonly keys: readonly MintedKey[];
}

/**
 * Calls to peers. Every method rejects with a `Failure` of kind `PeerUnavailable` when the call
 * fails.
 */
export interface PeerLink {
  exchange(address: string, message: PeerExchange): Promise<PeerExchange>;
  snapshot(address: string): Promise<Snapshot>;
  /** Whether the peer still runs a claim attempt. */
  isRunning(address: string, attempt: string): Promise<boolean>;
  forward(address: string, call: ForwardedCall): Promise<ForwardedAnswer>;
  handOver(address: string, keys: HandOver): Promise<void>;
}

/** Handles the calls of peers; the counterpart of {@link PeerLink}. */
export interface PeerService {
  exchange(message: PeerExchange): PeerExchange;
  snapshot(): Snapshot;
  isRunning(attempt: string): boolean;
  forward(call: ForwardedCall): Promise<ForwardedAnswer>;
  handOver(keys: HandOver): void;
}
