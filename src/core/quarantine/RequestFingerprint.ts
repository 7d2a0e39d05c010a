/** Identifies requests that are the same, so that a repeat is known although its attempt has another id. */
import { createHash } from 'node:crypto';
import type { CallerRequest } from '../relay/Types.js';

/** Distinguishes fingerprints from the ids of prompt parts, which have no colon. */
const PREFIX = 'request:';

/** Length of a fingerprint in hexadecimal digits; 64 bits. */
const DIGITS = 16;

/**
 * Returns the fingerprint of a request: of its host, method, path, caller, prompt parts and body. The body itself is
 * not kept.
 * @param caller - account of the caller; undefined if the request needs none
 */
export function fingerprintOf(request: CallerRequest, caller: string | undefined): string {
  const { host, message, sharedPromptParts, ownPromptPart } = request;
  const { method, target, body } = message;
  const head = [host, method, target, caller, ownPromptPart, ...sharedPromptParts];
  const hash = createHash('sha256').update(JSON.stringify(head)).update(body);
  return PREFIX + hash.digest('hex').slice(0, DIGITS);
}

export function isFingerprint(input: string): boolean {
  return input.startsWith(PREFIX);
}
