import type { ServerResponse } from 'node:http';
import { RefusalReason, type Refusal } from '../../core/Outcome.js';
import type { Metrics } from '../metrics/Metrics.js';
import { refusalBody } from './AnswerFormat.js';

/** Sends a refusal as a JSON error and counts it. */
export function sendRefusal(response: ServerResponse, refused: Refusal, metrics: Metrics): void {
  metrics.countRefusal(refused.reason, refused.outcome);
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const retry =
    refused.retryAfterMs > 0
      ? { 'retry-after': String(Math.ceil(refused.retryAfterMs / 1000)) }
      : {};
  const close = refused.reason === RefusalReason.BodyTooLarge ? { connection: 'close' } : {};
  response.writeHead(refused.status, {
    'content-type': 'application/json',
    'acaciadrum-outcome': refused.outcome,
    'acaciadrum-reason': refused.reason,
    ...retry,
    ...close,
  });
  response.end(refusalBody(refused));
}
