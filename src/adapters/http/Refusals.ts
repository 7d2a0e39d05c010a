import type { ServerResponse } from 'node:http';
import { RefusalReason, type Refusal } from '../../core/Outcome.js';
import type { Metrics } from '../metrics/Metrics.js';
import { refusalBody } from './AnswerFormat.js';

/** Counts a refusal and sends it as a JSON error; closes the connection if a response has already begun. */
export function sendRefusal(response: ServerResponse, refusal: Refusal, metrics: Metrics): void {
  metrics.countRefusal(refusal.reason, refusal.outcome);
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const retryAfterHeader =
    refusal.retryAfterMs > 0
      ? { 'retry-after': String(Math.ceil(refusal.retryAfterMs / 1000)) }
      : {};
  const connectionHeader =
    refusal.reason === RefusalReason.BodyTooLarge ? { connection: 'close' } : {};
  response.writeHead(refusal.status, {
    'content-type': 'application/json',
    'acaciadrum-outcome': refusal.outcome,
    'acaciadrum-reason': refusal.reason,
    ...retryAfterHeader,
    ...connectionHeader,
  });
  response.end(refusalBody(refusal));
}
