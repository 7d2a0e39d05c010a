import type { Clock, Disposable } from '../ports/Types.js';

/** Clock on the machine's monotonic time. */
export class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }

  public schedule(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delayMs);
    return { dispose: () => clearTimeout(timer) };
  }
}
