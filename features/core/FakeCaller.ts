import type { Refusal } from '../../src/core/Outcome.js';
import type { AnswerHead, CallerReply } from '../../src/core/relay/Types.js';

/** Records what a caller receives. */
export class FakeCaller implements CallerReply {
  public status = 0;

  public text = '';

  public isEnded = false;

  public isAborted = false;

  public refusal: Refusal | undefined;

  public writeHead({ status }: AnswerHead): void {
    this.status = status;
  }

  /** Whether the caller reads what it is sent. */
  public isReading = true;

  private takenListener: (() => void) | undefined;

  public write(chunk: Buffer): boolean {
    this.text += chunk.toString();
    return this.isReading;
  }

  public onceTaken(listener: () => void): void {
    this.takenListener = listener;
  }

  /** Reads everything that was written, and reads on from now on. */
  public readOn(): void {
    this.isReading = true;
    const listener = this.takenListener;
    this.takenListener = undefined;
    listener?.();
  }

  public endWith(parts: readonly Buffer[]): void {
    for (const part of parts) this.write(part);
    this.end();
  }

  public end(): void {
    this.isEnded = true;
  }

  public refuse(refusal: Refusal): void {
    this.refusal = refusal;
    this.status = refusal.status;
  }

  public abort(): void {
    this.isAborted = true;
  }

  /**
   * How the request ended: `<status>`, `<status> <outcome>` after a refusal, `cut` after an abort, or `open`
   * while it is in progress.
   */
  public get outcome(): string {
    if (this.isAborted) return 'cut';
    if (this.refusal !== undefined) return `${this.status} ${this.refusal.outcome}`;
    return this.isEnded ? `${this.status}` : 'open';
  }
}
