/** A small client over Node's `http` with kept-alive connections. */
import {
  Agent,
  request as httpRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import { Failure, FailureKind } from '../../core/Failure.js';

/** One call with a body in memory. */
export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** Time limit for the whole call, in milliseconds. */
  readonly timeoutMs: number;
}

/** An answer with its body in memory. */
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

const MAX_SOCKETS = 2048;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Splits `address` into what Node's `http` takes. */
export function hostAndPort(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

/** Reads a whole body; rejects when it breaks off or passes `maxBytes`. */
export async function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    if (size > maxBytes)
      throw new Failure(
        FailureKind.ConnectionLost,
        `The body passes ${maxBytes} bytes. Send less.`,
      );
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks, size);
}

export class HttpClient {
  public readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS,
    maxFreeSockets: 256,
  });

  /** Closes every kept connection. */
  public dispose(): void {
    this.agent.destroy();
  }

  /** Sends a call and reads its answer. Rejects with `NotConnected` when nothing was sent. */
  public call(call: HttpCall): Promise<HttpAnswer> {
    return new Promise((resolve, reject) => {
      let connected = false;
      const outgoing = httpRequest({
        ...hostAndPort(call.address),
        method: call.method,
        path: call.path,
        agent: this.agent,
        headers: {
          ...call.headers,
          ...(call.body !== undefined && { 'content-length': Buffer.byteLength(call.body) }),
        },
      });
      const timer = setTimeout(
        () => outgoing.destroy(new Error(`no answer in ${call.timeoutMs} ms`)),
        call.timeoutMs,
      );
      const fail = (error: Error) => {
        clearTimeout(timer);
        const kind = connected ? FailureKind.ConnectionLost : FailureKind.NotConnected;
        reject(
          new Failure(
            kind,
            `${call.method} ${call.address}${call.path}: ${error.message}. Check that the server runs.`,
          ),
        );
      };
      outgoing.on('socket', (socket) => {
        if (!socket.connecting) connected = true;
        else
          socket.once('connect', () => {
            connected = true;
          });
      });
      outgoing.on('error', fail);
      outgoing.on('response', (message) => {
        readBody(message, MAX_ANSWER_BYTES)
          .then((body) => {
            clearTimeout(timer);
            resolve({
              status: message.statusCode ?? 0,
              contentType: message.headers['content-type'] ?? '',
              body,
            });
          })
          .catch(fail);
      });
      outgoing.end(call.body);
    });
  }

  /** Sends JSON and reads JSON. */
  public async json<T>(
    call: Omit<HttpCall, 'body'>,
    body?: unknown,
  ): Promise<{ status: number; value: T }> {
    const answer = await this.call({
      ...call,
      headers: { ...call.headers, 'content-type': 'application/json' },
      ...(body !== undefined && { body: JSON.stringify(body) }),
    });
    return {
      status: answer.status,
      value: (answer.body.length > 0 ? JSON.parse(answer.body.toString()) : undefined) as T,
    };
  }
}
