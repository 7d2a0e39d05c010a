/** Types shared by the classes that serve callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { KeyedRequestRunner } from '../../core/claims/KeyedRequestRunner.js';
import type { KeyMint } from '../../core/claims/KeyMint.js';
import type { CompletionDispatcher } from '../../core/requests/CompletionDispatcher.js';
import type { PlainDispatcher } from '../../core/requests/PlainDispatcher.js';
import type { Configuration } from '../../core/tickets/Configuration.js';
import type { Clock, Random } from '../../ports/Types.js';
import type { Metrics } from '../metrics/Metrics.js';

export interface CallerServerDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration;
  readonly completions: CompletionDispatcher;
  readonly plainCalls: PlainDispatcher;
  readonly keyedRequests: KeyedRequestRunner;
  readonly keyMint: KeyMint;
  readonly metrics: Metrics;
  /** Whether the configuration is confirmed, so that requests can be served. */
  readonly isReady: () => boolean;
  /** Whether the load balancer should send no more requests. */
  readonly isLeaving: () => boolean;
  /** Whether new requests are refused. */
  readonly isStopping: () => boolean;
  readonly maxBodyBytes: number;
}

/** A request of an authenticated caller. */
export interface CallerRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly path: string;
  readonly account: string;
  readonly body: Buffer;
}
