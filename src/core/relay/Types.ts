/** A caller's request on its way to a server, as seen by the decisions. */
import type { Disposable } from '../../ports/Types.js';
import type { Refusal } from '../Outcome.js';
import type { Stage } from '../routing/Types.js';
import type { BackendServer } from '../deployment/Types.js';

/** The parts of a request that reach the server unchanged. */
export interface ForwardedMessage {
  readonly method: string;
  /** Path with its query. */
  readonly target: string;
  /** Names and values by turns, without those that concern only one connection. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What a request to a model engine says of its prompt. */
export interface PromptSize {
  readonly promptTokens: number;
  /** Most tokens of the answer. */
  readonly maxAnswerTokens: number;
}

/** One request of a caller, read whole. */
export interface CallerRequest {
  /** Chosen by the caller; each of its attempts has another. */
  readonly id: string;
  readonly host: string;
  /** Path without its query. */
  readonly path: string;
  readonly key: string | undefined;
  /** Time at which the request had been read. */
  readonly arrivedAt: number;
  /** Time for which the caller waits from then on, in milliseconds; infinite when it does not say. */
  readonly deadlineMs: number;
  readonly prompt: PromptSize | undefined;
  /** Last event that the caller has of an interrupted stream. */
  readonly resumeAfter: string | undefined;
  readonly message: ForwardedMessage;
}

/** Sends an answer to a caller. */
export interface CallerReply {
  /** Sends status and headers of a server. */
  writeHead(answer: AnswerHead): void;
  write(chunk: Buffer): void;
  /** Ends a complete answer. */
  end(): void;
  refuse(refusal: Refusal): void;
  /** Breaks the connection, so that the answer cannot be taken for complete. */
  abort(): void;
}

/** Status and headers of a server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values by turns, without those that concern only one connection. */
  readonly headers: readonly string[];
  /** Whether the answer bears the server's signature. */
  readonly signed: boolean;
  /** Whether the server states that it did not run the request, nor ever will. */
  readonly notExecuted: boolean;
  /** Whether the blamed server is not the one expected, or does not hold its layers any longer. */
  readonly misdirected: boolean;
  /** Whether the body is the server's own, in no other encoding. */
  readonly identityEncoded: boolean;
  /** Server on the route that the answer blames. */
  readonly faultAddress: string | undefined;
}

/** What is known of a call that brought no complete answer. */
export enum CallFailure {
  /** Nothing of the request reached the server. */
  NotSent = 'not-sent',
  /** The connection broke after the request may have been read. */
  ConnectionLost = 'lost',
  /** The answer belongs to another request. */
  MismatchedAnswer = 'foreign',
  /** No connection came about in time. */
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
}

/** Takes what comes back on one call. */
export interface ServerCallListener {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  /** The answer is complete. */
  onEnd(): void;
  onFailure(failure: CallFailure): void;
}

/** What the first server of a route says of a new route for a running request. */
export enum RerouteStatus {
  Accepted = 'taken',
  /** The server has no such request. */
  Unknown = 'unknown',
  /** A server of the new route cannot take part. */
  Rejected = 'refused',
  /** No answer. */
  NoAnswer = 'lost',
}

export interface RerouteAnswer {
  readonly status: RerouteStatus;
  /** Server that cannot take part. */
  readonly faultAddress?: string;
}

/** Calls servers. Disposing a call closes its connection, which stops the server's work. */
export interface ServerPort {
  call(call: ServerCall, listener: ServerCallListener): Disposable;
  /**
   * Moves a running request to another route that begins at the same server with the same layers.
   * @param id - the first server
   * @param address - its address
   */
  reroute(
    id: string,
    address: string,
    requestId: string,
    stages: readonly Stage[],
    timeoutMs: number,
  ): Promise<RerouteAnswer>;
}

/** A request in progress. */
export interface Relay {
  /** The caller is gone. */
  cancel(): void;
}
