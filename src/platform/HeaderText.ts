/** Checks headers that Node's parser takes in against those that it is able to send. */
import { validateHeaderName, validateHeaderValue } from 'node:http';

/** Final statuses are of the classes 2xx to 5xx. */
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

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
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}
