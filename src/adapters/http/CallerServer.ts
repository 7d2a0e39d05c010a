/** Serves the callers' HTTP API. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { RunResult } from '../../core/claims/KeyedRequestRunner.js';
import type { StoredAnswer } from '../../core/claims/Types.js';
import { Failure } from '../../core/Failure.js';
import { Outcome, refusal, RefusalReason, type Refusal } from '../../core/Outcome.js';
import { ObjectKind } from '../../core/tickets/Types.js';
import type { ForwardedAnswer, ForwardedCall } from '../../ports/Peer.js';
import { Timing } from '../metrics/Metrics.js';
import { AccountKeys } from './AccountKeys.js';
import { readBody } from './BodyReader.js';
import { CompletionRequestHandler } from './CompletionRequestHandler.js';
import { CompletionShape, parseCompletion, type CompletionBody } from './CompletionBody.js';
import { endToEndHeaders } from './HttpPlainTransport.js';
import { closeServer, createLimitedServer, listen } from './JsonServer.js';
import { PlainRequestHandler } from './PlainRequestHandler.js';
import { RefusedRequestError } from './RefusedRequestError.js';
import { sendRefusal } from './Refusals.js';
import type { CallerServerDependencies, CallerRequest } from './Types.js';

type Handler = (request: CallerRequest) => Promise<void>;

const MAX_IDEMPOTENCY_KEY_LENGTH = 200;

/** Maximum pause between two chunks of a request body, in milliseconds. */
const BODY_IDLE_MS = 5000;

const UNEXPECTED_ERROR = refusal(
  Outcome.Unknown,
  RefusalReason.InternalError,
  'An unexpected error ended the request, and it may have run. Check its effect, or use an Idempotency-Key, before sending it again; report the error to the operators if this repeats.',
);

const SHAPES: Readonly<Record<string, CompletionShape>> = {
  '/v1/completions': CompletionShape.Text,
  '/v1/chat/completions': CompletionShape.Chat,
};

/** Returns the content hash by which two requests count as the same: SHA-256, in hex. */
export function hashRequest(
  method: string,
  path: string,
  contentType: string,
  body: Uint8Array,
): string {
  return createHash('sha256')
    .update(`${method}\n${path}\n${contentType}\n`)
    .update(body)
    .digest('hex');
}

export class CallerServer {
  private readonly server: Server;

  private readonly accountKeys: AccountKeys;

  private activeRequestCount = 0;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    'POST /v1/completions': (request) => this.complete(request),
    'POST /v1/chat/completions': (request) => this.complete(request),
    'POST /v1/request-keys': (request) => this.mintKey(request),
    'GET /v1/models': (request) => this.listModels(request),
  };

  public constructor(private readonly dependencies: CallerServerDependencies) {
    this.accountKeys = new AccountKeys(dependencies.configuration);
    this.server = createLimitedServer((message, response) => {
      this.serve(message, response).catch(() => response.destroy());
    });
  }

  public listen(address: string): Promise<string> {
    return listen(this.server, address);
  }

  /** Number of requests in progress. */
  public get activeRequests(): number {
    return this.activeRequestCount;
  }

  public close(): Promise<void> {
    return closeServer(this.server);
  }

  /**
   * Runs a keyed request that a peer forwarded because this instance minted its key, or holds it since a
   * hand-over.
   * @returns an empty object if this instance does not hold the key, or the key's request ended without
   * an answer
   */
  public async runForwarded(call: ForwardedCall): Promise<ForwardedAnswer> {
    const body = Buffer.from(call.body, 'base64');
    const shape = SHAPES[call.path];
    const parsed = shape === undefined ? undefined : parseCompletion(shape, body);
    const result = await this.dependencies.keyedRequests.executeLocally(call, () => {
      if (parsed?.isOk)
        return new CompletionRequestHandler(
          this.dependencies,
          undefined,
          call.account,
          parsed.value,
          body.length,
        ).runBuffered();
      return new PlainRequestHandler(this.dependencies).runBuffered(
        call.account,
        call.method,
        call.path,
        call.headers,
        body,
      );
    });
    return result ?? {};
  }

  private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (message.url ?? '/').split('?')[0];
    if (path === '/healthz' || path === '/readyz') {
      const isServing =
        path === '/healthz' || (this.dependencies.isReady() && !this.dependencies.isLeaving());
      response.writeHead(isServing ? 200 : 503, { 'content-type': 'text/plain' });
      response.end(isServing ? 'ok\n' : 'not ready\n');
      return;
    }
    this.activeRequestCount += 1;
    try {
      await this.serveCaller(message, response, path);
    } catch (error) {
      if (error instanceof RefusedRequestError) this.refuse(response, error.refusal);
      // Nobody waits for an answer on a connection that is closed.
      else if (!message.socket.destroyed) this.refuse(response, UNEXPECTED_ERROR);
    } finally {
      this.activeRequestCount -= 1;
    }
  }

  private async serveCaller(
    message: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> {
    const unavailable = this.checkServing();
    if (unavailable !== undefined) throw new RefusedRequestError(unavailable);
    const account = this.accountKeys.accountOf(message.headers.authorization);
    if (account === undefined) {
      throw new RefusedRequestError(
        refusal(
          Outcome.NotRun,
          RefusalReason.Unauthorized,
          'The bearer key is missing or unknown. Ask your operators for a key.',
        ),
      );
    }
    if (path.startsWith('/services/')) {
      await this.callService({ message, response, path, account, body: Buffer.alloc(0) });
      return;
    }
    const handler = this.handlers[`${message.method} ${path}`];
    if (handler === undefined) {
      throw new RefusedRequestError(
        refusal(
          Outcome.NotRun,
          RefusalReason.BadRequest,
          `${message.method} ${path} is not served. See the README for the supported endpoints.`,
        ),
      );
    }
    const body = await this.readBody(message);
    await handler({ message, response, path, account, body });
  }

  private checkServing(): Refusal | undefined {
    if (this.dependencies.isStopping()) {
      return refusal(
        Outcome.NotRun,
        RefusalReason.Stopping,
        'This instance is stopping. Send the request again; the load balancer picks another instance.',
      );
    }
    if (!this.dependencies.isReady()) {
      return refusal(
        Outcome.NotRun,
        RefusalReason.NotReady,
        'This instance has not confirmed its configuration yet. Retry after the delay given in Retry-After.',
      );
    }
    return undefined;
  }

  /** Reads a body; refuses one beyond the size limit and drops a connection idle for `BODY_IDLE_MS`. */
  private async readBody(message: IncomingMessage): Promise<Buffer> {
    const { maxBodyBytes } = this.dependencies;
    message.setTimeout(BODY_IDLE_MS, () => message.destroy());
    try {
      return await readBody(message, maxBodyBytes);
    } catch (error) {
      if (!(error instanceof Failure)) throw error;
      throw new RefusedRequestError(
        refusal(
          Outcome.NotRun,
          RefusalReason.BodyTooLarge,
          `The body exceeds ${maxBodyBytes} bytes. Send a smaller one.`,
        ),
      );
    } finally {
      message.setTimeout(0);
    }
  }

  private async complete(request: CallerRequest): Promise<void> {
    const shape = SHAPES[request.path];
    const parsed = parseCompletion(shape, request.body);
    if (parsed.isErr)
      throw new RefusedRequestError(
        refusal(Outcome.NotRun, RefusalReason.BadRequest, parsed.error),
      );
    const requestHandler = new CompletionRequestHandler(
      this.dependencies,
      request.response,
      request.account,
      parsed.value,
      request.body.length,
    );
    const key = this.idempotencyKeyOf(request.message);
    if (key === undefined) {
      await requestHandler.sendToCaller();
      return;
    }
    await this.completeKeyed(request, key, parsed.value, requestHandler);
  }

  private async completeKeyed(
    request: CallerRequest,
    key: string,
    body: CompletionBody,
    requestHandler: CompletionRequestHandler,
  ): Promise<void> {
    const result = await this.runKeyed(request, key, () => requestHandler.runBuffered());
    if (result.refusal !== undefined) this.refuse(request.response, result.refusal);
    else this.sendStored(request.response, result.answer as StoredAnswer, body.stream);
  }

  private runKeyed(
    request: CallerRequest,
    key: string,
    run: () => Promise<RunResult>,
  ): Promise<RunResult> {
    const { message, path, account, body } = request;
    const contentType = message.headers['content-type'] ?? '';
    const url = message.url ?? path;
    const digest = hashRequest(message.method ?? '', url, contentType, body);
    const keyedRequest = {
      account,
      key,
      digest,
      path: url,
      method: message.method ?? '',
      headers: endToEndHeaders(message.headers),
      body: body.toString('base64'),
    };
    return this.dependencies.keyedRequests.execute(keyedRequest, run);
  }

  private idempotencyKeyOf(message: IncomingMessage): string | undefined {
    const header = message.headers['idempotency-key'];
    if (header === undefined) return undefined;
    const key = Array.isArray(header) ? header.join(',') : header;
    if (
      key.length === 0 ||
      key.length > MAX_IDEMPOTENCY_KEY_LENGTH ||
      !/^[\x21-\x7e]+$/.test(key)
    ) {
      throw new RefusedRequestError(
        refusal(
          Outcome.NotRun,
          RefusalReason.BadRequest,
          `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} printable ASCII characters and no spaces. Send another key.`,
        ),
      );
    }
    return key;
  }

  private async callService(request: CallerRequest): Promise<void> {
    const requestHandler = new PlainRequestHandler(this.dependencies);
    const startedAt = this.dependencies.clock.now();
    const key = this.idempotencyKeyOf(request.message);
    if (key === undefined) {
      await requestHandler.sendToCaller(request, this.dependencies.metrics);
    } else {
      const body = await this.readBody(request.message);
      const { message, account } = request;
      const method = message.method ?? 'GET';
      const result = await this.runKeyed({ ...request, body }, key, () =>
        requestHandler.runBuffered(account, method, message.url ?? '/', message.headers, body),
      );
      if (result.refusal !== undefined) this.refuse(request.response, result.refusal);
      else this.sendStored(request.response, result.answer as StoredAnswer, false);
    }
    this.dependencies.metrics.recordTime(
      Timing.PlainCall,
      this.dependencies.clock.now() - startedAt,
    );
  }

  private async mintKey(request: CallerRequest): Promise<void> {
    const key = this.dependencies.keyMint.mint(request.account, this.dependencies.clock.now());
    if (key === undefined) {
      throw new RefusedRequestError(
        refusal(
          Outcome.NotRun,
          RefusalReason.Stopping,
          'This instance is stopping or holds too many minted keys. Retry after the delay given in Retry-After.',
        ),
      );
    }
    this.sendJson(request.response, 201, { key });
  }

  private async listModels(request: CallerRequest): Promise<void> {
    const data = this.dependencies.configuration
      .list(ObjectKind.Pipeline)
      .map(({ name }) => ({ id: name, object: 'model', created: 0, owned_by: 'operators' }));
    this.sendJson(request.response, 200, { object: 'list', data });
  }

  private sendJson(response: ServerResponse, status: number, value: unknown): void {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  }

  private sendStored(response: ServerResponse, answer: StoredAnswer, stream: boolean): void {
    const headers = { 'content-type': answer.contentType, 'acaciadrum-outcome': Outcome.Complete };
    response.writeHead(
      answer.status,
      stream ? { ...headers, 'cache-control': 'no-cache' } : headers,
    );
    response.end(Buffer.from(answer.body, 'base64'));
  }

  private refuse(response: ServerResponse, refused: Refusal): void {
    sendRefusal(response, refused, this.dependencies.metrics);
  }
}
