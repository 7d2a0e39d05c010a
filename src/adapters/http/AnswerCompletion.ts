/** Tells whether an answer whose body has been read is complete. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** How the connection has ended an answer. */
enum ConnectionEnd {
  /** Not at all: its length or its chunks delimit the answer. */
  None,
  /** It has ended, perhaps by a reset. */
  Unverified,
  Orderly,
  Broken,
}

/**
 * Keeps Node from closing a connection whose other end has ended it, so that what is left of a request can still be
 * written. Call it from a listener of 'end' that comes before Node's own.
 */
function keepWriting(socket: Socket): void {
  socket.destroy = (error) =>
    error ? Object.getPrototypeOf(socket).destroy.call(socket, error) : socket;
  // The answer's own 'end', at which Node closes the connection once all is written, comes in a later tick.
  process.nextTick(() => {
    delete (socket as Partial<Socket>).destroy;
  });
}

/**
 * Follows one call until it is certain whether its answer is complete.
 *
 * An answer without a length or chunks ends with its connection, and is not complete if that is reset. Node's parser
 * completes it either way, and libuv reports a reset that arrives together with data as an end. An empty write behind
 * the request tells them apart: it sends nothing, and fails if the connection is reset before the request has been
 * written. A server that answers early, ends its answer and reads on gets the rest of the request first.
 *
 * Once the system has taken the whole request, an end without a reset completes the answer, whatever the connection
 * meets later: the server has ended what it sends, and nothing tells whether it needed more of the request.
 */
export class AnswerCompletion {
  private end = ConnectionEnd.None;

  private answer: IncomingMessage | undefined;

  private listener: ((isComplete: boolean) => void) | undefined;

  /** @param outgoing - the call, before it has a socket */
  public constructor(private readonly outgoing: ClientRequest) {
    outgoing.once('socket', (socket) => {
      // Comes before Node's own listener, which completes the answer and closes the connection.
      socket.prependListener('end', this.verifyEnd);
      outgoing.once('close', () => socket.removeListener('end', this.verifyEnd));
    });
    outgoing.once('response', (answer) => {
      this.answer = answer;
    });
    outgoing.on('error', () => {
      // After an error, Node's parser completes an answer that its connection delimits.
      if (this.answer?.complete === true) this.settle(ConnectionEnd.Broken);
      else this.end = ConnectionEnd.Broken;
    });
  }

  /**
   * Calls `listener` once it is certain whether the answer, whose body has been read, is complete. If the server
   * neither reads the rest of the request nor closes the connection, that is when the call is destroyed.
   */
  public onceKnown(listener: (isComplete: boolean) => void): void {
    if (this.end === ConnectionEnd.Unverified) this.listener = listener;
    else listener(this.isComplete);
  }

  /** Resolves once it is certain whether the answer, whose body has been read, is complete. */
  public whenKnown(): Promise<boolean> {
    return new Promise((resolve) => {
      this.onceKnown(resolve);
    });
  }

  private get isComplete(): boolean {
    return this.answer?.complete === true && this.end !== ConnectionEnd.Broken;
  }

  private readonly verifyEnd = (): void => {
    const { answer, outgoing } = this;
    if (answer === undefined || answer.complete) return;
    const { socket } = outgoing;
    // Parts that are still to come cannot be written after the answer's end.
    if (socket === null || !outgoing.writableEnded) {
      this.end = ConnectionEnd.Broken;
      return;
    }
    if (!outgoing.writableFinished) keepWriting(socket);
    this.end = ConnectionEnd.Unverified;
    socket.write('', (error) => this.settle(error ? ConnectionEnd.Broken : ConnectionEnd.Orderly));
  };

  /** Decides about an end that is not verified yet. */
  private settle(end: ConnectionEnd): void {
    if (this.end !== ConnectionEnd.Unverified) return;
    this.end = end;
    this.listener?.(this.isComplete);
    this.listener = undefined;
  }
}
