/** Learns the pace of one stream and says when silence means a fault. */

/** Weight of the newest gap. */
const SMOOTHING = 0.2;

/** A gap this many times the usual one is silence. */
const SILENCE_FACTOR = 8;

/** Silence is never called earlier, in milliseconds. */
const MIN_SILENCE_MS = 400;

/** Silence is called at the latest then, in milliseconds. */
const MAX_SILENCE_MS = 1200;

/** Longest wait for the first token beyond its prediction, in milliseconds. */
const FIRST_TOKEN_SLACK_MS = 1000;

/** A first token later than this many times its prediction, plus the slack, is silence. */
const FIRST_TOKEN_FACTOR = 2;

/** Silence before the first token is called at the latest then, in milliseconds. */
const MAX_FIRST_TOKEN_MS = 2000;

export class PaceTracker {
  private averageGapMs = 0;

  private lastAt: number;

  private started = false;

  private extensionMs = 0;

  /** @param predictedFirstMs - predicted time to the first token */
  public constructor(
    startedAt: number,
    private predictedFirstMs: number,
  ) {
    this.lastAt = startedAt;
  }

  /** Records a token. */
  public recordToken(now: number): void {
    const gap = now - this.lastAt;
    if (this.started)
      this.averageGapMs =
        this.averageGapMs === 0 ? gap : this.averageGapMs + SMOOTHING * (gap - this.averageGapMs);
    this.started = true;
    this.lastAt = now;
    this.extensionMs = 0;
  }

  /** Starts waiting for the first token of a new epoch. */
  public restart(now: number, predictedFirstMs: number): void {
    this.started = false;
    this.lastAt = now;
    this.extensionMs = 0;
    this.predictedFirstMs = predictedFirstMs;
  }

  /** Looks again later: every stage answered, so the silence may be load. */
  public extend(): void {
    this.extensionMs += MAX_SILENCE_MS;
  }

  /** Time at which the stream counts as silent. */
  public silentAt(): number {
    return this.lastAt + this.extensionMs + (this.started ? this.silenceMs() : this.firstTokenMs());
  }

  private silenceMs(): number {
    if (this.averageGapMs === 0) return MAX_SILENCE_MS;
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, this.averageGapMs * SILENCE_FACTOR));
  }

  private firstTokenMs(): number {
    return Math.min(
      MAX_FIRST_TOKEN_MS,
      this.predictedFirstMs * FIRST_TOKEN_FACTOR + FIRST_TOKEN_SLACK_MS,
    );
  }
}
