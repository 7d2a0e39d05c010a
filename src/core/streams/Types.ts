/** Token streams between this instance and the engine of a route's first stage. */
import type { Disposable } from '../../ports/Types.js';
import type { Stage } from '../routing/Types.js';
import type { LayerRange } from '../tickets/Types.js';

export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
}

/** Values per hop in `TokenFrame.hops`: from, to, epoch. */
export const VALUES_PER_HOP = 3;

/** One token. The engine adapter reuses the frame; listeners copy what they keep. */
export interface TokenFrame {
  epoch: number;
  /** Position within the answer, from 0. */
  index: number;
  text: string;
  /** Layers that ran, with their epoch, in order of execution: `VALUES_PER_HOP` values per hop. */
  hops: Int32Array;
  hopCount: number;
}

/** A request to run a stream. */
export interface StreamOpening {
  readonly request: string;
  readonly epoch: number;
  readonly pipeline: string;
  readonly stages: readonly Stage[];
  readonly prompt: string;
  /** Index of the first token to generate; earlier ones were delivered under older epochs. */
  readonly resumeAt: number;
  /** Text of the answer up to `resumeAt`. */
  readonly answered: string;
  readonly maxTokens: number;
  readonly priority: number;
}

export enum EngineFailureKind {
  /** No connection could be made; nothing was sent. */
  NotConnected = 'not-connected',
  /** The connection was lost after the request was sent. */
  ConnectionLost = 'reset',
  /** A stage reported that the named server failed. */
  StageFailed = 'stage-failed',
  /** The named server rejects new work because it is leaving; nothing of this epoch ran there. */
  Leaving = 'leaving',
  /** The named server has not loaded the layers yet; nothing of this epoch ran there. */
  Loading = 'loading',
  /** A stage knows of a later epoch. */
  StaleEpoch = 'stale-epoch',
}

/** Why a stream failed. */
export interface EngineFailure {
  readonly kind: EngineFailureKind;
  /** The server at fault; empty if unknown. */
  readonly server: string;
}

/** Receives the tokens of an engine stream, then its end or failure. */
export interface EngineListener {
  onToken(frame: TokenFrame): void;
  onEnd(finish: FinishReason, tokens: number): void;
  onFailure(failure: EngineFailure): void;
}

/** State that a server reports about itself. */
export interface EngineReport {
  /** Busy time that the server adds to each token, in milliseconds. */
  readonly busyMs: number;
  /** Fraction of the time since the last report in which the server was busy, from 0 to 1. */
  readonly utilisation?: number;
  /** Duration of its steps since the last report, as a multiple of their expected duration. */
  readonly slowdown?: number;
  readonly leaving: boolean;
  /** Layers in memory; undefined if the server does not report them. */
  readonly loaded?: readonly LayerRange[];
}

/** Complete target state of a server. */
export interface ServerOrder {
  /** Fencing number of the lease under which the order is sent. */
  readonly fence: number;
  readonly ranges: readonly LayerRange[];
}

/** Opens and cancels streams at model engines. */
export interface Engine {
  /** Opens a stream; disposing the result cancels it at the engine. */
  open(opening: StreamOpening, listener: EngineListener): Disposable;
  /** Asks a server for its report; rejects when it does not answer within `timeoutMs`. */
  probe(address: string, timeoutMs: number): Promise<EngineReport>;
  /** Sends an order; the promise rejects if the server does not accept it within `timeoutMs`. */
  order(address: string, order: ServerOrder, timeoutMs: number): Promise<void>;
}
