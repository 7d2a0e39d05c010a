/** Calls plain services over HTTP with streamed bodies. */
import { once } from 'node:events';
import {
  request as httpRequest,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import { Failure, FailureKind } from '../../core/Failure.js';
import type {
  PlainCall,
  PlainResponse,
  PlainTransport,
} from '../../core/requests/PlainTransport.js';
import { AnswerCompletion } from './AnswerCompletion.js';
import { hasValidHead } from './HeaderText.js';
import { hostAndPort } from './HttpClient.js';
import { startInputTimer } from './InputTimer.js';

/** Header with which a server states that it did not run the call. */
const NOT_RUN_HEADER = 'acaciadrum-not-run';

const CONNECT_TIMEOUT_MS = 500;

/**
 * Hop-by-hop headers, and two that concern only the connection to this process: `host`, which is set anew for
 * the server, and `expect`, which Node answers.
 */
const REMOVED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
]);

/** Removes `REMOVED_HEADERS` and the headers that `Connection` names. */
export function endToEndHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const connectionOptions = new Set(
    (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || REMOVED_HEADERS.has(name) || connectionOptions.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

async function sendBody(outgoing: ClientRequest, body: PlainCall['body']): Promise<void> {
  if (body instanceof Uint8Array) {
    outgoing.end(body);
    return;
  }
  for await (const chunk of body) {
    if (!outgoing.write(chunk)) await once(outgoing, 'drain');
  }
  outgoing.end();
}

/**
 * Reads the body of an answer.
 * @param timeoutMs - time limit for the rest of the request, if the answer ends before it, in milliseconds
 * @throws Failure of kind `ConnectionLost` if the answer is not complete
 */
async function* readBody(
  message: IncomingMessage,
  outgoing: ClientRequest,
  completion: AnswerCompletion,
  timeoutMs: number,
): AsyncGenerator<Uint8Array> {
  yield* message;
  const timer = startInputTimer(timeoutMs, () =>
    outgoing.destroy(new Error('the request was not read in time')),
  );
  const isComplete = await completion.whenKnown();
  timer.dispose();
  if (isComplete) return;
  throw new Failure(
    FailureKind.ConnectionLost,
    'The connection was lost within the answer. Check that the server is running.',
  );
}

export class HttpPlainTransport implements PlainTransport {
  public send(address: string, call: PlainCall): Promise<PlainResponse> {
    return new Promise((resolve, reject) => {
      let connected = false;
      const headers = { ...call.headers };
      if (call.body instanceof Uint8Array) headers['content-length'] = String(call.body.length);
      const outgoing = httpRequest({
        ...hostAndPort(address),
        method: call.method,
        path: call.path,
        // The server may close a reused connection just as a call is sent on it; whether that call ran would
        // be unknown. Therefore each call opens a connection.
        agent: false,
        headers,
      });
      const completion = new AnswerCompletion(outgoing);
      let timer = startInputTimer(CONNECT_TIMEOUT_MS, () =>
        outgoing.destroy(new Error('connect timeout')),
      );
      const fail = (error: Error) => {
        timer.dispose();
        const kind = connected ? FailureKind.ConnectionLost : FailureKind.NotConnected;
        reject(
          new Failure(
            kind,
            `${call.method} to ${address} failed: ${error.message}. Check that the server is running.`,
          ),
        );
      };
      outgoing.on('error', fail);
      // No call asks for another protocol; Node tells of such an answer only here.
      outgoing.on('upgrade', (_message, socket) => {
        fail(new Error('its answer switches to another protocol'));
        socket.destroy();
      });
      outgoing.on('socket', (socket) => {
        socket.once('connect', () => {
          connected = true;
          timer.dispose();
          timer = startInputTimer(call.timeoutMs, () =>
            outgoing.destroy(new Error('no response in time')),
          );
          sendBody(outgoing, call.body).catch((error: Error) => outgoing.destroy(error));
        });
      });
      outgoing.on('response', (message) => {
        timer.dispose();
        if (!hasValidHead(message)) {
          outgoing.destroy(new Error('the head of its answer is not valid HTTP'));
          return;
        }
        resolve({
          status: message.statusCode as number,
          headers: endToEndHeaders(message.headers),
          body: readBody(message, outgoing, completion, call.timeoutMs),
          notRun: message.headers[NOT_RUN_HEADER] !== undefined,
        });
      });
    });
  }
}
