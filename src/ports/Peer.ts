/** The link between entry instances. Everything said over it is a hint or a copy of an accepted ticket. */
import type { ServerMark } from '../core/membership/ServerHealth.js';
import type { CommittedTicket, Snapshot } from '../core/tickets/Types.js';
import type { StoredAnswer } from '../core/claims/Types.js';
import type { Refusal } from '../core/Outcome.js';

/** Busy time that one instance's streams put on a server, in milliseconds a token. */
export interface ServerBusyTime {
  readonly server: string;
  readonly busyMs: number;
}

/** Factor by which a server is busier than its streams suggest; 0 takes an earlier one back. */
export interface ServerCorrection {
  readonly server: string;
  readonly factor: number;
}

/** A quantity of one account: requests a second, or requests in progress. */
export interface AccountValue {
  readonly account: string;
  readonly value: number;
}

/** How far the changes of each kind go. */
export interface Sequences {
  readonly busy: number;
  readonly rates: number;
  readonly inFlight: number;
  readonly corrections: number;
}

/** A mark on a server as a peer heard it. */
export interface ReportedMark {
  readonly server: string;
  readonly mark: ServerMark;
  readonly remainingMs: number;
}

/** Says that the keys minted by an incarnation are now held by another instance. */
export interface Heir {
  readonly incarnation: string;
  readonly instance: string;
  /** Time until the keys have expired, in milliseconds. */
  readonly remainingMs: number;
}

/** What an instance says of itself in an exchange. */
export interface PeerState {
  readonly instance: string;
  readonly incarnation: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Number of the last ticket applied. */
  readonly applied: number;
  /** Time since the table service last confirmed the head to this instance or its peers, in milliseconds. */
  readonly headAgeMs: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Fraction of every limit that the instance owns. */
  readonly guarantee: number;
  /** How far the entries below go. */
  readonly sequences: Sequences;
  /** Incarnation of the addressee that was last heard, and how far it was seen. */
  readonly seenIncarnation: string;
  readonly seen: Sequences;
  /** Busy times that changed since the addressee last saw them. */
  readonly busy: readonly ServerBusyTime[];
  readonly marks: readonly ReportedMark[];
  /** Wanted requests a second that changed. */
  readonly rates: readonly AccountValue[];
  /** Wanted requests in progress that changed. */
  readonly inFlight: readonly AccountValue[];
  /** Corrections that changed, of servers that the instance probes. */
  readonly corrections: readonly ServerCorrection[];
  readonly heirs: readonly Heir[];
}

/** One side of an exchange. */
export interface PeerExchange {
  readonly state: PeerState;
  /** Tickets that the other side has not applied, oldest first. */
  readonly tickets: readonly CommittedTicket[];
}

/** A keyed request forwarded to the instance that minted its key. */
export interface ForwardedCall {
  readonly account: string;
  readonly key: string;
  readonly digest: string;
  /** Path of the callers' interface. */
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Base64. */
  readonly body: string;
}

/** The answer to a forwarded request: an answer or a refusal. */
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

/** Minted keys handed to a peer by an instance that stops. */
export interface HandOver {
  /** Incarnations whose keys these are: the stopping one and those that it inherited. */
  readonly incarnations: readonly string[];
  readonly keys: readonly MintedKey[];
}

/** Calls to peers. Every method rejects with `PeerUnavailable`. */
export interface PeerLink {
  exchange(address: string, message: PeerExchange): Promise<PeerExchange>;
  snapshot(address: string): Promise<Snapshot>;
  /** Whether the peer still runs a claim attempt. */
  isRunning(address: string, attempt: string): Promise<boolean>;
  forward(address: string, call: ForwardedCall): Promise<ForwardedAnswer>;
  handOver(address: string, keys: HandOver): Promise<void>;
}

/** Serves the same calls for peers. */
export interface PeerService {
  exchange(message: PeerExchange): PeerExchange;
  snapshot(): Snapshot;
  isRunning(attempt: string): boolean;
  forward(call: ForwardedCall): Promise<ForwardedAnswer>;
  handOver(keys: HandOver): void;
}
