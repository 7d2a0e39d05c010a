/** Callers inside the limits, some of them unusual. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { MAX_BODY_BYTES } from './HostileCrowd.js';
import { pause } from './Ports.js';

const HEAD_BYTES = 16_000;

/** Name of the last header of each request, by which a server sees that none before it was left out. */
export const LAST_HEADER = 'x-last';

const SLOW_BYTES = 15;

const SLOW_BYTE_MS = 200;

const CHUNKS = 5000;

function head(id: string, fields: string): string {
  return `POST /read/1 HTTP/1.1\r\nhost: host\r\nauthorization: Token key-1\r\nx-attempt-id: ${id}\r\nx-deadline-ms: 10000\r\n${fields}${LAST_HEADER}: 1\r\n\r\n`;
}

function* slowBody(): Iterable<string> {
  yield head('slow', `content-length: ${SLOW_BYTES}\r\n`);
  for (let sent = 0; sent < SLOW_BYTES; sent += 1) yield 'x';
}

/** A whole body in chunks of one byte. */
function chunksOfOneByte(id: string, bytes: number): string[] {
  return [head(id, 'transfer-encoding: chunked\r\n'), '1\r\nx\r\n'.repeat(bytes), '0\r\n\r\n'];
}

/** Parts that a caller sends on one connection, each a moment after the one before if it is slow. */
export const REQUESTS: Readonly<Record<string, Iterable<string>>> = {
  'sends a head of 16000 bytes in very short fields': [
    head('fields', `content-length: 0\r\n${'a:\r\n'.repeat((HEAD_BYTES - 300) / 4)}`),
  ],
  'sends a body in chunks of one byte': chunksOfOneByte('chunks', CHUNKS),
  'sends the largest body in chunks of one byte': chunksOfOneByte('largest', MAX_BODY_BYTES),
  'sends the largest body in one chunk': [
    head('one-chunk', 'transfer-encoding: chunked\r\n'),
    `${MAX_BODY_BYTES.toString(16)}\r\n${'x'.repeat(MAX_BODY_BYTES)}\r\n0\r\n\r\n`,
  ],
  'sends a body with trailers': [
    head('trailers', 'transfer-encoding: chunked\r\n'),
    '4\r\nbody\r\n0\r\n',
    'checksum: 1\r\n\r\n',
  ],
  'sends 4 bodies in chunks of one byte after another': [0, 1, 2, 3].flatMap((number) =>
    chunksOfOneByte(`chunks-${number}`, CHUNKS),
  ),
  'sends a byte of its body now and then': slowBody(),
  'sends 8 requests ahead and reads all answers': [0, 1, 2, 3, 4, 5, 6, 7].map((number) =>
    head(`ahead-${number}`, 'content-length: 0\r\n'),
  ),
};

/** One connection, with what came on it. */
export class LawfulCaller {
  public received = '';

  private readonly socket: Socket;

  public constructor(address: string) {
    this.socket = connect(hostAndPort(address));
    this.socket.on('error', () => undefined);
    this.socket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString('latin1');
    });
  }

  /** Number of answers with status 200 that ended. */
  public get answers(): number {
    return this.received.split('HTTP/1.1 200 ').length - 1;
  }

  public async send(parts: Iterable<string>): Promise<void> {
    if (this.socket.connecting) await once(this.socket, 'connect');
    for (const part of parts) {
      this.socket.write(part);
      if (part.length === 1) await pause(SLOW_BYTE_MS);
    }
  }

  /** Sends one short request. */
  public sendShort(id: string): Promise<void> {
    return this.send([head(id, 'content-length: 0\r\n')]);
  }

  public dispose(): void {
    this.socket.destroy();
  }
}
