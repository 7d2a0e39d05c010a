/** Outcome of a request as reported to its caller. */
export enum Outcome {
  /** The complete answer was delivered. */
  Complete = 'complete',
  /** No part of the request ran, and none ever will. */
  NotRun = 'not-run',
  /** The request may have run. */
  Unknown = 'unknown',
}

/** Why a request was refused or ended early. Each reason has its own counter. */
export enum RefusalReason {
  BadRequest = 'bad-request',
  BodyTooLarge = 'body-too-large',
  Unauthorized = 'unauthorized',
  UnknownPipeline = 'unknown-pipeline',
  UnknownService = 'unknown-service',
  NotReady = 'not-ready',
  Stopping = 'stopping',
  /** The process ended before the answer was complete. */
  InstanceStopped = 'instance-stopped',
  QueueFull = 'queue-full',
  DeadlineUnreachable = 'deadline-unreachable',
  RateLimited = 'rate-limited',
  ConcurrencyLimited = 'concurrency-limited',
  NoRoute = 'no-route',
  /** Callers leave before the servers get to their requests; nothing was sent. */
  Overloaded = 'overloaded',
  /** The room that is left is kept for more urgent requests; nothing was sent. */
  RoomKept = 'room-kept',
  /** Servers crashed under requests with the same part; nothing was sent. */
  Quarantined = 'quarantined',
  /** The request was taken back from a server, because others crashed under requests with the same part. */
  Withdrawn = 'withdrawn',
  ClaimUnavailable = 'claim-unavailable',
  ClaimMismatch = 'claim-mismatch',
  ClaimHolderGone = 'claim-holder-gone',
  ServerLost = 'server-lost',
  AnswerTooLong = 'answer-too-long',
  /** The messages in progress take all of the memory that the process has for them; nothing was sent. */
  MemoryExhausted = 'memory-exhausted',
  /** Reading the body takes much processor time, which other requests need; nothing was sent. */
  ProcessorExhausted = 'processor-exhausted',
  /** The request was given up because the messages in progress took all of that memory. */
  Evicted = 'evicted',
  /** An unexpected error in the handling of the request. */
  InternalError = 'internal-error',
  CallerGone = 'caller-gone',
  DeadlinePassed = 'deadline-passed',
}

/** Why a request was retried or a running stream was rerouted. */
export enum RetryReason {
  /** The connection to the server was lost, or its answer could not be trusted. */
  ConnectionLost = 'reset',
  /** A server on the route failed or rejected the request. */
  StageFailed = 'stage-failed',
  /** A server on the route stopped sending data. */
  Silence = 'silence',
  /** A server on the route is leaving. */
  Leaving = 'leaving',
  /** A server on the route has not loaded its layers yet. */
  Loading = 'loading',
  /** No connection to the server could be opened, so nothing was sent. */
  NotConnected = 'not-connected',
  /** A server on the route became much slower than expected. */
  Degraded = 'degraded',
  /** The retry waits until the retry budget allows it. */
  BudgetWait = 'budget-wait',
}

/**
 * A refusal, or the early end of a request that may have run: the outcome, the reason and what the caller
 * can do.
 */
export interface Refusal {
  readonly outcome: Outcome;
  readonly reason: RefusalReason;
  /** HTTP status for the caller. */
  readonly status: number;
  /** What is wrong, with the remedy. */
  readonly message: string;
  /** Retry-after delay in milliseconds; 0 when waiting does not help. */
  readonly retryAfterMs: number;
}

interface RefusalDefaults {
  readonly status: number;
  readonly retryAfterMs: number;
}

const DEFAULTS: Readonly<Record<RefusalReason, RefusalDefaults>> = {
  [RefusalReason.BadRequest]: { status: 400, retryAfterMs: 0 },
  [RefusalReason.BodyTooLarge]: { status: 413, retryAfterMs: 0 },
  [RefusalReason.Unauthorized]: { status: 401, retryAfterMs: 0 },
  [RefusalReason.UnknownPipeline]: { status: 404, retryAfterMs: 0 },
  [RefusalReason.UnknownService]: { status: 404, retryAfterMs: 0 },
  [RefusalReason.NotReady]: { status: 503, retryAfterMs: 1000 },
  [RefusalReason.Stopping]: { status: 503, retryAfterMs: 1000 },
  [RefusalReason.InstanceStopped]: { status: 502, retryAfterMs: 0 },
  [RefusalReason.QueueFull]: { status: 429, retryAfterMs: 1000 },
  [RefusalReason.DeadlineUnreachable]: { status: 503, retryAfterMs: 2000 },
  [RefusalReason.RateLimited]: { status: 429, retryAfterMs: 1000 },
  [RefusalReason.ConcurrencyLimited]: { status: 429, retryAfterMs: 1000 },
  [RefusalReason.NoRoute]: { status: 503, retryAfterMs: 3000 },
  [RefusalReason.Overloaded]: { status: 503, retryAfterMs: 3000 },
  [RefusalReason.RoomKept]: { status: 503, retryAfterMs: 3000 },
  [RefusalReason.Quarantined]: { status: 503, retryAfterMs: 10_000 },
  [RefusalReason.Withdrawn]: { status: 502, retryAfterMs: 0 },
  [RefusalReason.ClaimUnavailable]: { status: 503, retryAfterMs: 2000 },
  [RefusalReason.ClaimMismatch]: { status: 422, retryAfterMs: 0 },
  [RefusalReason.ClaimHolderGone]: { status: 409, retryAfterMs: 0 },
  [RefusalReason.ServerLost]: { status: 502, retryAfterMs: 1000 },
  [RefusalReason.AnswerTooLong]: { status: 502, retryAfterMs: 1000 },
  [RefusalReason.MemoryExhausted]: { status: 503, retryAfterMs: 1000 },
  [RefusalReason.ProcessorExhausted]: { status: 503, retryAfterMs: 3000 },
  [RefusalReason.Evicted]: { status: 502, retryAfterMs: 1000 },
  [RefusalReason.InternalError]: { status: 502, retryAfterMs: 0 },
  [RefusalReason.CallerGone]: { status: 499, retryAfterMs: 0 },
  [RefusalReason.DeadlinePassed]: { status: 504, retryAfterMs: 0 },
};

/**
 * Creates a refusal with the default status and retry-after delay of its reason.
 * @param outcome - whether the request ran, as far as known
 * @param reason - why the request is refused
 * @param message - what is wrong, with the remedy
 * @param retryAfterMs - overrides the default retry-after delay, in milliseconds
 */
export function refusal(
  outcome: Outcome,
  reason: RefusalReason,
  message: string,
  retryAfterMs: number = DEFAULTS[reason].retryAfterMs,
): Refusal {
  return { outcome, reason, message, retryAfterMs, status: DEFAULTS[reason].status };
}
