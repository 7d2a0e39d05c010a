/** Tracks the era of the store, which rises each time it comes back from an older copy. */
import { Emitter } from '../Emitter.js';

export interface EraRise {
  readonly era: number;
  readonly before: number;
}

export class StoreEra {
  private newest: number | undefined;

  private readonly rises = new Emitter<EraRise>();

  /** Fires when an answer states a higher era than any before: what was written lately may be lost. */
  public readonly onRise = this.rises.event;

  /** Newest era that an answer has stated; 0 before the first answer, or if the store states none. */
  public get current(): number {
    return this.newest ?? 0;
  }

  /** Notes the era of an answer. Answers on several connections may overtake each other. */
  public note(era: number): void {
    const before = this.newest;
    if (before !== undefined && era <= before) return;
    this.newest = era;
    if (before !== undefined) this.rises.fire({ era, before });
  }
}
