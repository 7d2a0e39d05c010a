import type { LayerRange } from '../../core/tickets/Types.js';
import { StageSequences } from '../StageSequences.js';
import type { VirtualClock } from '../VirtualClock.js';

/** A simulated backend server of the soak runs. */
export class SoakServer {
  public readonly sequences = new StageSequences();

  public alive = true;

  /** Factor on the time of its layers; it also simulates a slow link. */
  public slowdownFactor = 1;

  /** Probability that the connection of a plain call is reset, before or after the call ran. */
  public resetProbability = 0;

  public highestFence = 0;

  /**
   * Time at which a ticket that drains this server was accepted, in milliseconds; Infinity while not
   * drained.
   */
  public drainedAt = Infinity;

  private frozenUntil = -Infinity;

  public constructor(
    public readonly name: string,
    public readonly failureDomain: string,
    public readonly ranges: readonly LayerRange[],
    public readonly checksFence: boolean,
    private readonly clock: VirtualClock,
  ) {
    this.sequences.loaded = ranges.length === 0 ? undefined : [];
  }

  public freeze(durationMs: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, this.clock.now() + durationMs);
  }

  public get isFrozen(): boolean {
    return this.clock.now() < this.frozenUntil;
  }

  /** Waits while the server is frozen; returns false if it has crashed meanwhile. */
  public async waitUntilThawed(): Promise<boolean> {
    while (this.alive && this.isFrozen) await this.clock.sleep(this.frozenUntil - this.clock.now());
    return this.alive;
  }

  public crash(): void {
    this.alive = false;
    this.sequences.clear();
  }

  public restart(): void {
    this.alive = true;
    this.sequences.leaving = false;
    this.sequences.clear();
    if (this.ranges.length > 0) this.sequences.loaded = [];
    this.highestFence = 0;
  }
}
