import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Status lines of refusals by Node's error code. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

const OTHER_STATUS_LINE = '400 Bad Request';

/** Whether an answer on the connection has begun, so that no refusal can follow it. Node's own handler asks the same. */
function hasBegunAnswer(socket: Socket): boolean {
  const { _httpMessage: current } = socket as { _httpMessage?: ServerResponse | null };
  return current?.headersSent === true;
}

/**
 * Connections on which something came that is no request, or a head that took too long. Node would refuse that in
 * place of the answers to the requests before it; here it waits for them, and the connection then closes.
 */
export class BrokenConnections {
  private readonly broken = new WeakSet<Socket>();

  /** Number of requests that have been read to their end and not been answered, by connection. */
  private readonly awaited = new WeakMap<Socket, number>();

  /** Watches the connections of a server, which does not listen yet. */
  public attach(server: Server): void {
    server.on('request', (request, response) => this.watch(request, response));
    server.on('clientError', (error: NodeJS.ErrnoException, stream) =>
      this.handleError(error.code ?? '', stream as Socket),
    );
  }

  /** Whether a connection closes after the answer that is next on it, because nothing after it can be read. */
  public closesAfterAnswer(socket: Socket): boolean {
    return this.broken.has(socket) && this.awaitedOn(socket) <= 1;
  }

  private awaitedOn(socket: Socket): number {
    return this.awaited.get(socket) ?? 0;
  }

  private watch(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    request.once('end', () => {
      this.awaited.set(socket, this.awaitedOn(socket) + 1);
      response.once('close', () => this.awaited.set(socket, this.awaitedOn(socket) - 1));
    });
    response.once('finish', () => {
      if (this.closesAfterAnswer(socket)) socket.end();
    });
  }

  private handleError(code: string, socket: Socket): void {
    const isGone = !socket.writable || socket.readableEnded;
    if (!isGone && this.awaitedOn(socket) > 0) {
      this.broken.add(socket);
      return;
    }
    if (!isGone && !hasBegunAnswer(socket)) {
      const statusLine = STATUS_LINES[code] ?? OTHER_STATUS_LINE;
      socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroySoon();
  }
}
