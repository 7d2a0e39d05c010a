import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionGuard } from '../adapters/http/ConnectionGuard.js';

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
  private readonly sockets = new WeakSet<Socket>();

  public constructor(
    server: Server,
    private readonly guard: ConnectionGuard,
  ) {
    server.on('clientError', (error: NodeJS.ErrnoException, stream) =>
      this.handleError(error.code ?? '', stream as Socket),
    );
  }

  public has(socket: Socket): boolean {
    return this.sockets.has(socket);
  }

  private handleError(code: string, socket: Socket): void {
    const isGone = !socket.writable || socket.readableEnded;
    if (!isGone && this.guard.awaitedRequests(socket) > 0) {
      this.sockets.add(socket);
      return;
    }
    if (!isGone && !hasBegunAnswer(socket)) {
      const statusLine = STATUS_LINES[code] ?? OTHER_STATUS_LINE;
      socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroySoon();
  }
}
