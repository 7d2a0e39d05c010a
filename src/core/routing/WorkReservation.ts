import type { ServerLoad } from './ServerLoad.js';
import type { Stage } from './Types.js';

/** A request's part in the outstanding work of the servers on its route. */
export class WorkReservation {
  public constructor(
    private readonly load: ServerLoad,
    private stages: readonly Stage[],
    private readonly tokens: number,
    private prefillTokens: number,
  ) {
    load.add(stages, 1, tokens, prefillTokens);
  }

  /** Removes the prompt tokens from the outstanding work once the prefill has ended. */
  public endPrefill(): void {
    if (this.prefillTokens === 0) return;
    this.load.add(this.stages, 0, 0, -this.prefillTokens);
    this.prefillTokens = 0;
  }

  /** Moves the work to the servers of another route. */
  public reroute(stages: readonly Stage[]): void {
    this.load.add(this.stages, -1, -this.tokens, -this.prefillTokens);
    this.stages = stages;
    this.load.add(stages, 1, this.tokens, this.prefillTokens);
  }

  public dispose(): void {
    this.load.add(this.stages, -1, -this.tokens, -this.prefillTokens);
    this.prefillTokens = 0;
  }
}
