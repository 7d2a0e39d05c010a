import type { Disposable } from '../../ports/Types.js';

/** Bytes of a message that may take a millisecond: four times as much time as a large body takes. */
const BYTES_PER_MS = 50_000;

/** Processor time beyond that for its bytes up to which a message is read before all others, in milliseconds. */
const FRESH_MS = 1;

/** Processor time beyond that for its bytes from which on a message is costly, in milliseconds. */
const COSTLY_MS = 8;

/** How much processor time a message has taken; the order of the values is the order of reading. */
export enum Level {
  Fresh = 0,
  Cheap = 1,
  Costly = 2,
}

/** The owner of one connection's input. */
export interface InputSource {
  /** Whether input waits that can be read. */
  readonly hasInput: boolean;
  /**
   * Reads one piece of the input.
   * @returns its size in bytes
   */
  readPiece(): number;
  /** Called when the input begins to wait for its turn, and when it no longer does. */
  setWaiting(isWaiting: boolean): void;
  /** Ends the message that is being read, because it is costly and others are. */
  onEvict(): void;
}

/** Decides when a source is read. */
export interface TurnOrder {
  /** Reads the input of a source now or at its turn. */
  request(turn: InputTurn): void;
  remove(turn: InputTurn): void;
}

/** The turn of one source, with what its message has taken so far. */
export class InputTurn implements Disposable {
  /** Processor time that the message has taken beyond that for its bytes, in milliseconds. */
  private excessMs = 0;

  public isReading = false;

  public isWaiting = false;

  /** Time at which the source began to wait, or was last read. */
  public waitsSince = 0;

  public isDisposed = false;

  public constructor(
    public readonly source: InputSource,
    private readonly turns: TurnOrder,
  ) {}

  /** Reads what has arrived, now or at its turn. */
  public request(): void {
    if (!this.isReading && !this.isWaiting && !this.isDisposed) this.turns.request(this);
  }

  /** Begins the account of the next message. */
  public reset(): void {
    this.excessMs = 0;
  }

  public dispose(): void {
    this.isDisposed = true;
    this.turns.remove(this);
  }

  public charge(ms: number, bytes: number): void {
    this.excessMs = Math.max(0, this.excessMs + ms - bytes / BYTES_PER_MS);
  }

  public get level(): Level {
    if (this.excessMs < FRESH_MS) return Level.Fresh;
    return this.excessMs < COSTLY_MS ? Level.Cheap : Level.Costly;
  }
}
