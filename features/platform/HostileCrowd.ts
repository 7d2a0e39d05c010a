/** Clients that keep to no limits: what they send, at which address, and the crowd that sends it. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { LARGE_ANSWER_HEADER } from './FakeBackendServer.js';
import { pause } from './Ports.js';

/** Limits of bodies and heads in the configuration of these tests, in bytes. */
export const MAX_BODY_BYTES = 1_000_000;
export const MAX_HEAD_BYTES = 16_384;

/** Length of heads with many fields, which leaves room for the usual ones, in bytes. */
const LONG_HEAD_BYTES = MAX_HEAD_BYTES - 600;

const SMALL_PIECE_BYTES = 1000;

/** Interval at which clients that go on send the next part, in milliseconds. */
const REPEAT_MS = 50;

/** Where a crowd connects, and what its requests ask for. */
export interface Door {
  /** Name of the listener in `RouterProcess.listeners`. */
  readonly listener: string;
  readonly path: string;
  readonly authorization: string;
}

const KEY = 'authorization: Token key-1\r\n';

export const DOORS: Readonly<Record<string, Door>> = {
  'a route': { listener: 'callers', path: '/read/1', authorization: KEY },
  'a route, without a key': { listener: 'callers', path: '/read/1', authorization: '' },
  'no route': { listener: 'callers', path: '/none/1', authorization: KEY },
  'the ready path': { listener: 'callers', path: '/-/readyz', authorization: '' },
  readiness: { listener: 'readiness', path: '/-/readyz', authorization: '' },
  metrics: { listener: 'metrics', path: '/metrics', authorization: '' },
  peers: { listener: 'peers', path: '/', authorization: '' },
};

/** What each client of a crowd does. */
export interface Way {
  readonly clients: number;
  /** Parts that a client sends without a pause. */
  readonly opening: (door: Door, id: string) => Iterable<string | Buffer>;
  /** Part that it sends again and again afterwards. */
  readonly repeated?: string | Buffer;
  readonly isReading?: boolean;
  /** Whether it reads a byte of its answers now and then. */
  readonly isReadingSlowly?: boolean;
}

export function head(
  method: string,
  { path, authorization }: Door,
  id: string,
  fields: string,
  answer = 'stops before its body',
): string {
  return `${method} ${path} HTTP/1.1\r\nhost: host\r\n${authorization}x-attempt-id: ${id}\r\nx-deadline-ms: 20000\r\n${LARGE_ANSWER_HEADER}: ${answer}\r\n${fields}`;
}

function shortFields(): string {
  const fields: string[] = [];
  for (let bytes = 0; bytes < LONG_HEAD_BYTES; bytes += 8)
    fields.push(`${(fields.length + 4096).toString(16)}:1\r\n`);
  return fields.join('');
}

const SHORT_FIELDS = shortFields();

const QUERY = 'a=1&'.repeat(LONG_HEAD_BYTES / 4);

function* bodyInPieces(door: Door, id: string): Iterable<string | Buffer> {
  yield head('POST', door, id, `content-length: ${MAX_BODY_BYTES}\r\n\r\n`);
  const piece = Buffer.alloc(SMALL_PIECE_BYTES, 'x');
  for (let sent = SMALL_PIECE_BYTES; sent < MAX_BODY_BYTES; sent += SMALL_PIECE_BYTES) yield piece;
}

/** Chunks of one byte, without the last one, in parts of many chunks. */
function* bodyInChunks(door: Door, id: string): Iterable<string | Buffer> {
  yield head('POST', door, id, 'transfer-encoding: chunked\r\n\r\n');
  const part = '1\r\nx\r\n'.repeat(1000);
  for (let parts = 0; parts < 100; parts += 1) yield part;
}

function* chunkExtensions(door: Door, id: string): Iterable<string | Buffer> {
  yield head('POST', door, id, 'transfer-encoding: chunked\r\n\r\n');
  const part = `1;${'a=b;'.repeat(1000)}\r\nx\r\n`;
  for (let parts = 0; parts < 100; parts += 1) yield part;
}

/** Requests on one connection, each complete. */
function* requestsAhead(
  count: number,
  door: Door,
  id: string,
  fields: string,
): Iterable<string | Buffer> {
  for (let number = 0; number < count; number += 1)
    yield head('GET', door, `${id}-${number}`, `${fields}\r\n`);
}

export const WAYS: Readonly<Record<string, Way>> = {
  'stop just short of the end of a body in small pieces': {
    clients: 300,
    opening: bodyInPieces,
    isReading: true,
  },
  'stop just short of the end of a body in chunks of one byte': {
    clients: 20,
    opening: bodyInChunks,
    isReading: true,
  },
  'stop just short of the end of a body with long chunk extensions': {
    clients: 60,
    opening: chunkExtensions,
    isReading: true,
  },
  'send bodies without end': {
    clients: 60,
    opening: (door, id) => [head('POST', door, id, 'transfer-encoding: chunked\r\n\r\n')],
    repeated: `4000\r\n${'x'.repeat(0x4000)}\r\n`,
    isReading: true,
  },
  'send heads of very many short fields, and stop inside the body': {
    clients: 380,
    opening: (door, id) => [
      head('POST', door, id, `content-length: 10\r\n${SHORT_FIELDS}\r\n`),
      'body',
    ],
    isReading: true,
  },
  'send heads of very many short fields, and stop before their end': {
    clients: 380,
    opening: (door, id) => [head('POST', door, id, SHORT_FIELDS)],
    isReading: true,
  },
  'send 2000 requests ahead without reading': {
    clients: 60,
    opening: (door, id) => requestsAhead(2000, door, id, ''),
  },
  'send 60 requests of very many short fields ahead without reading': {
    clients: 60,
    opening: (door, id) => requestsAhead(60, door, id, SHORT_FIELDS),
  },
  'send very many query parameters, and stop inside the body': {
    clients: 380,
    opening: (door, id) => [
      head('POST', { ...door, path: `${door.path}?${QUERY}` }, id, 'content-length: 10\r\n\r\n'),
      'body',
    ],
    isReading: true,
  },
  'read a byte of a large answer now and then': {
    clients: 60,
    opening: (door, id) => [head('GET', door, id, '\r\n', 'whole')],
    isReadingSlowly: true,
  },
  'connect and send nothing': { clients: 700, opening: () => [], isReading: true },
  'stop half-way through a head': {
    clients: 700,
    opening: (door, id) => [head('POST', door, id, 'x-half: ')],
    isReading: true,
  },
  'send a byte of a head now and then': {
    clients: 700,
    opening: (door, id) => [head('POST', door, id, 'x-half: ')],
    repeated: 'x',
    isReading: true,
  },
  'stop half-way through a body': {
    clients: 700,
    opening: (door, id) => [head('POST', door, id, 'content-length: 10000\r\n\r\n'), 'half'],
    isReading: true,
  },
  'send a byte of a body now and then': {
    clients: 700,
    opening: (door, id) => [head('POST', door, id, 'content-length: 10000\r\n\r\n')],
    repeated: 'x',
    isReading: true,
  },
  'send bytes that are no request': {
    clients: 700,
    opening: () => [Buffer.alloc(1000, 0xf7)],
    isReading: true,
  },
};

export class HostileCrowd {
  private readonly sockets: Socket[] = [];

  private timer: NodeJS.Timeout | undefined;

  /**
   * Connects every client and lets it send what its way says. A client stays until the router closes its
   * connection.
   * @param address - address of the door's listener
   * @param count - number of clients; 0 for the usual number of the way
   */
  public async begin(way: Way, door: Door, address: string, count: number): Promise<void> {
    const { clients, opening, repeated, isReading, isReadingSlowly } = way;
    for (let number = 0; number < (count || clients); number += 1) {
      const socket = connect(hostAndPort(address));
      socket.on('error', () => undefined);
      if (isReading === true) socket.resume();
      this.sockets.push(socket);
      this.send(socket, opening(door, `hostile-${number}`));
      if (number % 20 === 19) await pause(1);
    }
    if (repeated === undefined && isReadingSlowly !== true) return;
    this.timer = setInterval(() => {
      for (const socket of this.sockets) {
        if (isReadingSlowly === true) socket.read(1);
        if (repeated !== undefined && !socket.destroyed && !socket.writableNeedDrain)
          socket.write(repeated);
      }
    }, REPEAT_MS);
  }

  public dispose(): void {
    clearInterval(this.timer);
    for (const socket of this.sockets) socket.destroy();
  }

  private async send(socket: Socket, parts: Iterable<string | Buffer>): Promise<void> {
    for (const part of parts) {
      if (socket.destroyed) return;
      if (!socket.write(part))
        await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => undefined);
    }
  }
}
