/** One connection of a peer: what it has sent, and what it holds. */
import type { Socket } from 'node:net';
import { ConnectionPhase, type ConnectionHolder } from '../../core/limits/ConnectionBudget.js';
import type { MemoryShare } from '../../core/limits/MemoryShare.js';
import type { MemoryBudget } from '../../core/limits/MemoryBudget.js';
import type { Disposable } from '../../ports/Types.js';
import { ConnectionEnd } from '../http/GuardedConnection.js';

/** Bytes that a message takes on the wire besides its own, at most: the heads of its frames and of its stream. */
const FRAMING_BYTES = 1024;

/** Size from which on messages that are not complete are counted, in bytes. Digests are smaller. */
const COUNTED_BYTES = 64 * 1024;

export class PeerConnection implements ConnectionHolder, Disposable {
  public readonly phase = ConnectionPhase.Unfinished;

  public readonly peer: string;

  /** Address and port of the other end, as gRPC names it. */
  public readonly name: string;

  /** Bytes of messages that have been read to their end. */
  private endedBytes = 0;

  /** Bytes of the others that are counted. */
  private countedBytes = 0;

  private readonly unfinished: MemoryShare;

  /** @param onEnd - called if the connection is closed to stay within a bound */
  public constructor(
    private readonly socket: Socket,
    memory: MemoryBudget,
    private readonly onEnd: (reason: ConnectionEnd) => void,
  ) {
    this.peer = socket.remoteAddress ?? '';
    this.name = `${this.peer}:${socket.remotePort}`;
    this.unfinished = memory.open({
      allowanceBytes: 0,
      onEvict: () => this.end(ConnectionEnd.LargeMessages),
    });
  }

  public get movedBytes(): number {
    return this.socket.bytesRead;
  }

  public onEvict(): void {
    this.end(ConnectionEnd.Evicted);
  }

  /** Records that a message of so many bytes has been read to its end. */
  public endMessage(bytes: number): void {
    this.endedBytes = Math.min(this.socket.bytesRead, this.endedBytes + bytes + FRAMING_BYTES);
  }

  /** Counts what the gRPC server has read of messages that are not complete. */
  public countUnfinished(): void {
    const bytes = this.socket.bytesRead - this.endedBytes;
    const counted = bytes < COUNTED_BYTES ? 0 : bytes;
    if (counted === this.countedBytes) return;
    this.countedBytes = counted;
    this.unfinished.clear();
    if (counted > 0) this.unfinished.add(counted);
  }

  public end(reason: ConnectionEnd): void {
    this.socket.destroy();
    this.onEnd(reason);
  }

  public dispose(): void {
    this.unfinished.dispose();
  }
}
