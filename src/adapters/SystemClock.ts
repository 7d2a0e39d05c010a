import type { Clock, Disposable } from '../ports/Types.js';

/** Lateness of a timer, in milliseconds, from which on input may have arrived while the process stood. */
const MIN_LATENESS_MS = 20;

/** Clock on the machine's monotonic time. */
export class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }

  /** After a stall of the process, the input that arrived meanwhile is handled before the callback runs. */
  public schedule(delayMs: number, callback: () => void): Disposable {
    const dueAt = performance.now() + delayMs;
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      if (performance.now() - dueAt < MIN_LATENESS_MS) callback();
      else immediate = setImmediate(callback);
    }, delayMs);
    return {
      dispose: () => {
        clearTimeout(timer);
        clearImmediate(immediate);
      },
    };
  }
}
