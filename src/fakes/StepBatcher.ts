/** Batches the work of one fake server: one step at a time, each over all queued work. */
import type { Clock } from '../ports/Types.js';

interface QueuedWork {
  readonly workMs: number;
  readonly done: () => void;
}

export class StepBatcher {
  private queued: QueuedWork[] = [];

  private isRunning = false;

  private outstandingMs = 0;

  /** @param stepMs - fixed cost of a step, in milliseconds */
  public constructor(
    private readonly clock: Clock,
    private readonly stepMs: number,
  ) {}

  /** Queued and running work, in milliseconds. */
  public get busyMs(): number {
    return this.outstandingMs;
  }

  /** Queues `workMs` milliseconds of work; resolves when the batch that contains it has run. */
  public run(workMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.queued.push({ workMs, done: resolve });
      this.outstandingMs += workMs;
      this.runNextBatch();
    });
  }

  private runNextBatch(): void {
    if (this.isRunning || this.queued.length === 0) return;
    this.isRunning = true;
    const batch = this.queued;
    this.queued = [];
    let { stepMs } = this;
    for (const item of batch) stepMs += item.workMs;
    this.clock.schedule(stepMs, () => {
      this.isRunning = false;
      for (const item of batch) {
        this.outstandingMs -= item.workMs;
        item.done();
      }
      this.runNextBatch();
    });
  }
}
