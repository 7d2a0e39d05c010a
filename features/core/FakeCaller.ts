import type { Refusal } from '../../src/core/Outcome.js';
import type { AnswerHead, CallerReply } from '../../src/core/relay/Types.js';

/** Records what a caller receives. */
export class FakeCaller implements CallerReply {
  public status = 0;

  public text = '';

  public ended = false;

  public isAborted = false;

  public refusal: Refusal | undefined;

  public writeHead({ status }: AnswerHead): void {
    this.status = status;
  }

  public write(chunk: Buffer): void {
    this.text += chunk.toString();
  }

  public end(): void {
    this.ended = true;
  }

  public refuse(refusal: Refusal): void {
    this.refusal = refusal;
    this.status = refusal.status;
  }

  public abort(): void {
    this.isAborted = true;
  }

  /** How the request ended: its status and outcome, `cut` or `open`. */
  public get outcome(): string {
    if (this.isAborted) return 'cut';
    if (this.refusal !== undefined) return `${this.status} ${this.refusal.outcome}`;
    return this.ended ? `${this.status}` : 'open';
  }
}
