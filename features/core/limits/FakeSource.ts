/** A connection with input, for tests of the order of reading. */
import type { InputSource, InputTurn } from '../../../src/core/limits/InputTurn.js';
import type { InputTurns } from '../../../src/core/limits/InputTurns.js';

/** Processor time and size of a piece. */
export interface PieceCost {
  readonly ms: number;
  readonly bytes: number;
}

/** Time that only reading moves on, in milliseconds. */
export interface ReadingTime {
  ms: number;
}

export class FakeSource implements InputSource {
  public readonly turn: InputTurn;

  public isEnded = false;

  public lastReadAt: number | undefined;

  /** @param messagePieces - pieces of each message */
  public constructor(
    turns: InputTurns,
    private readonly clock: ReadingTime,
    private readonly cost: PieceCost,
    private pieces: number,
    private readonly messagePieces = Infinity,
  ) {
    this.turn = turns.open(this);
  }

  public get hasInput(): boolean {
    return this.pieces > 0;
  }

  public readPiece(): number {
    this.pieces -= 1;
    this.clock.ms += this.cost.ms;
    this.lastReadAt = this.clock.ms;
    if (this.pieces % this.messagePieces === 0) this.turn.reset();
    return this.cost.bytes;
  }

  public setWaiting(): void {}

  public onEvict(): void {
    this.isEnded = true;
    this.pieces = 0;
    this.turn.dispose();
  }
}
