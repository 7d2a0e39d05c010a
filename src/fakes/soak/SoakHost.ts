import type { Clock, Disposable } from '../../ports/Types.js';
import type { VirtualClock } from '../VirtualClock.js';

/** Interval at which `waitUntilStopped` checks the host, in milliseconds. */
const STOP_POLL_MS = 200;

/** The simulated machine of one entry instance, which can pause, crash and stop. */
export class SoakHost implements Clock {
  /** False once the instance has crashed or stopped; a paused host is still alive. */
  public alive = true;

  private pausedUntil = -Infinity;

  public constructor(
    public readonly name: string,
    public readonly failureDomain: string,
    private readonly clock: VirtualClock,
  ) {}

  public now(): number {
    return this.clock.now();
  }

  public schedule(delayMs: number, callback: () => void): Disposable {
    const timer = { dispose: () => {} };
    const fire = () => {
      if (!this.alive) return;
      if (this.isPaused) timer.dispose = this.disposer(this.pausedUntil - this.now(), fire);
      else callback();
    };
    timer.dispose = this.disposer(delayMs, fire);
    return { dispose: () => timer.dispose() };
  }

  public get isPaused(): boolean {
    return this.now() < this.pausedUntil;
  }

  /** Suspends all timers and calls of this host for `durationMs` milliseconds. */
  public pause(durationMs: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.now() + durationMs);
  }

  /** Waits while the host is paused; never resolves once it has crashed or stopped. */
  public async waitUntilRunning(): Promise<void> {
    while (this.alive && this.isPaused) await this.clock.sleep(this.pausedUntil - this.now());
    if (!this.alive) await new Promise<void>(() => {});
  }

  /** Resolves once the host has crashed or stopped, so that callers stop waiting for its answers. */
  public async waitUntilStopped(): Promise<undefined> {
    while (this.alive) await this.clock.sleep(STOP_POLL_MS);
    return undefined;
  }

  /**
   * Makes a call from this host. The call is sent and its answer received only while the host runs.
   * @param latencyMs - delay in each direction, in milliseconds
   * @param action - the remote part of the call
   */
  public async call<T>(latencyMs: number, action: () => Promise<T>): Promise<T> {
    await this.waitUntilRunning();
    await this.clock.sleep(latencyMs);
    try {
      return await action();
    } finally {
      await this.clock.sleep(latencyMs);
      await this.waitUntilRunning();
    }
  }

  private disposer(delayMs: number, callback: () => void): () => void {
    const timer = this.clock.schedule(delayMs, callback);
    return () => timer.dispose();
  }
}
