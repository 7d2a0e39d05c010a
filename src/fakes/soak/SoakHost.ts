import type { Clock, Disposable } from '../../ports/Types.js';
import type { VirtualClock } from '../VirtualClock.js';

/** Interval at which `waitUntilDead` checks the host, in milliseconds. */
const DEATH_POLL_MS = 200;

/** The simulated machine of one entry instance, which can pause and die. */
export class SoakHost implements Clock {
  public alive = true;

  private pausedUntil = -Infinity;

  public constructor(
    public readonly name: string,
    public readonly failureDomain: string,
    private readonly time: VirtualClock,
  ) {}

  public now(): number {
    return this.time.now();
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

  /** Waits while the host is paused; never resolves once it is dead. */
  public async waitUntilRunning(): Promise<void> {
    while (this.alive && this.isPaused) await this.time.sleep(this.pausedUntil - this.now());
    if (!this.alive) await new Promise<void>(() => {});
  }

  /** Resolves once the host is dead, so that callers stop waiting for its answers. */
  public async waitUntilDead(): Promise<undefined> {
    while (this.alive) await this.time.sleep(DEATH_POLL_MS);
    return undefined;
  }

  /**
   * Makes a call from this host. The call is sent and its answer received only while the host runs.
   * @param latencyMs - delay in each direction, in milliseconds
   * @param action - the remote part of the call
   */
  public async call<T>(latencyMs: number, action: () => Promise<T>): Promise<T> {
    await this.waitUntilRunning();
    await this.time.sleep(latencyMs);
    try {
      return await action();
    } finally {
      await this.time.sleep(latencyMs);
      await this.waitUntilRunning();
    }
  }

  private disposer(delayMs: number, callback: () => void): () => void {
    const timer = this.time.schedule(delayMs, callback);
    return () => timer.dispose();
  }
}
