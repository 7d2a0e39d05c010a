import type { VirtualClock } from '../src/fakes/VirtualClock.js';

/** Work of one token on one server. */
export interface BatchItem {
  /** Work that is left, in milliseconds. */
  workMs: number;
  done(): void;
}

/** Fixed cost of a batch step, in milliseconds. */
const STEP_OVERHEAD_MS = 0.1;

/** Window over which utilisation is measured, in milliseconds. */
const WINDOW_MS = 1000;

/** Most work of one item in a step, in milliseconds. */
const MAX_CHUNK_MS = 4;

/** Runs everything that waits as one batch, step after step. */
export class BatchServer {
  public alive = true;

  public slowdownFactor = 1;

  /** Time spent working, in milliseconds. */
  public busyTotalMs = 0;

  /** Busy time that its streams add to a token, in milliseconds; what the server reports. */
  public loadMs = 0;

  /** Part of the last whole second in which the server worked. */
  public utilisation = 0;

  /** Time of the steps of the last whole second, as a multiple of what they should take. */
  public slowdown: number | undefined;

  private expectedMs = 0;

  private actualMs = 0;

  private busyTotalAtWindowStartMs = 0;

  private queue: BatchItem[] = [];

  private running = false;

  private frozenUntil = -Infinity;

  public constructor(private readonly clock: VirtualClock) {
    this.updateWindowMetrics();
  }

  public enqueue(item: BatchItem): void {
    this.queue.push(item);
    if (!this.running) this.runStep();
  }

  public freeze(untilMs: number): void {
    this.frozenUntil = untilMs;
  }

  /** Loses everything in progress. */
  public crash(): void {
    this.alive = false;
    this.queue = [];
    this.loadMs = 0;
  }

  public get isSilent(): boolean {
    return !this.alive || this.clock.now() < this.frozenUntil;
  }

  private updateWindowMetrics(): void {
    this.utilisation = Math.min(1, (this.busyTotalMs - this.busyTotalAtWindowStartMs) / WINDOW_MS);
    this.busyTotalAtWindowStartMs = this.busyTotalMs;
    this.slowdown = this.expectedMs === 0 ? undefined : this.actualMs / this.expectedMs;
    this.expectedMs = 0;
    this.actualMs = 0;
    this.clock.schedule(WINDOW_MS, () => this.updateWindowMetrics());
  }

  private runStep(): void {
    if (this.queue.length === 0 || !this.alive) return;
    this.running = true;
    const batch = this.queue;
    this.queue = [];
    let stepMs = STEP_OVERHEAD_MS;
    for (const item of batch) stepMs += this.consumeChunk(item);
    this.expectedMs += stepMs;
    stepMs *= this.slowdownFactor;
    this.busyTotalMs += stepMs;
    this.actualMs += stepMs;
    const remainingFreezeMs = Math.max(0, this.frozenUntil - this.clock.now());
    this.clock.schedule(stepMs + remainingFreezeMs, () => {
      this.running = false;
      if (!this.alive) return;
      for (const item of batch) this.completeOrRequeue(item);
      this.runStep();
    });
  }

  /** Takes what one step runs of an item: a long prefill is cut, so that tokens do not wait for it. */
  private consumeChunk(item: BatchItem): number {
    const chunkMs = Math.min(MAX_CHUNK_MS, item.workMs);
    Object.assign(item, { workMs: item.workMs - chunkMs });
    return chunkMs;
  }

  private completeOrRequeue(item: BatchItem): void {
    if (item.workMs > 0) this.queue.push(item);
    else item.done();
  }
}
