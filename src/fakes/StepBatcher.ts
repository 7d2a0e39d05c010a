/** Batches the steps of one stand-in server: one step at a time, each over everything waiting. */
import type { Clock } from '../ports/Types.js';

interface Item {
  readonly workMs: number;
  readonly done: () => void;
}

export class StepBatcher {
  private waiting: Item[] = [];

  private running = false;

  private work = 0;

  /** @param stepMs - fixed cost of a step, in milliseconds */
  public constructor(
    private readonly clock: Clock,
    private readonly stepMs: number,
  ) {}

  /** Work waiting and running, in milliseconds. */
  public get busyMs(): number {
    return this.work;
  }

  /** Resolves when `workMs` of work has run in some batch. */
  public run(workMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push({ workMs, done: resolve });
      this.work += workMs;
      this.step();
    });
  }

  private step(): void {
    if (this.running || this.waiting.length === 0) return;
    this.running = true;
    const batch = this.waiting;
    this.waiting = [];
    let { stepMs } = this;
    for (const item of batch) stepMs += item.workMs;
    this.clock.schedule(stepMs, () => {
      this.running = false;
      for (const item of batch) {
        this.work -= item.workMs;
        item.done();
      }
      this.step();
    });
  }
}
