/** A caller's request on its way to a server, independent of the transport. */
import type { Disposable } from '../../ports/Types.js';
import type { MemoryShare } from '../limits/MemoryShare.js';
import type { Refusal } from '../Outcome.js';
import type { Stage } from '../routing/Types.js';
import type { BackendServer } from '../deployment/Types.js';

/** The parts of a request that are forwarded to the server unchanged. */
export interface ForwardedMessage {
  readonly method: string;
  /** Path with its query. */
  readonly target: string;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Token counts that a request to a model engine states. */
export interface PromptSize {
  readonly promptTokens: number;
  /** Maximum number of tokens in the answer. */
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the number of tokens in the answer, which is often far off; undefined if it gives none. */
  readonly expectedAnswerTokens?: number;
}

/** A caller's request after it has been read completely. */
export interface CallerRequest {
  /** Chosen by the caller; each of its attempts has a different id. */
  readonly id: string;
  readonly host: string;
  /** Path without its query. */
  readonly path: string;
  readonly apiKey: string | undefined;
  /** Time at which the request had been read completely. */
  readonly arrivedAt: number;
  /** Time from `arrivedAt` for which the caller waits, in milliseconds; infinite if it states none. */
  readonly deadlineMs: number;
  readonly prompt: PromptSize | undefined;
  /** Ids of the parts of the prompt that other requests may have as well, in order. */
  readonly sharedPromptParts: readonly string[];
  /** Id of the last part of the prompt, which is the request's or its session's own. */
  readonly ownPromptPart: string | undefined;
  /** Id of the last event that the caller received of an interrupted stream. */
  readonly resumeAfter: string | undefined;
  readonly message: ForwardedMessage;
  /** Memory that the request takes of the process: its body, and what is kept of its answer. */
  readonly memory: MemoryShare;
}

/** Sends an answer to a caller. */
export interface CallerReply {
  /** Sends the status and headers of a server's answer. */
  writeHead(answer: AnswerHead): void;
  /** @returns false if the caller has not taken the bytes yet; `onceTaken` tells when it has */
  write(chunk: Buffer): boolean;
  /** Calls `listener` once the caller has taken what was written; never if its connection closes before. */
  onceTaken(listener: () => void): void;
  /**
   * Writes the rest of a complete answer as fast as the caller takes it, and ends it.
   * @param parts - counted in `memory`, from which they are removed once they are written
   */
  endWith(parts: readonly Buffer[], memory: MemoryShare): void;
  /** Ends a complete answer. */
  end(): void;
  refuse(refusal: Refusal): void;
  /** Closes the connection abruptly, so that the answer cannot be mistaken for a complete one. */
  abort(): void;
}

/** Status and headers of a server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** Whether the status and the headers can be sent to a caller; a server in trouble may break their syntax. */
  readonly sendable: boolean;
  /** Whether the answer carries the server's signature. */
  readonly signed: boolean;
  /** Whether the server states that it did not run the request and never will. */
  readonly notExecuted: boolean;
  /** Whether the blamed server is not the expected one or no longer holds its layers. */
  readonly misdirected: boolean;
  /** Whether the body has no content encoding, and no transfer coding that is not decoded. */
  readonly identityEncoded: boolean;
  /** Whether a length or chunks delimit the body; otherwise it ends with its connection. */
  readonly isDelimited: boolean;
  /** Requests per second that the server takes from all instances together; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Address of the server on the route that the answer blames. */
  readonly blamedAddress: string | undefined;
}

/** Why a call brought no complete answer. */
export enum CallFailure {
  /** Nothing of the request reached the server. */
  NotSent = 'not-sent',
  /** The connection was lost after the request may have been read. */
  ConnectionLost = 'lost',
  /** The answer belongs to another request, or cannot be verified as the server's own. */
  MismatchedAnswer = 'foreign',
  /** The answer, or an event of it, exceeds its maximum size, or bytes arrive that belong to no answer. */
  TooLong = 'too-long',
  /** No connection was established in time. */
  ConnectTimeout = 'connect-timeout',
}

/** One send of a request to a server. */
export interface ServerCall {
  readonly request: CallerRequest;
  readonly server: BackendServer;
  /** Servers of the route with their layers; empty for plain services. */
  readonly stages: readonly Stage[];
  /** Time left for the server, in milliseconds. */
  readonly deadlineMs: number;
  readonly account: string | undefined;
  readonly resumeAfter: string | undefined;
  /** Urgency for the server, from 0, the first, to `MAX_URGENCY`; undefined if all requests have the same. */
  readonly urgency?: number;
}

/** Urgency that a server assigns to the requests that it admits last. */
export const MAX_URGENCY = 9;

/** Receives the answer to one call. */
export interface ServerCallListener {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  /** The answer is complete. */
  onEnd(): void;
  onFailure(failure: CallFailure): void;
}

/** Answer of a route's first server to a reroute of a running request. */
export enum RerouteStatus {
  Accepted = 'taken',
  /** The server does not know the request. */
  UnknownRequest = 'unknown',
  /** A server on the new route cannot take part. */
  Rejected = 'refused',
  NoAnswer = 'lost',
}

export interface RerouteAnswer {
  readonly status: RerouteStatus;
  /** Address of the server that the answer blames because it cannot take part. */
  readonly blamedAddress?: string;
}

/** A call in progress. Disposing it closes its connection, which stops the server's work. */
export interface ServerConnection extends Disposable {
  /** Stops reading the answer, so that the server can send only what the network buffers. */
  pause(): void;
  resume(): void;
}

/** Calls servers. */
export interface ServerPort {
  call(call: ServerCall, listener: ServerCallListener): ServerConnection;
  /**
   * Moves a running request to another route that begins at the same server with the same layers.
   * @param serverId - id of that server, the first of the route
   * @param address - its address
   * @param requestId - id of the running request
   * @returns `NoAnswer` if the server does not answer within `timeoutMs` milliseconds
   */
  reroute(
    serverId: string,
    address: string,
    requestId: string,
    stages: readonly Stage[],
    timeoutMs: number,
  ): Promise<RerouteAnswer>;
}

/** A request in progress. */
export interface Relay {
  /** Ends the request because its caller has disconnected. */
  cancel(): void;
  /** Ends the request because the process has no memory left for it. */
  evict(): void;
}
