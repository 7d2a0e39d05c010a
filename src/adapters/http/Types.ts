/** Types shared by the parts of the callers' listener. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { KeyedRequestRunner } from '../../core/claims/KeyedRequestRunner.js';
import type { KeyMint } from '../../core/claims/KeyMint.js';
import type { CompletionDispatcher } from '../../core/requests/CompletionDispatcher.js';
import type { PlainDispatcher } from '../../core/requests/PlainDispatcher.js';
import type { Configuration } from '../../core/tickets/Configuration.js';
import type { Clock, Random } from '../../ports/Types.js';
import type { Metrics } from '../metrics/Metrics.js';

/** What the listener works with. */
export interface CallerServerDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration;
  readonly completions: CompletionDispatcher;
  readonly plainCalls: PlainDispatcher;
  readonly keyedRequests: KeyedRequestRunner;
  readonly keyMint: KeyMint;
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
  /** Whether the balancer should send no more. */
  readonly isLeaving: () => boolean;
  /** Whether new work is refused. */
  readonly isStopping: () => boolean;
  readonly maxBodyBytes: number;
}

/** A request whose caller is known. */
export interface CallerRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly path: string;
  readonly account: string;
  readonly body: Buffer;
}
