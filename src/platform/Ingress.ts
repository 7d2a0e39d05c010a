/** HTTP server that accepts callers' requests from the platform's load balancer. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import type { MemoryBudget } from '../core/limits/MemoryBudget.js';
import type { MemoryShare } from '../core/limits/MemoryShare.js';
import type { Refusal } from '../core/Outcome.js';
import type { CallerLimits } from '../core/deployment/Types.js';
import type { CallerReply, CallerRequest, PromptSize, Relay } from '../core/relay/Types.js';
import type { Clock } from '../ports/Types.js';
import { HttpReply } from './HttpReply.js';
import {
  BODY_TOO_LARGE,
  INVALID_HEADERS,
  MEMORY_EXHAUSTED,
  UNEXPECTED_ERROR,
} from './IngressRefusals.js';
import { areSendable } from './HeaderText.js';
import { endToEndHeaders, HEADER } from './WireNames.js';

const KEY_SCHEME = 'token ';

/** Limits that apply until the operator's configuration has been read. */
const DEFAULT_LIMITS: CallerLimits = {
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** Size from which on a body is kept only if the head of its request is not refused anyway, in bytes. */
const UNJUDGED_BODY_BYTES = 16 * 1024;

const NO_BODY = Buffer.alloc(0);

const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

/** Length of the accept queue: after a network cut, all callers of a failure domain may connect at once. */
const BACKLOG = 1024;

export interface IngressDependencies {
  readonly clock: Clock;
  readonly memory: MemoryBudget;
  accept(request: CallerRequest, reply: CallerReply): Relay;
  /** Returns the refusal of a request if its head decides it. */
  judgeHead(request: CallerRequest): Refusal | undefined;
  /** Refuses a request that no server has received. */
  refuse(request: CallerRequest, reply: CallerReply, refused: Refusal): void;
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
  const estimate = Number(header(request, HEADER.answerEstimate));
  return {
    promptTokens: prompt,
    maxAnswerTokens: answer,
    ...(estimate > 0 && Number.isFinite(estimate) && { expectedAnswerTokens: estimate }),
  };
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

  /** Requests whose answers have not been written, by connection. */
  private readonly requestsOf = new Map<Socket, number>();

  public constructor(private readonly dependencies: IngressDependencies) {
    this.server = createServer(
      { keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs },
      (request, response) => this.receive(request, response),
    );
    this.server.on('connection', (socket: Socket) => {
      this.requestsOf.set(socket, 0);
      socket.once('close', () => this.requestsOf.delete(socket));
    });
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

  /**
   * Stops listening and closes idle connections. Requests in progress continue, and so do answers that their
   * callers have not taken yet, which Node counts as idle.
   */
  public stopListening(): void {
    // Unlike this one, the method of the HTTP server closes the connections that Node counts as idle.
    NetServer.prototype.close.call(this.server);
    for (const [socket, requests] of this.requestsOf) if (requests === 0) socket.destroy();
  }

  /** Closes the server and every connection, including those with requests in progress. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private get limits(): CallerLimits {
    return this.dependencies.limits() ?? DEFAULT_LIMITS;
  }

  private countRequest(socket: Socket, change: number): void {
    this.openRequests += change;
    const count = this.requestsOf.get(socket);
    if (count !== undefined) this.requestsOf.set(socket, count + change);
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    // The connection was ended after the previous answer; this request crossed that and cannot be answered.
    if (request.socket.writableEnded) {
      request.socket.destroy();
      return;
    }
    this.countRequest(request.socket, 1);
    let relay: Relay | undefined;
    const reply = new HttpReply(response, () => this.dependencies.isLeaving());
    const memory = this.dependencies.memory.open({
      allowanceBytes: 0,
      onEvict: () => {
        if (relay === undefined) this.rejectBody(request, response, memory, MEMORY_EXHAUSTED);
        else relay.evict();
      },
    });
    // A write fails if the caller disconnects meanwhile; `close` follows and ends the request.
    response.on('error', () => undefined);
    response.once('close', () => {
      this.countRequest(request.socket, -1);
      memory.dispose();
      if (!response.writableFinished) relay?.cancel();
    });
    response.once('finish', () => {
      // The head may have been sent before the stop began, without `connection: close`.
      if (this.dependencies.isLeaving()) request.socket.end();
    });
    if (!areSendable(request.rawHeaders)) {
      this.rejectBody(request, response, memory, INVALID_HEADERS);
      return;
    }
    if (Number(header(request, 'content-length') ?? 0) > this.limits.maxBodyBytes) {
      this.rejectBody(request, response, memory, BODY_TOO_LARGE);
      return;
    }
    let chunks: Buffer[] = [];
    let size = 0;
    let refused: Refusal | undefined;
    request.on('data', (chunk: Buffer) => {
      const wasJudged = size > UNJUDGED_BODY_BYTES;
      size += chunk.length;
      if (size > this.limits.maxBodyBytes) {
        this.rejectBody(request, response, memory, BODY_TOO_LARGE);
        return;
      }
      if (!wasJudged && size > UNJUDGED_BODY_BYTES)
        refused = this.judgeHead(this.decode(request, NO_BODY, memory));
      if (refused === undefined) {
        chunks.push(chunk);
        memory.add(chunk.length);
      } else {
        chunks = [];
        memory.dispose();
      }
    });
    request.on('error', () => response.destroy());
    request.on('end', () => {
      if (response.destroyed || response.headersSent) return;
      memory.settle();
      if (refused === undefined)
        relay = this.accept(this.decode(request, Buffer.concat(chunks, size), memory), reply);
      else this.dependencies.refuse(this.decode(request, NO_BODY, memory), reply, refused);
      chunks = [];
    });
  }

  private judgeHead(request: CallerRequest): Refusal | undefined {
    try {
      return this.dependencies.judgeHead(request);
    } catch (error) {
      this.dependencies.handleError(request.id, error as Error);
      return UNEXPECTED_ERROR;
    }
  }

  /** Hands a request over. After an unexpected error it has been sent to no server. */
  private accept(request: CallerRequest, reply: HttpReply): Relay | undefined {
    try {
      return this.dependencies.accept(request, reply);
    } catch (error) {
      this.dependencies.handleError(request.id, error as Error);
      reply.refuse(UNEXPECTED_ERROR);
      return undefined;
    }
  }

  /** Refuses a request whose body is not kept. The connection closes, as the body may go on. */
  private rejectBody(
    request: IncomingMessage,
    response: ServerResponse,
    memory: MemoryShare,
    refused: Refusal,
  ): void {
    request.removeAllListeners('data');
    request.resume();
    if (response.headersSent) return;
    response.shouldKeepAlive = false;
    const reply = new HttpReply(response, () => this.dependencies.isLeaving());
    this.dependencies.refuse(this.decode(request, NO_BODY, memory), reply, refused);
  }

  private decode(request: IncomingMessage, body: Buffer, memory: MemoryShare): CallerRequest {
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
      memory,
    };
  }
}
