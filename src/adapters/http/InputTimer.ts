import type { Disposable } from '../../ports/Types.js';

/** Lateness of a timer, in milliseconds, from which on the process counts as stalled meanwhile. */
const MIN_STALL_MS = 20;

/**
 * Calls back if the other end of a connection has not answered in time. Time for which this process was stalled does
 * not count, up to the length of the timer: after a stall, timers fire before the input that arrived meanwhile is read.
 * @param ms - time limit, in milliseconds
 * @returns stops the timer
 */
export function startInputTimer(ms: number, onTimeout: () => void): Disposable {
  let graceMs = ms;
  let timer: NodeJS.Timeout | undefined;
  let immediate: NodeJS.Immediate | undefined;
  const start = (waitMs: number): void => {
    const dueAt = performance.now() + waitMs;
    timer = setTimeout(() => {
      const stalledMs = performance.now() - dueAt;
      if (stalledMs < MIN_STALL_MS || graceMs === 0) {
        immediate = setImmediate(onTimeout);
        return;
      }
      const extraMs = Math.min(stalledMs, graceMs);
      graceMs -= extraMs;
      start(extraMs);
    }, waitMs);
  };
  start(ms);
  return {
    dispose: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}
