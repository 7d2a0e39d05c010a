/**
 * Decides whose input is read next, while reading takes more processor time than there is.
 *
 * Answers the load pattern of crowds whose messages are cheap to send and costly to read, such as bodies in chunks of
 * one byte. Messages that have taken little go first, so that ordinary ones do not wait for the crowd, and the event
 * loop comes round between two turns. Costly messages are read a few at a time, oldest first, so that some of them are
 * read to their end; those that wait for too long end.
 */
import type { Clock } from '../../ports/Types.js';
import { InputTurn, Level, type InputSource } from './InputTurn.js';

/** Time for which input is read before the event loop comes round again, in milliseconds. */
const TURN_MS = 10;

/** Fraction of the processor time that reading may take before the event loop comes round for each turn. */
const UNDEFERRED_SHARE = 0.5;

/** Costly messages that are read at the same time. */
const COSTLY_AT_ONCE = 8;

/** Time after which a costly message ends whose input was not read, because that of others was, in milliseconds. */
const MAX_WAIT_MS = 2000;

export class InputTurns {
  /** Sources that wait, by the level of their messages; of the costly ones, those that wait to be read at all. */
  private readonly waiting: Readonly<Record<Level, Set<InputTurn>>> = {
    [Level.Fresh]: new Set(),
    [Level.Cheap]: new Set(),
    [Level.Costly]: new Set(),
  };

  /** Costly messages that are being read. */
  private readonly costly = new Set<InputTurn>();

  private isDeferred = false;

  /** Processor time that reading took beyond its share, in milliseconds. */
  private debtMs = 0;

  private debtAt: number;

  private evictedCount = 0;

  /** @param defer - runs a step after the event loop has come round once */
  public constructor(
    private readonly clock: Clock,
    private readonly defer: (step: () => void) => void,
  ) {
    this.debtAt = clock.now();
  }

  /** Number of connections whose input waits. */
  public get size(): number {
    const { waiting, costly } = this;
    return (
      waiting[Level.Fresh].size +
      waiting[Level.Cheap].size +
      waiting[Level.Costly].size +
      costly.size
    );
  }

  /** Number of messages that ended because they were costly and others were read. */
  public get evictions(): number {
    return this.evictedCount;
  }

  public open(source: InputSource): InputTurn {
    return new InputTurn(source, this);
  }

  /** Reads the input of a source at once if there is time, and lets it wait for its turn otherwise. */
  public request(turn: InputTurn): void {
    if (this.size === 0) {
      this.payOff(this.clock.now());
      while (this.debtMs < TURN_MS && this.canRead(turn)) this.read(turn);
    }
    if (this.canRead(turn)) this.wait(turn);
  }

  public remove(turn: InputTurn): void {
    for (const queue of [...Object.values(this.waiting), this.costly]) queue.delete(turn);
    if (!turn.isWaiting) return;
    turn.isWaiting = false;
    turn.source.setWaiting(false);
  }

  private canRead({ isDisposed, source }: InputTurn): boolean {
    return !isDisposed && source.hasInput;
  }

  private wait(turn: InputTurn): void {
    turn.waitsSince = this.clock.now();
    turn.isWaiting = true;
    this.waiting[turn.level].add(turn);
    turn.source.setWaiting(true);
    if (this.isDeferred) return;
    this.isDeferred = true;
    this.defer(() => this.runTurn());
  }

  private runTurn(): void {
    this.isDeferred = false;
    const endsAt = this.clock.now() + TURN_MS;
    this.endStarved();
    for (let turn = this.next(); turn !== undefined; turn = this.next()) {
      this.read(turn);
      this.requeue(turn);
      if (this.clock.now() >= endsAt) break;
    }
    if (this.size === 0 || this.isDeferred) return;
    this.isDeferred = true;
    this.defer(() => this.runTurn());
  }

  private next(): InputTurn | undefined {
    for (const level of [Level.Fresh, Level.Cheap]) {
      const [turn] = this.waiting[level];
      if (turn !== undefined) return turn;
    }
    const [first] = this.waiting[Level.Costly];
    if (first !== undefined && this.costly.size < COSTLY_AT_ONCE) {
      this.waiting[Level.Costly].delete(first);
      this.costly.add(first);
    }
    const [turn] = this.costly;
    return turn;
  }

  /** Puts a source that has been read behind the others of its level. */
  private requeue(turn: InputTurn): void {
    const wasCostly = this.costly.delete(turn);
    for (const queue of Object.values(this.waiting)) queue.delete(turn);
    if (!this.canRead(turn)) {
      this.remove(turn);
      return;
    }
    turn.waitsSince = this.clock.now();
    const queue = wasCostly && turn.level === Level.Costly ? this.costly : this.waiting[turn.level];
    queue.add(turn);
  }

  private read(turn: InputTurn): void {
    const startedAt = this.clock.now();
    turn.isReading = true;
    const bytes = turn.source.readPiece();
    turn.isReading = false;
    const now = this.clock.now();
    turn.charge(now - startedAt, bytes);
    this.payOff(now);
    this.debtMs += now - startedAt;
  }

  private payOff(now: number): void {
    this.debtMs = Math.max(0, this.debtMs - (now - this.debtAt) * UNDEFERRED_SHARE);
    this.debtAt = now;
  }

  private endStarved(): void {
    const now = this.clock.now();
    for (const turn of this.waiting[Level.Costly]) {
      if (now - turn.waitsSince < MAX_WAIT_MS) return;
      this.remove(turn);
      turn.reset();
      this.evictedCount += 1;
      turn.source.onEvict();
    }
  }
}
