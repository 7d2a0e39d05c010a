/** HTTP client on Node's `http` with keep-alive connections. */
import {
  Agent,
  request as httpRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import { Failure, FailureKind } from '../../core/Failure.js';

/** A call whose body is in memory. */
export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** Time limit for the whole call, in milliseconds. */
  readonly timeoutMs: number;
}

/** An answer whose body is in memory. */
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

const MAX_SOCKETS = 2048;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Splits `host:port` for Node's `http`, which expects an IPv6 host without brackets. */
export function hostAndPort(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

/**
 * Reads a whole body.
 * @throws Failure of kind `ConnectionLost` if the body exceeds `maxBytes` bytes
 * @throws the stream's error if the body ends early
 */
export async function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    if (size > maxBytes)
      throw new Failure(
        FailureKind.ConnectionLost,
        `The body exceeds the limit of ${maxBytes} bytes. Only a smaller one can be read.`,
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

  /** Closes all connections. */
  public dispose(): void {
    this.agent.destroy();
  }

  /**
   * Sends a call and reads its answer.
   * @throws Failure of kind `NotConnected` if nothing was sent, else of kind `ConnectionLost`
   */
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
        () => outgoing.destroy(new Error(`no response within ${call.timeoutMs} ms`)),
        call.timeoutMs,
      );
      const fail = (error: Error) => {
        clearTimeout(timer);
        const kind = connected ? FailureKind.ConnectionLost : FailureKind.NotConnected;
        reject(
          new Failure(
            kind,
            `${call.method} ${call.address}${call.path} failed (${error.message}). Check the server at this address.`,
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

  /**
   * Sends `body` as JSON and parses the answer as JSON; the value of an empty answer is undefined.
   * @throws Failure as `call` does
   * @throws SyntaxError if the answer is not JSON
   */
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
