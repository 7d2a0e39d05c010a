/** Decodes what servers say of themselves in the heads of all their answers. */
import type { IncomingHttpHeaders } from 'node:http';
import type { ServerNotice } from '../core/deployment/ServerNotices.js';
import { HEADER } from './WireNames.js';

/** Seconds as a plain decimal number; signs and exponents are not part of the protocol. */
const SECONDS = /^(\d+(\.\d*)?|\.\d+)$/;

/** How a date begins: with the name of the day. */
const DATE = /^[A-Z][a-z]{2}/;

/**
 * Reads for how long a server wants nothing.
 * @param text - seconds, or a date as HTTP allows
 * @param sentAt - date of the answer by the server's clock, against which a date counts
 * @returns milliseconds, 0 for a date that has passed; undefined if the text is neither
 */
function readPause(text: string | undefined, sentAt: string | undefined): number | undefined {
  const value = text?.trim() ?? '';
  if (SECONDS.test(value)) return Number(value) * 1000;
  if (!DATE.test(value)) return undefined;
  const ms = Date.parse(value) - Date.parse(sentAt ?? '');
  return Number.isNaN(ms) ? undefined : Math.max(0, ms);
}

/**
 * Decodes the headers of an answer that concern its server.
 * @param status - status of the answer
 * @param headers - by name in lower case
 */
export function decodeNotice(
  status: number,
  headers: IncomingHttpHeaders,
): Omit<ServerNotice, 'call' | 'requestId'> {
  return {
    status,
    isLeaving: headers[HEADER.leaving] === '1',
    pauseMs: readPause(headers[HEADER.retryAfter], headers.date),
  };
}
