/** Ways in which clients send bodies in chunks. The limit of bodies is `MAX_BODY_BYTES`. */
import { head, MAX_BODY_BYTES, MAX_HEAD_BYTES, type Door, type Way } from './HostileCrowd.js';

type Parts = Iterable<string | Buffer>;

const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

/** What is missing of a body that stops just short of its end, in bytes. */
const MISSING_BYTES = 10;

const LARGE_CHUNK_BYTES = 64 * 1024;

/** Chunks of one byte that are written at once. */
const SMALL_CHUNKS = 1000;

const SMALL = Buffer.from('1\r\nx\r\n'.repeat(SMALL_CHUNKS));

const LARGE = Buffer.from(
  `${LARGE_CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(LARGE_CHUNK_BYTES)}\r\n`,
);

function* repeat(part: Buffer, times: number): Parts {
  for (let sent = 0; sent < times; sent += 1) yield part;
}

function* oneChunk(door: Door, id: string): Parts {
  yield head('POST', door, id, CHUNKED);
  yield `${(MAX_BODY_BYTES - 1).toString(16)}\r\n`;
  const pieces = Math.floor((MAX_BODY_BYTES - MISSING_BYTES) / LARGE_CHUNK_BYTES);
  yield* repeat(Buffer.alloc(LARGE_CHUNK_BYTES, 'x'), pieces);
  yield Buffer.alloc(MAX_BODY_BYTES - MISSING_BYTES - pieces * LARGE_CHUNK_BYTES, 'x');
}

function* largeChunks(door: Door, id: string): Parts {
  yield head('POST', door, id, CHUNKED);
  yield* repeat(LARGE, Math.floor(MAX_BODY_BYTES / LARGE_CHUNK_BYTES) - 1);
  yield LARGE.subarray(0, -MISSING_BYTES);
}

/** A large chunk, then thousands of one byte, and so on. */
function* mixedChunks(door: Door, id: string): Parts {
  yield head('POST', door, id, CHUNKED);
  const smallParts = 5;
  const round = LARGE_CHUNK_BYTES + smallParts * SMALL_CHUNKS;
  for (let sent = round; sent < MAX_BODY_BYTES; sent += round) {
    yield LARGE;
    yield* repeat(SMALL, smallParts);
  }
}

function* smallChunks(door: Door, id: string, bytes = 100_000): Parts {
  yield head('POST', door, id, CHUNKED);
  yield* repeat(SMALL, bytes / SMALL_CHUNKS);
}

/** Name of a trailer's field, with its number. */
function trailer(number: number): string {
  return `t${number}: 1\r\n`;
}

function* trailers(door: Door, id: string): Parts {
  yield head('POST', door, id, CHUNKED);
  yield LARGE;
  const fields: string[] = [];
  for (let bytes = 0, number = 10_000; bytes < MAX_HEAD_BYTES - 600; number += 1) {
    fields.push(trailer(number));
    bytes += trailer(number).length;
  }
  yield `0\r\n${fields.join('')}`;
}

/** A whole short request, and then another on the same connection. */
function* afterAnother(door: Door, id: string, next: Parts): Parts {
  yield head('POST', door, `${id}-first`, 'content-length: 4\r\n\r\nbody');
  yield* next;
}

export const CHUNKED_WAYS: Readonly<Record<string, Way>> = {
  'stop just short of the end of a body in one chunk': {
    clients: 120,
    opening: oneChunk,
    isReading: true,
  },
  'stop just short of the end of a body in large chunks': {
    clients: 120,
    opening: largeChunks,
    isReading: true,
  },
  'stop just short of the end of a body in large and very small chunks': {
    clients: 60,
    opening: mixedChunks,
    isReading: true,
  },
  'send whole bodies in chunks of one byte': {
    clients: 100,
    opening: function* whole(door, id) {
      yield* smallChunks(door, id, 50_000);
      yield '0\r\n\r\n';
    },
    isReading: true,
  },
  'stop inside the trailers of a body in chunks': {
    clients: 160,
    opening: trailers,
    isReading: true,
  },
  'send a whole request, and stop just short of the end of a second body in chunks of one byte': {
    clients: 60,
    opening: (door, id) => afterAnother(door, id, smallChunks(door, id)),
    isReading: true,
  },
  'send bodies in chunks of one byte without end': {
    clients: 60,
    opening: (door, id) => [head('POST', door, id, CHUNKED)],
    repeated: Buffer.concat(Array.from({ length: 5 }, () => SMALL)),
    isReading: true,
  },
};
