/** Reads whole bodies. */
import { finished, type Readable } from 'node:stream';
import { Failure, FailureKind } from '../../core/Failure.js';
import type { MemoryShare } from '../../core/limits/MemoryShare.js';
import { MessageBuffer } from '../../core/limits/MessageBuffer.js';

/**
 * Reads a whole body. Of one that exceeds the limit the rest is dropped as it comes, until the connection is closed.
 * @param memory - counts what is kept of the body
 * @throws Failure of kind `ConnectionLost` if the body exceeds `maxBytes` bytes
 * @throws the stream's error if the body ends early
 */
export function readBody(
  message: Readable,
  maxBytes: number,
  memory?: MemoryShare,
): Promise<Buffer> {
  const body = new MessageBuffer(memory);
  return new Promise((resolve, reject) => {
    finished(message, { writable: false }, (error) => {
      if (error) reject(error);
      else resolve(body.takeWhole());
    });
    // An asynchronous iterator would queue each chunk of what has been read, and hold it for a turn of the event loop.
    const keep = (part: Buffer): void => {
      if (body.length + part.length <= maxBytes) {
        body.append(part);
        return;
      }
      message.off('data', keep);
      message.resume();
      body.clear();
      reject(
        new Failure(
          FailureKind.ConnectionLost,
          `The body exceeds the limit of ${maxBytes} bytes. Only a smaller one can be read.`,
        ),
      );
    };
    message.on('data', keep);
  });
}
