/** Tracks the token pace of one stream and determines when silence indicates a fault. */

/** Weight of the newest gap in the moving average. */
const SMOOTHING = 0.2;

/** A gap of this many times the average gap is considered silence. */
const SILENCE_FACTOR = 8;

/** Minimum gap that is considered silence, in milliseconds. */
const MIN_SILENCE_MS = 400;

/** Maximum gap before the stream is considered silent, in milliseconds. */
const MAX_SILENCE_MS = 1200;

/** Time allowed for the first token on top of FIRST_TOKEN_FACTOR times its prediction, in milliseconds. */
const FIRST_TOKEN_SLACK_MS = 1000;

/** The first token may take this multiple of its predicted time plus the slack before silence is assumed. */
const FIRST_TOKEN_FACTOR = 2;

/** Maximum wait for the first token before the stream is considered silent, in milliseconds. */
const MAX_FIRST_TOKEN_MS = 2000;

export class PaceTracker {
  private averageGapMs = 0;

  private lastAt: number;

  private started = false;

  private extensionMs = 0;

  /** @param predictedFirstMs - predicted time to the first token, in milliseconds */
  public constructor(
    startedAt: number,
    private predictedFirstMs: number,
  ) {
    this.lastAt = startedAt;
  }

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

  /** Postpones the silence deadline: every stage answered, so the silence may be due to load. */
  public extend(): void {
    this.extensionMs += MAX_SILENCE_MS;
  }

  /** Time at which the stream is considered silent. */
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
