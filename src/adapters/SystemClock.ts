import type { Clock, Disposable } from '../ports/Types.js';

/** The machine's monotonic clock. */
export class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }

  public schedule(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delayMs);
    return { dispose: () => clearTimeout(timer) };
  }
}
