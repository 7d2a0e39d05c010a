/** HTTP client on Node's `http` with keep-alive connections. */
import {
  Agent,
  request as httpRequest,
  type IncomingHttpHeaders,
  type OutgoingHttpHeaders,
} from 'node:http';
import { Failure, FailureKind } from '../../core/Failure.js';
import type { MemoryBudget } from '../../core/limits/MemoryBudget.js';
import type { Disposable } from '../../ports/Types.js';
import { AnswerCompletion } from './AnswerCompletion.js';
import { readBody } from './BodyReader.js';
import { hasValidHead } from './HeaderText.js';
import { startInputTimer } from './InputTimer.js';

/** A call whose body is in memory. */
export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** Time limit for the whole call, in milliseconds; with `idleTimeoutMs`, for the answer's head. */
  readonly timeoutMs: number;
  /** Whether the call may be made twice, though its method is not GET. */
  readonly isRepeatable?: boolean;
  /**
   * Time limit for each part of the answer's body, in milliseconds. Large bodies that take long over a narrow
   * link are then read to their end.
   */
  readonly idleTimeoutMs?: number;
  /** Maximum size of the answer's body, in bytes. */
  readonly maxAnswerBytes?: number;
  /** Called with the status and the headers, in lower case, as soon as they arrive, whatever follows. */
  readonly onHead?: (status: number, headers: IncomingHttpHeaders) => void;
}

/** An answer whose body is in memory. */
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Headers by name in lower case. */
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const MAX_SOCKETS = 2048;

/**
 * Time after which an idle connection is closed, in milliseconds: less than the 5 s of many servers, among them Node's.
 * If a server announces a shorter one, that one applies.
 */
const IDLE_TIMEOUT_MS = 4000;

/** Maximum size of an answer's body for calls that state none, in bytes. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Size up to which an answer is read even if callers' messages take all memory, in bytes. */
const ALLOWANCE_BYTES = 8 * 1024 * 1024; // a large configuration in one page

/** Splits `host:port` for Node's `http`, which expects an IPv6 host without brackets. */
export function hostAndPort(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

/** Codes of the errors of a call on a connection that its server has closed. */
const CLOSED_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

function mayBeRepeated({ method, isRepeatable }: HttpCall): boolean {
  return isRepeatable ?? method === 'GET';
}

export class HttpClient {
  public readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS,
    maxFreeSockets: 256,
    timeout: IDLE_TIMEOUT_MS,
  });

  /** @param memory - counts the answers that are being read; those that nobody counts have their own limits only */
  public constructor(private readonly memory?: MemoryBudget) {}

  /** Closes all connections. */
  public dispose(): void {
    this.agent.destroy();
  }

  /**
   * Sends a call and reads its answer. A repeatable call is sent again on a new connection if the server has closed
   * the kept one.
   * @throws Failure of kind `NotConnected` if nothing was sent, else of kind `ConnectionLost`
   */
  public call(call: HttpCall): Promise<HttpAnswer> {
    return this.send(call, this.agent);
  }

  private send(call: HttpCall, agent: Agent | false): Promise<HttpAnswer> {
    const endsAt = performance.now() + call.timeoutMs;
    return new Promise((resolve, reject) => {
      let connected = false;
      let hasAnswer = false;
      const outgoing = httpRequest({
        ...hostAndPort(call.address),
        method: call.method,
        path: call.path,
        agent,
        headers: {
          ...call.headers,
          ...(call.body !== undefined && { 'content-length': Buffer.byteLength(call.body) }),
        },
      });
      const completion = new AnswerCompletion(outgoing);
      const limit = (ms: number): Disposable =>
        startInputTimer(ms, () => outgoing.destroy(new Error(`no response within ${ms} ms`)));
      let timer = limit(call.timeoutMs);
      const share = this.memory?.open({
        allowanceBytes: ALLOWANCE_BYTES,
        onEvict: () => outgoing.destroy(new Error('no memory left for its answer')),
      });
      const restartTimer = (): void => {
        if (call.idleTimeoutMs === undefined) return;
        timer.dispose();
        timer = limit(call.idleTimeoutMs);
      };
      const fail = (error: NodeJS.ErrnoException) => {
        timer.dispose();
        share?.dispose();
        const timeoutMs = Math.ceil(endsAt - performance.now());
        const wasClosedBefore =
          outgoing.reusedSocket && !hasAnswer && CLOSED_CODES.has(error.code ?? '');
        if (wasClosedBefore && timeoutMs > 0 && mayBeRepeated(call)) {
          resolve(this.send({ ...call, timeoutMs }, false));
          return;
        }
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
      // No call asks for another protocol; Node tells of such an answer only here.
      outgoing.on('upgrade', (_message, socket) => {
        fail(new Error('its answer switches to another protocol'));
        socket.destroy();
      });
      outgoing.on('response', (message) => {
        hasAnswer = true;
        if (!hasValidHead(message)) {
          outgoing.destroy(new Error('the head of its answer is not valid HTTP'));
          return;
        }
        restartTimer();
        call.onHead?.(message.statusCode ?? 0, message.headers);
        message.on('data', restartTimer);
        readBody(message, call.maxAnswerBytes ?? MAX_ANSWER_BYTES, share)
          .then(async (body) => {
            if (!(await completion.whenKnown()))
              throw new Error('its connection was lost within the answer');
            timer.dispose();
            share?.dispose();
            resolve({
              status: message.statusCode ?? 0,
              contentType: message.headers['content-type'] ?? '',
              headers: message.headers,
              body,
            });
          })
          .catch((error: Error) => {
            fail(error);
            outgoing.destroy();
          });
      });
      outgoing.end(call.body);
    });
  }

  /**
   * Closes the idle connections to an address. If a call on one connection has failed, the others may be dead
   * as well, and each would cost the next call another time-out.
   */
  public closeIdleConnections(address: string): void {
    const { host, port } = hostAndPort(address);
    for (const [name, sockets] of Object.entries(this.agent.freeSockets)) {
      if (!name.startsWith(`${host}:${port}:`)) continue;
      for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }

  /**
   * Sends `body` as JSON and parses the answer as JSON; the value of an empty answer is undefined.
   * @throws Failure as `call` does
   * @throws SyntaxError if the answer is not JSON
   */
  public async json<T>(
    call: Omit<HttpCall, 'body'>,
    body?: unknown,
  ): Promise<{ status: number; headers: IncomingHttpHeaders; value: T }> {
    const answer = await this.call({
      ...call,
      headers: { ...call.headers, 'content-type': 'application/json' },
      ...(body !== undefined && { body: JSON.stringify(body) }),
    });
    return {
      status: answer.status,
      headers: answer.headers,
      value: (answer.body.length > 0 ? JSON.parse(answer.body.toString()) : undefined) as T,
    };
  }
}
