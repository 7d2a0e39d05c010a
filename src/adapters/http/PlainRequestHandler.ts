import { once } from 'node:events';
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import { finished } from 'node:stream';
import type { RunResult } from '../../core/claims/KeyedRequestRunner.js';
import { MessageBuffer } from '../../core/limits/MessageBuffer.js';
import { Outcome, refusal, RefusalReason } from '../../core/Outcome.js';
import type {
  PlainDispatcher,
  PlainRequest,
  PlainResult,
} from '../../core/requests/PlainDispatcher.js';
import type { PlainResponse } from '../../core/requests/PlainTransport.js';
import type { Metrics } from '../metrics/Metrics.js';
import { endToEndHeaders } from './HttpPlainTransport.js';
import { sendRefusal } from './Refusals.js';
import type { CallerRequest } from './Types.js';

/** Bodies up to this size, in bytes, are buffered, so that a call can be resent to another server. */
const MAX_BUFFERED_BODY_BYTES = 256 * 1024;

const MAX_STORED_ANSWER_BYTES = 1024 * 1024;

/**
 * End-to-end headers that are not forwarded to the server: `authorization` holds the caller's key, and the
 * transport sets the length of a buffered body.
 */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set(['authorization', 'content-length']);

interface ServicePath {
  readonly service: string;
  readonly servicePath: string;
}

function splitPath(url: string): ServicePath {
  const path = url.split('?')[0];
  const [, , service = '', ...rest] = path.split('/');
  return { service, servicePath: `/${rest.join('/')}` };
}

function forwardedHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(endToEndHeaders(headers))) {
    if (!UNFORWARDED_HEADERS.has(name)) kept[name] = value;
  }
  return kept;
}

async function* prependParts(
  first: readonly Buffer[],
  rest: AsyncIterable<Buffer>,
): AsyncGenerator<Buffer> {
  yield* first;
  yield* rest;
}

/**
 * Buffers a body of up to `maxBytes`; streams a larger one.
 * @throws the message's error if the body ends early
 */
function bufferOrStreamBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | AsyncIterable<Uint8Array>> {
  const body = new MessageBuffer();
  return new Promise((resolve, reject) => {
    const stopWatching = finished(message, { writable: false }, (error) => {
      if (error) reject(error);
      else resolve(body.takeWhole());
    });
    const keep = (part: Buffer): void => {
      body.append(part);
      if (body.length <= maxBytes) return;
      stopWatching();
      message.off('data', keep);
      message.pause();
      resolve(prependParts(body.takeParts(), message));
    };
    message.on('data', keep);
  });
}

/** @returns whether the whole body was passed on */
async function pipeBody(from: PlainResponse, to: ServerResponse): Promise<boolean> {
  try {
    for await (const chunk of from.body) {
      if (to.destroyed) return false;
      if (!to.write(chunk)) await Promise.race([once(to, 'drain'), once(to, 'close')]);
    }
    return true;
  } catch {
    return false;
  }
}

async function bufferResponse(response: PlainResponse): Promise<Buffer | undefined> {
  const body = new MessageBuffer();
  try {
    for await (const part of response.body) {
      if (body.length + part.length > MAX_STORED_ANSWER_BYTES) return undefined;
      body.append(part);
    }
  } catch {
    return undefined;
  }
  return body.takeWhole();
}

export interface PlainRequestHandlerDependencies {
  readonly plainCalls: PlainDispatcher;
  readonly metrics: Pick<Metrics, 'countCompleted'>;
}

/** Submits one call to the dispatcher and returns the response of the plain service to the caller. */
export class PlainRequestHandler {
  public constructor(private readonly dependencies: PlainRequestHandlerDependencies) {}

  /**
   * Sends the call to a server and streams the response to the caller, with backpressure. A small body is
   * buffered, so that the call can be resent.
   */
  public async sendToCaller(caller: CallerRequest, metrics: Metrics): Promise<void> {
    const { message, response, account } = caller;
    const url = message.url ?? '/';
    const body = await bufferOrStreamBody(message, MAX_BUFFERED_BODY_BYTES);
    const request = this.request(account, message.method ?? 'GET', url, message.headers, body);
    await this.dependencies.plainCalls.send(request, (result) =>
      this.sendResponse(result, response, metrics),
    );
  }

  /** Sends the call of a keyed request and returns the whole response. */
  public async runBuffered(
    account: string,
    method: string,
    url: string,
    headers: IncomingHttpHeaders,
    body: Buffer,
  ): Promise<RunResult> {
    let result: RunResult = {};
    await this.dependencies.plainCalls.send(
      this.request(account, method, url, headers, body),
      async (sent) => {
        result = await this.toRunResult(sent);
      },
    );
    return result;
  }

  private request(
    account: string,
    method: string,
    url: string,
    headers: IncomingHttpHeaders,
    body: PlainRequest['call']['body'],
  ): PlainRequest {
    const { service, servicePath } = splitPath(url);
    return {
      account,
      service,
      servicePath,
      call: { method, path: url, headers: forwardedHeaders(headers), body },
    };
  }

  private async toRunResult(sent: PlainResult): Promise<RunResult> {
    if (sent.response === undefined)
      return sent.refusal === undefined ? {} : { refusal: sent.refusal };
    const body = await bufferResponse(sent.response);
    if (body === undefined) {
      return {
        refusal: refusal(
          Outcome.Unknown,
          RefusalReason.ServerLost,
          `The response of ${sent.server ?? 'the server'} ended early or exceeds ${MAX_STORED_ANSWER_BYTES} bytes. Look up the call's effect before sending it again.`,
        ),
      };
    }
    this.dependencies.metrics.countCompleted('plain');
    const contentType = String(sent.response.headers['content-type'] ?? 'application/octet-stream');
    return { answer: { status: sent.response.status, contentType, body: body.toString('base64') } };
  }

  private async sendResponse(
    result: PlainResult,
    response: ServerResponse,
    metrics: Metrics,
  ): Promise<void> {
    if (result.response === undefined) {
      if (result.refusal !== undefined) sendRefusal(response, result.refusal, metrics);
      return;
    }
    response.writeHead(result.response.status, {
      ...result.response.headers,
      'acaciadrum-outcome': Outcome.Complete,
    });
    if (await pipeBody(result.response, response)) {
      metrics.countCompleted('plain');
      response.end();
    } else {
      metrics.countRefusal(RefusalReason.ServerLost, Outcome.Unknown);
      response.destroy();
    }
  }
}
