import type { ServerCallListener } from './Types.js';

/**
 * Wraps the listener of a call.
 * @param run - runs each notification, or drops it
 */
export function guardListener(
  listener: ServerCallListener,
  run: (step: () => void) => void,
): ServerCallListener {
  return {
    onHead: (head) => run(() => listener.onHead(head)),
    onData: (chunk) => run(() => listener.onData(chunk)),
    onEnd: () => run(() => listener.onEnd()),
    onFailure: (failure) => run(() => listener.onFailure(failure)),
  };
}
