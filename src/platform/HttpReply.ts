import type { ServerResponse } from 'node:http';
import type { Refusal } from '../core/Outcome.js';
import type { MemoryShare } from '../core/limits/MemoryShare.js';
import type { AnswerHead, CallerReply } from '../core/relay/Types.js';

/**
 * Takes a step once a response is the next one on its connection, so that requests that were sent ahead go to
 * servers one at a time.
 */
export function onceNext(response: ServerResponse, step: () => void): void {
  if (response.socket === null) response.once('socket', step);
  else step();
}

/** Sends one answer to a caller through Node's `ServerResponse`. */
export class HttpReply implements CallerReply {
  /** @param isLast - whether the connection closes after the answer */
  public constructor(
    private readonly response: ServerResponse,
    private readonly isLast: () => boolean,
  ) {}

  public writeHead({ status, headers }: AnswerHead): void {
    if (this.isLast()) this.response.shouldKeepAlive = false;
    this.response.writeHead(status, headers as string[]);
  }

  public write(chunk: Buffer): boolean {
    return chunk.length === 0 || this.response.write(chunk);
  }

  public onceTaken(listener: () => void): void {
    this.response.once('drain', listener);
  }

  public endWith(parts: readonly Buffer[], memory: MemoryShare): void {
    const { response } = this;
    const pending = [...parts];
    const write = (): void => {
      for (let part = pending.shift(); part !== undefined; part = pending.shift()) {
        memory.remove(part.length);
        if (!this.write(part) && pending.length > 0) {
          response.once('drain', write);
          return;
        }
      }
      response.end();
    };
    write();
  }

  public end(): void {
    this.response.end();
  }

  public refuse({ status, message, reason, outcome, retryAfterMs }: Refusal): void {
    const { response } = this;
    if (response.headersSent || response.destroyed) {
      this.abort();
      return;
    }
    if (this.isLast()) response.shouldKeepAlive = false;
    const body = Buffer.from(JSON.stringify({ error: { message, reason, outcome } }));
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': body.length,
      ...(retryAfterMs > 0 && { 'retry-after': (retryAfterMs / 1000).toFixed(2) }),
    });
    response.end(body);
  }

  public abort(): void {
    this.response.destroy();
  }
}
