import type { VirtualClock } from '../src/fakes/VirtualClock.js';

/** Work of one stream at one server: a prefill or one token. */
export interface BatchItem {
  /** Remaining work in milliseconds. */
  workMs: number;
  done(): void;
}

/** Fixed cost of each batch step, in milliseconds. */
const STEP_OVERHEAD_MS = 0.1;

/** Window over which utilisation is measured, in milliseconds. */
const WINDOW_MS = 1000;

/** Maximum work of one item in a step, in milliseconds. */
const MAX_CHUNK_MS = 4;

/**
 * Simulated backend server with continuous batching: each step runs up to `MAX_CHUNK_MS` of every
 * queued item as one batch.
 */
export class BatchServer {
  public alive = true;

  public slowdownFactor = 1;

  /** Total time spent working, in milliseconds. */
  public busyTotalMs = 0;

  /**
   * Sum of the times for one token of each stream at this server, in milliseconds; reported to
   * probes.
   */
  public busyMs = 0;

  /** Fraction of the last full second in which the server was working. */
  public utilisation = 0;

  /** Step time of the last full second as a multiple of the expected time; undefined without steps. */
  public slowdown: number | undefined;

  private expectedMs = 0;

  private actualMs = 0;

  private busyTotalAtWindowStartMs = 0;

  private queue: BatchItem[] = [];

  private running = false;

  private silentUntilMs = -Infinity;

  public constructor(private readonly clock: VirtualClock) {
    this.updateWindowMetrics();
  }

  public enqueue(item: BatchItem): void {
    this.queue.push(item);
    if (!this.running) this.runStep();
  }

  /**
   * Makes the server silent until a time in virtual milliseconds: probes get no answer, and steps
   * that start during the silence end after it.
   */
  public silence(untilMs: number): void {
    this.silentUntilMs = untilMs;
  }

  /** Crashes the server: its work in progress is lost. */
  public crash(): void {
    this.alive = false;
    this.queue = [];
    this.busyMs = 0;
  }

  public get isSilent(): boolean {
    return !this.alive || this.clock.now() < this.silentUntilMs;
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
    const remainingSilenceMs = Math.max(0, this.silentUntilMs - this.clock.now());
    this.clock.schedule(stepMs + remainingSilenceMs, () => {
      this.running = false;
      if (!this.alive) return;
      for (const item of batch) this.completeOrRequeue(item);
      this.runStep();
    });
  }

  /**
   * Consumes the part of an item that one step runs. Long prefills are split so that they do not
   * delay tokens.
   */
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
