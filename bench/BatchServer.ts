import type { VirtualClock } from '../src/fakes/VirtualClock.js';

/** Work of one token on one server. */
export interface BatchItem {
  /** Work that is left, in milliseconds. */
  workMs: number;
  done(): void;
}

/** Fixed cost of a batch step, in milliseconds. */
const STEP_MS = 0.1;

/** Window over which utilisation is measured, in milliseconds. */
const WINDOW_MS = 1000;

/** Most work of one item in a step, in milliseconds. */
const CHUNK_MS = 4;

/** Runs everything that waits as one batch, step after step. */
export class BatchServer {
  public alive = true;

  public slowness = 1;

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

  private busyBeforeMs = 0;

  private waiting: BatchItem[] = [];

  private running = false;

  private frozenUntil = -Infinity;

  public constructor(private readonly clock: VirtualClock) {
    this.measure();
  }

  public add(item: BatchItem): void {
    this.waiting.push(item);
    if (!this.running) this.step();
  }

  public freeze(until: number): void {
    this.frozenUntil = until;
  }

  /** Loses everything in progress. */
  public crash(): void {
    this.alive = false;
    this.waiting = [];
    this.loadMs = 0;
  }

  public get isSilent(): boolean {
    return !this.alive || this.clock.now() < this.frozenUntil;
  }

  private measure(): void {
    this.utilisation = Math.min(1, (this.busyTotalMs - this.busyBeforeMs) / WINDOW_MS);
    this.busyBeforeMs = this.busyTotalMs;
    this.slowdown = this.expectedMs === 0 ? undefined : this.actualMs / this.expectedMs;
    this.expectedMs = 0;
    this.actualMs = 0;
    this.clock.schedule(WINDOW_MS, () => this.measure());
  }

  private step(): void {
    if (this.waiting.length === 0 || !this.alive) return;
    this.running = true;
    const batch = this.waiting;
    this.waiting = [];
    let stepMs = STEP_MS;
    for (const item of batch) stepMs += this.takeChunk(item);
    this.expectedMs += stepMs;
    stepMs *= this.slowness;
    this.busyTotalMs += stepMs;
    this.actualMs += stepMs;
    const thawMs = Math.max(0, this.frozenUntil - this.clock.now());
    this.clock.schedule(stepMs + thawMs, () => {
      this.running = false;
      if (!this.alive) return;
      for (const item of batch) this.finish(item);
      this.step();
    });
  }

  /** Takes what one step runs of an item: a long prefill is cut, so that tokens do not wait for it. */
  private takeChunk(item: BatchItem): number {
    const chunkMs = Math.min(CHUNK_MS, item.workMs);
    Object.assign(item, { workMs: item.workMs - chunkMs });
    return chunkMs;
  }

  private finish(item: BatchItem): void {
    if (item.workMs > 0) this.waiting.push(item);
    else item.done();
  }
}
