/** One connection of a guarded server: what its client does, and what it holds. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { ConnectionPhase, type ConnectionHolder } from '../../core/limits/ConnectionBudget.js';
import type { MemoryBudget } from '../../core/limits/MemoryBudget.js';
import type { MemoryShare } from '../../core/limits/MemoryShare.js';
import type { ScheduledConnection } from './ScheduledConnection.js';

/** Size from which on a head that has not been read to its end is counted, in bytes. */
const COUNTED_HEAD_BYTES = 1024;

/** Memory that a byte of a head takes while its fields are being read, if they are short, in bytes. */
const MEMORY_PER_HEAD_BYTE = 10;

/** Why a connection was closed; each value is part of a metric's name. */
export enum ConnectionEnd {
  /** It did not move on while the listener had no connections left. */
  Evicted = 'evicted',
  /** The listener had no connections left, and all others moved on. */
  TurnedAway = 'turned-away',
  /** It had too many requests without an answer. */
  RequestsAhead = 'requests-ahead',
  /** The messages in progress took all memory, and it kept most with a head that was not complete. */
  LargeHead = 'large-head',
  /** Reading its message took much processor time, while the input of others was read. */
  CostlyInput = 'costly-input',
  /** The messages in progress took all memory, and it kept most with messages that were not complete. */
  LargeMessages = 'large-messages',
  /** The messages in progress took all memory, and it kept most with input that had not been read. */
  UnreadInput = 'unread-input',
}

export class GuardedConnection implements ConnectionHolder {
  /** Called at the end of the requests whose answers have not been written. */
  private readonly endsOfRequests = new Set<() => void>();

  /** Requests that have not been read to their end. */
  private unreadRequests = 0;

  private hasHadRequest = false;

  /** Refuses the request that is being read; undefined between requests, or if it cannot be refused. */
  private refuseUnread: (() => void) | undefined;

  /** Value of `bytesRead` when the last request had been read. */
  private bytesReadBefore = 0;

  private headMemory: MemoryShare | undefined;

  private countedHeadBytes = 0;

  public readonly peer: string;

  public constructor(
    private readonly socket: ScheduledConnection,
    private readonly end: (end: ConnectionEnd) => void,
  ) {
    this.peer = socket.remoteAddress ?? '';
  }

  /** Number of requests whose answers have not been written. */
  public get openRequests(): number {
    return this.endsOfRequests.size;
  }

  /** Whether input has arrived that waits for its turn to be read. */
  public get hasWaitingInput(): boolean {
    return this.socket.hasInput;
  }

  public get movedBytes(): number {
    // Bytes that wait in this process have not been taken by the client.
    return this.socket.bytesRead + this.socket.bytesWritten - this.socket.writableLength;
  }

  public get phase(): ConnectionPhase {
    if (this.unreadRequests > 0 || this.socket.writableLength > 0)
      return ConnectionPhase.Unfinished;
    if (this.openRequests > 0) return ConnectionPhase.Awaited;
    const isIdle = this.hasHadRequest && this.socket.bytesRead === this.bytesReadBefore;
    return isIdle ? ConnectionPhase.Idle : ConnectionPhase.Unfinished;
  }

  public onEvict(): void {
    this.end(ConnectionEnd.Evicted);
  }

  /**
   * Counts a request until its answer has been written or the connection is closed.
   * @param onEnd - called then
   * @param refuse - refuses the request while it is being read
   */
  public begin(
    request: IncomingMessage,
    response: ServerResponse,
    onEnd: () => void,
    refuse?: () => void,
  ): void {
    this.refuseUnread = refuse;
    this.endsOfRequests.add(onEnd);
    this.unreadRequests += 1;
    this.hasHadRequest = true;
    this.releaseHead();
    request.once('end', () => {
      this.unreadRequests -= 1;
      this.bytesReadBefore = this.socket.bytesRead;
      this.refuseUnread = undefined;
      this.socket.endMessage();
    });
    response.once('close', () => {
      if (this.endsOfRequests.delete(onEnd)) onEnd();
    });
  }

  /** Refuses the request that is being read, or closes the connection if there is none or it has its answer. */
  public refuseInput(): void {
    const { refuseUnread } = this;
    if (refuseUnread === undefined) this.socket.destroy();
    else refuseUnread();
  }

  /** Drops what still comes of a request that has been refused. */
  public discardInput(): void {
    this.refuseUnread = undefined;
    this.socket.discardInput();
  }

  /** Counts what has been read of a head that is not complete. */
  public countHead(memory: MemoryBudget): void {
    if (this.openRequests > 0) return;
    const bytes = this.socket.bytesRead - this.bytesReadBefore;
    if (bytes < COUNTED_HEAD_BYTES || bytes === this.countedHeadBytes) return;
    this.headMemory ??= memory.open({
      allowanceBytes: 0,
      onEvict: () => this.end(ConnectionEnd.LargeHead),
    });
    const added = bytes - this.countedHeadBytes;
    this.countedHeadBytes = bytes;
    this.headMemory.add(added * MEMORY_PER_HEAD_BYTE);
  }

  /** Ends what the connection has open. Node emits no event for answers that wait behind others. */
  public close(): void {
    this.releaseHead();
    for (const onEnd of this.endsOfRequests) onEnd();
    this.endsOfRequests.clear();
  }

  private releaseHead(): void {
    this.headMemory?.dispose();
    this.headMemory = undefined;
    this.countedHeadBytes = 0;
  }
}
