/** A connection of an HTTP server whose input is read in turns with that of the other connections. */
import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { InputSource, InputTurn } from '../../core/limits/InputTurn.js';
import type { InputTurns } from '../../core/limits/InputTurns.js';
import type { MemoryBudget } from '../../core/limits/MemoryBudget.js';
import type { MemoryShare } from '../../core/limits/MemoryShare.js';

/** Input that the parser is given at once, in bytes. In chunks of one byte it takes about a millisecond. */
const PIECE_BYTES = 4096;

/** Unread input from which on the kernel is taken to hold as much again as its window allows, in bytes. */
const FULL_INPUT_BYTES = 16 * 1024;

/** Usual receive window of the kernel, in bytes. */
const WINDOW_BYTES = 64 * 1024;

/** Time for which a client may go on sending a message that has been refused, in milliseconds. */
const LINGER_MS = 2000;

export interface InputDependencies {
  /** Orders the input of all connections of the process. */
  readonly turns: InputTurns;
  /** Counts the input that waits. */
  readonly memory: MemoryBudget;
  /** Called if the message that is being read must end, because reading it takes too much processor time. */
  onCostlyInput(connection: ScheduledConnection): void;
  /** Called if the connection must end, because what waits of it takes memory that is needed. */
  onUnreadInput(connection: ScheduledConnection): void;
}

/**
 * Passes a socket's input on to Node's parser in small pieces, each at its turn. Node would parse all that a socket
 * has received at once, one socket after the other, and hold each chunk as an object.
 */
export class ScheduledConnection extends Duplex implements InputSource {
  private readonly turn: InputTurn;

  private readonly unread: MemoryShare;

  /** Whether the parser takes more input. */
  private isWanted = false;

  /** Whether input is dropped, because the message has been refused. */
  private isDiscarding = false;

  private passedBytes = 0;

  private lingerTimer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly socket: Socket,
    private readonly dependencies: InputDependencies,
  ) {
    super({ allowHalfOpen: true, decodeStrings: false, readableHighWaterMark: PIECE_BYTES });
    this.turn = dependencies.turns.open(this);
    this.unread = dependencies.memory.open({
      allowanceBytes: 0,
      onEvict: () => dependencies.onUnreadInput(this),
    });
    socket.on('readable', () => this.handleReadable());
    socket.on('end', () => {
      if (!this.isDiscarding) this.push(null);
    });
    socket.on('timeout', () => this.emit('timeout'));
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => this.destroy());
  }

  public get remoteAddress(): string | undefined {
    return this.socket.remoteAddress;
  }

  public get remotePort(): number | undefined {
    return this.socket.remotePort;
  }

  /** Bytes that have been passed on to the parser. */
  public get bytesRead(): number {
    return this.passedBytes;
  }

  /** Bytes that have been written, also those that wait in this process. */
  public get bytesWritten(): number {
    return this.socket.bytesWritten + this.writableLength - this.socket.writableLength;
  }

  public get hasInput(): boolean {
    return (this.isWanted || this.isDiscarding) && this.socket.readableLength > 0;
  }

  public readPiece(): number {
    const { socket } = this;
    const limit = this.isDiscarding ? socket.readableLength : PIECE_BYTES;
    const piece = socket.read(Math.min(limit, socket.readableLength)) as Buffer | null;
    if (piece === null) return 0;
    this.passedBytes += piece.length;
    if (!this.isDiscarding) this.isWanted = this.push(piece);
    return piece.length;
  }

  public onEvict(): void {
    this.dependencies.onCostlyInput(this);
  }

  public setWaiting(isWaiting: boolean): void {
    if (!isWaiting) {
      this.unread.clear();
      return;
    }
    const { readableLength } = this.socket;
    const isFull = readableLength >= FULL_INPUT_BYTES;
    this.unread.add(isFull ? readableLength + WINDOW_BYTES : readableLength);
    // It waits for this process, not for the client.
    this.unread.settle();
  }

  /** Records that a message has been read to its end. */
  public endMessage(): void {
    this.turn.reset();
  }

  /** Drops the rest of the input unread. The client may go on sending for a moment, so that it gets the answer. */
  public discardInput(): void {
    this.isDiscarding = true;
    this.turn.reset();
    this.handleReadable();
  }

  /** Closes the connection once what has been written is sent. Node calls this after the last answer. */
  public destroySoon(): void {
    if (this.writable) this.end();
    const close = (): void => {
      if (!this.isDiscarding || this.socket.readableEnded) {
        this.destroy();
        return;
      }
      // Closing with unread input resets the connection, and the client may lose the answer.
      this.lingerTimer = setTimeout(() => this.destroy(), LINGER_MS).unref();
      this.socket.once('end', () => this.destroy());
    };
    if (this.writableFinished) close();
    else this.once('finish', close);
  }

  public setTimeout(ms: number, listener?: () => void): this {
    this.socket.setTimeout(ms);
    if (listener !== undefined) this.once('timeout', listener);
    return this;
  }

  public setNoDelay(isNoDelay?: boolean): this {
    this.socket.setNoDelay(isNoDelay);
    return this;
  }

  public setKeepAlive(isEnabled?: boolean, delayMs?: number): this {
    this.socket.setKeepAlive(isEnabled, delayMs);
    return this;
  }

  public override _read(): void {
    this.isWanted = true;
    if (this.hasInput) this.turn.request();
  }

  public override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.socket.write(chunk, encoding, callback);
  }

  public override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: (error?: Error | null) => void,
  ): void {
    this.socket.cork();
    const last = chunks.length - 1;
    for (const [index, { chunk, encoding }] of chunks.entries())
      this.socket.write(chunk, encoding, index === last ? callback : undefined);
    this.socket.uncork();
  }

  public override _final(callback: (error?: Error | null) => void): void {
    this.socket.end(() => callback());
  }

  public override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    clearTimeout(this.lingerTimer);
    this.turn.dispose();
    this.unread.dispose();
    if (this.socket.closed) callback(error);
    else this.socket.once('close', () => callback(error));
    this.socket.destroy();
  }

  private handleReadable(): void {
    // Reading nothing lets the end of the input be noticed.
    if (this.socket.readableLength === 0) this.socket.read(0);
    else this.turn.request();
  }
}
