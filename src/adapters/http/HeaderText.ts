/** Checks what Node's parser takes in against what HTTP allows. */
import { validateHeaderName, validateHeaderValue, type IncomingMessage } from 'node:http';

/** Final statuses are of the classes 2xx to 5xx. */
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/** Number of headers from which on Node leaves the others out, so that nobody can check them. */
const MAX_HEADERS = 1000;

/**
 * Whether headers can be sent. The parser is more lenient than the writer, which throws, for instance, for a
 * space within a name.
 * @param raw - alternating names and values
 */
export function areSendable(raw: readonly string[]): boolean {
  try {
    for (let index = 0; index < raw.length; index += 2) {
      validateHeaderName(raw[index]);
      validateHeaderValue(raw[index], raw[index + 1]);
    }
    return true;
  } catch {
    // Node tells of an invalid header only by an exception.
    return false;
  }
}

/** Whether a status can be that of a final answer. */
function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}

/** Whether HTTP allows the head of an answer, all headers included, also those that are not passed on. */
export function hasValidHead({ statusCode = 0, rawHeaders }: IncomingMessage): boolean {
  const isListed = rawHeaders.length < 2 * MAX_HEADERS;
  return isFinalStatus(statusCode) && isListed && areSendable(rawHeaders);
}
