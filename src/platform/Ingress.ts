/** HTTP server that accepts callers' requests from the platform's load balancer. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import { Outcome, refusal, RefusalReason } from '../core/Outcome.js';
import type { CallerLimits } from '../core/deployment/Types.js';
import type { CallerReply, CallerRequest, PromptSize, Relay } from '../core/relay/Types.js';
import type { Clock } from '../ports/Types.js';
import { HttpReply } from './HttpReply.js';
import { endToEndHeaders, HEADER } from './WireNames.js';

const KEY_SCHEME = 'token ';

/** Limits that apply until the operator's configuration has been read. */
const DEFAULT_LIMITS: CallerLimits = {
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

/** Length of the accept queue: after a network cut, all callers of a failure domain may connect at once. */
const BACKLOG = 1024;

export interface IngressDependencies {
  readonly clock: Clock;
  accept(request: CallerRequest, reply: CallerReply): Relay;
  /**
   * Whether the instance is leaving; answers then close their connections, so that callers open the next
   * one to another instance.
   */
  isLeaving(): boolean;
  /** Records an unexpected error that ended a request before it was accepted. */
  handleError(id: string, error: Error): void;
  /** The operator's limits; undefined until they are known. */
  limits(): CallerLimits | undefined;
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function readKey(request: IncomingMessage): string | undefined {
  const value = header(request, 'authorization');
  if (value === undefined || !value.toLowerCase().startsWith(KEY_SCHEME)) return undefined;
  return value.slice(KEY_SCHEME.length).trim();
}

function readPrompt(request: IncomingMessage): PromptSize | undefined {
  const [prompt, answer] = (header(request, HEADER.tokens) ?? '').split(',').map(Number);
  if (!(prompt >= 0) || !(answer >= 0)) return undefined;
  return { promptTokens: prompt, maxAnswerTokens: answer };
}

/** Maximum number of prompt parts that are read from a request. */
const MAX_PROMPT_PARTS = 32;

/** Returns the ids of the prompt's parts: the last one, which no other caller's request has, and the others. */
function readPromptParts(
  request: IncomingMessage,
): Pick<CallerRequest, 'sharedPromptParts' | 'ownPromptPart'> {
  const value = header(request, HEADER.promptParts);
  if (value === undefined) return { sharedPromptParts: [], ownPromptPart: undefined };
  const ids = value.split(',', MAX_PROMPT_PARTS).map((part) => part.split(':', 1)[0].trim());
  return {
    sharedPromptParts: ids.slice(0, -1).filter((id) => id !== ''),
    ownPromptPart: ids.at(-1),
  };
}

export class Ingress {
  private readonly server: Server;

  private openRequests = 0;

  public constructor(private readonly dependencies: IngressDependencies) {
    this.server = createServer(
      { keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs },
      (request, response) => this.receive(request, response),
    );
    this.server.requestTimeout = 0;
    this.applyLimits();
  }

  /** Number of requests whose answer is not finished. */
  public get active(): number {
    return this.openRequests;
  }

  /** Applies the operator's current header and idle timeouts, also to connections that are already open. */
  public applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.limits;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /**
   * Starts to listen.
   * @param address - IP address and port; with port 0 the system picks one
   * @returns the bound address; rejects if the address cannot be bound
   */
  public listen(address: string): Promise<string> {
    const { host, port } = hostAndPort(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: BACKLOG }, () => {
        const bound = this.server.address() as AddressInfo;
        resolve(`${bound.address}:${bound.port}`);
      });
    });
  }

  /** Stops listening and closes idle connections; requests in progress continue. */
  public stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes the server and every connection, including those with requests in progress. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private get limits(): CallerLimits {
    return this.dependencies.limits() ?? DEFAULT_LIMITS;
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    // The connection was ended after the previous answer; this request crossed that and cannot be answered.
    if (request.socket.writableEnded) {
      request.socket.destroy();
      return;
    }
    this.openRequests += 1;
    let relay: Relay | undefined;
    // A write fails if the caller disconnects meanwhile; `close` follows and ends the request.
    response.on('error', () => undefined);
    response.once('close', () => {
      this.openRequests -= 1;
      if (!response.writableFinished) relay?.cancel();
    });
    response.once('finish', () => {
      // The head may have been sent before the stop began, without `connection: close`.
      if (this.dependencies.isLeaving()) request.socket.end();
    });
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > this.limits.maxBodyBytes) this.rejectBody(request, response);
      else chunks.push(chunk);
    });
    request.on('error', () => response.destroy());
    request.on('end', () => {
      if (response.destroyed || response.headersSent) return;
      const reply = new HttpReply(response, () => this.dependencies.isLeaving());
      relay = this.accept(request, Buffer.concat(chunks, size), reply);
    });
  }

  /** Hands a request over. After an unexpected error it has been sent to no server. */
  private accept(request: IncomingMessage, body: Buffer, reply: HttpReply): Relay | undefined {
    try {
      return this.dependencies.accept(this.decode(request, body), reply);
    } catch (error) {
      this.dependencies.handleError(header(request, HEADER.requestId) ?? '', error as Error);
      reply.refuse(
        refusal(
          Outcome.NotRun,
          RefusalReason.NotReady,
          'An unexpected error ended the request before it was sent to a server. Retry it; report the error to the operators if this repeats.',
        ),
      );
      return undefined;
    }
  }

  private rejectBody(request: IncomingMessage, response: ServerResponse): void {
    request.removeAllListeners('data');
    request.resume();
    if (response.headersSent) return;
    response.shouldKeepAlive = false;
    response.writeHead(413, { 'content-length': 0 });
    response.end();
  }

  private decode(request: IncomingMessage, body: Buffer): CallerRequest {
    const target = request.url ?? '/';
    const query = target.indexOf('?');
    const host = header(request, 'host') ?? '';
    const colon = host.indexOf(':');
    const deadline = Number(header(request, HEADER.deadlineMs) ?? Infinity);
    return {
      id: header(request, HEADER.requestId) ?? '',
      host: colon === -1 ? host : host.slice(0, colon),
      path: query === -1 ? target : target.slice(0, query),
      apiKey: readKey(request),
      arrivedAt: this.dependencies.clock.now(),
      deadlineMs: deadline > 0 ? deadline : Infinity,
      prompt: readPrompt(request),
      ...readPromptParts(request),
      resumeAfter: header(request, HEADER.lastEvent),
      message: {
        method: request.method ?? 'GET',
        target,
        headers: endToEndHeaders(request.rawHeaders, NO_EXCLUDED_HEADERS),
        body,
      },
    };
  }
}
