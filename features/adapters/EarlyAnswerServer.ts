import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { resetConnection } from '../platform/Sockets.js';

/** Sends an answer to a request with the given id. Its connection is not read meanwhile. */
export type EarlyAnswer = (socket: Socket, id: string) => void;

export const BODY = 'a part of the answer or the whole one';

const FRAMINGS: Readonly<Record<string, string>> = {
  'without a length': '',
  'with a length': `content-length: ${BODY.length}\r\n`,
};

/** Sends the head and the body of an answer. */
export function sendAnswer(socket: Socket, id: string, framing: string): void {
  const head = `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-server-seal: seal\r\n`;
  socket.write(`${head}${FRAMINGS[framing]}connection: close\r\n\r\n${BODY}`);
}

/** Discards what comes on a connection, and calls back once after so many bytes. */
function readOn(socket: Socket, bytes: number, listener: () => void): void {
  let left = bytes;
  socket.on('data', ({ length }: Buffer) => {
    if (left > 0 && left <= length) listener();
    left -= length;
  });
  socket.resume();
}

/** What a server does with a connection after its answer. */
export const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  'a reset in the same moment': (socket) => resetConnection(socket),
  'a reset in the next turn': (socket) => setImmediate(() => resetConnection(socket)),
  'a reset 10 ms later': (socket) => setTimeout(() => resetConnection(socket), 10),
  // A connection that is closed with unread input is reset.
  'its end and a reset in the same moment': (socket) => {
    socket.end(() => socket.destroy());
  },
  'its end and a reset 50 ms later': (socket) => {
    socket.end();
    setTimeout(() => socket.destroy(), 50);
  },
  'its end, and a reset after 1 MB of reading': (socket) => {
    socket.end();
    readOn(socket, 1e6, () => {
      socket.pause();
      setTimeout(() => socket.destroy(), 50);
    });
  },
  'its end, and nothing more': (socket) => {
    socket.end();
  },
  'its end': (socket) => {
    socket.end();
    socket.resume();
  },
};

const ID_HEADER = /^x-attempt-id: (.*)\r$/im;

/** A server that answers as soon as it has the head of a request, whatever follows. */
export class EarlyAnswerServer {
  private readonly sockets = new Set<Socket>();

  private readonly server: Server = createServer({ allowHalfOpen: true }, (socket) => {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    this.readHead(socket, '');
  });

  public constructor(private readonly answer: EarlyAnswer) {}

  /** Returns the address at which it listens. */
  public listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  public close(): void {
    this.server.close();
    for (const socket of this.sockets) resetConnection(socket);
  }

  private readHead(socket: Socket, before: string): void {
    socket.once('data', (bytes) => {
      const text = before + bytes.toString('latin1');
      if (!text.includes('\r\n\r\n')) {
        this.readHead(socket, text);
        return;
      }
      socket.pause();
      this.answer(socket, ID_HEADER.exec(text)?.[1] ?? '');
    });
  }
}
