/** Decodes what servers say of themselves in the heads of all their answers. */
import type { IncomingHttpHeaders } from 'node:http';
import type { ServerNotice } from '../core/deployment/ServerNotices.js';
import { HEADER } from './WireNames.js';

/**
 * Decodes the headers of an answer that concern its server.
 * @param status - status of the answer
 * @param headers - by name in lower case
 */
export function decodeNotice(
  status: number,
  headers: IncomingHttpHeaders,
): Omit<ServerNotice, 'call' | 'requestId'> {
  return { status, isLeaving: headers[HEADER.leaving] === '1' };
}
