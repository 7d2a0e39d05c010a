import TinyQueue from 'tinyqueue';
import type { Clock, Disposable } from '../ports/Types.js';

interface Timer extends Disposable {
  readonly at: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

/** Resolves after the callbacks of all settled promises have run. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** A simulated clock that advances from timer to timer. */
export class VirtualClock implements Clock {
  private readonly timers = new TinyQueue<Timer>([], (a, b) => a.at - b.at || a.order - b.order);

  private time = 0;

  private scheduled = 0;

  public now(): number {
    return this.time;
  }

  public schedule(delayMs: number, callback: () => void): Disposable {
    this.scheduled += 1;
    const timer: Timer = {
      at: this.time + Math.max(0, delayMs),
      order: this.scheduled,
      callback,
      dispose() {
        this.callback = undefined;
      },
    };
    this.timers.push(timer);
    return timer;
  }

  /** Advances the time by `durationMs` milliseconds without firing timers, as for a suspended process. */
  public jump(durationMs: number): void {
    this.time += durationMs;
  }

  /** Resolves after `delayMs` milliseconds. */
  public sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(delayMs, resolve);
    });
  }

  /**
   * Fires the timers due up to `untilMs`, in milliseconds of virtual time, and runs promise callbacks
   * in between.
   * @returns the number of timers fired
   */
  public async runUntil(untilMs: number): Promise<number> {
    let fired = 0;
    await settlePromises();
    while (this.fireNext(untilMs)) {
      fired += 1;
      await settlePromises();
    }
    this.time = untilMs;
    return fired;
  }

  /**
   * Fires the timers due up to `untilMs`, in milliseconds of virtual time, without running promise callbacks;
   * for code without promises.
   */
  public runSync(untilMs: number): void {
    while (this.fireNext(untilMs));
    this.time = untilMs;
  }

  /** Fires the next timer that was not disposed; false when none is due. */
  private fireNext(untilMs: number): boolean {
    for (
      let next = this.timers.peek();
      next !== undefined && next.at <= untilMs;
      next = this.timers.peek()
    ) {
      this.timers.pop();
      if (next.callback === undefined) continue;
      this.time = Math.max(this.time, next.at);
      next.callback();
      return true;
    }
    return false;
  }
}
