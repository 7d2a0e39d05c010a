import type { Clock, Disposable, Random } from '../../ports/Types.js';

/** Pause after the first send in vain, in milliseconds; multiplied by their number in a row. */
const FIRST_PAUSE_MS = 100;

/** Longest pause before its spread, in milliseconds. */
const MAX_PAUSE_MS = 1000;

/**
 * Least and greatest part of a pause: streams that lost their servers together would else be sent together, before
 * the rejection of one keeps the others from a full server.
 */
const SPREAD = { from: 0.5, to: 1.5 };

/** Spaces the sends of a stream that is not taken by any server. */
export class ResendPause implements Disposable {
  /** Sends in vain, and times at which none was possible, in a row. */
  private failures = 0;

  private nextAt = -Infinity;

  private timer: Disposable | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether the stream may be sent now. */
  public get isOver(): boolean {
    return this.clock.now() >= this.nextAt;
  }

  /** Whether the last send was in vain. */
  public get isRepeated(): boolean {
    return this.failures > 0;
  }

  /** Begins the next pause, which is longer than the one before. */
  public extend(): void {
    this.failures += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, this.failures * FIRST_PAUSE_MS);
    const part = SPREAD.from + this.random.next() * (SPREAD.to - SPREAD.from);
    this.nextAt = this.clock.now() + pauseMs * part;
  }

  /** Records an event; once the pause is over, the next send in vain is the first one again. */
  public recordEvent(): void {
    if (this.isOver) this.failures = 0;
  }

  /** Runs a step at the end of the pause, unless it is disposed before. */
  public onceOver(step: () => void): void {
    this.timer?.dispose();
    this.timer = this.clock.schedule(Math.max(0, this.nextAt - this.clock.now()), step);
  }

  public dispose(): void {
    this.timer?.dispose();
  }
}
