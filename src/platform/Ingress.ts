/** HTTP server that accepts callers' requests from the platform's load balancer. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setImmediate as readArrivedInput } from 'node:timers/promises';
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import { BrokenConnections } from '../adapters/http/BrokenConnections.js';
import { ConnectionGuard, type ConnectionEndListener } from '../adapters/http/ConnectionGuard.js';
import { areSendable } from '../adapters/http/HeaderText.js';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import type { ConnectionBudget } from '../core/limits/ConnectionBudget.js';
import type { InputTurns } from '../core/limits/InputTurns.js';
import type { MemoryBudget } from '../core/limits/MemoryBudget.js';
import type { MemoryShare } from '../core/limits/MemoryShare.js';
import type { Refusal } from '../core/Outcome.js';
import type { CallerLimits } from '../core/deployment/Types.js';
import type { CallerReply, CallerRequest, Relay } from '../core/relay/Types.js';
import type { Clock } from '../ports/Types.js';
import { DEFAULT_LIMITS } from './DefaultLimits.js';
import { HttpReply, onceNext } from './HttpReply.js';
import {
  BODY_TOO_LARGE,
  INVALID_HEADERS,
  MEMORY_EXHAUSTED,
  PROCESSOR_EXHAUSTED,
  STOPPED_BEFORE_ANSWER,
  STOPPED_BEFORE_SEND,
  UNEXPECTED_ERROR,
} from './IngressRefusals.js';
import { header, headBytes, readKey, readPrompt, readPromptParts } from './RequestHead.js';
import { RequestMemory } from './RequestMemory.js';
import { endToEndHeaders, HEADER } from './WireNames.js';

/** Size from which on a body is kept only if the head of its request is not refused anyway, in bytes. */
const UNJUDGED_BODY_BYTES = 16 * 1024;

const NO_BODY = Buffer.alloc(0);
const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

/** Length of the accept queue: after a network cut, all callers of a failure domain may connect at once. */
const BACKLOG = 1024;

/** Interval at which Node looks for heads that take too long, in milliseconds. */
const HEAD_CHECK_MS = 5000;

export interface IngressDependencies {
  readonly clock: Clock;
  readonly memory: MemoryBudget;
  /** Orders the input of all connections of the process. */
  readonly turns: InputTurns;
  /** Bounds the callers' connections. */
  readonly connections: ConnectionBudget;
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
  /** Called for each connection that is closed to stay within a bound. */
  readonly onConnectionEnd: ConnectionEndListener;
  /** Records an unexpected error that ended a request before it was accepted. */
  handleError(id: string, error: Error): void;
  /** The operator's limits; undefined until they are known. */
  limits(): CallerLimits | undefined;
}

export class Ingress {
  private readonly server: Server;

  private readonly guard: ConnectionGuard;

  private readonly broken = new BrokenConnections();

  /** Ends the requests whose answers are not finished, by their responses. */
  private readonly openRequests = new Map<ServerResponse, () => void>();

  public constructor(private readonly dependencies: IngressDependencies) {
    this.server = createServer(
      {
        keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
        connectionsCheckingInterval: HEAD_CHECK_MS,
      },
      (request, response) => this.receive(request, response),
    );
    this.guard = new ConnectionGuard(this.server, dependencies);
    this.broken.attach(this.server);
    this.server.requestTimeout = 0;
    // The size of a head bounds its fields. With a bound on their number, Node would omit the others.
    this.server.maxHeadersCount = 0;
    this.applyLimits();
  }

  /** Number of requests whose answer is not finished. */
  public get active(): number {
    return this.openRequests.size;
  }

  /** Applies the operator's current header and idle timeouts, also to connections that are already open. */
  public applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs, maxHeaderBytes } = this.limits;
    // Node reads this option for each connection, though its types declare it only for the constructor.
    Object.assign(this.server, { maxHeaderSize: maxHeaderBytes });
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
   * Stops listening and closes idle connections, once what has arrived on them has been read. Requests in progress
   * continue, and so do answers that their callers have not taken yet, which Node counts as idle.
   */
  public async stopListening(): Promise<void> {
    // Unlike this one, the method of the HTTP server closes the connections that Node counts as idle.
    NetServer.prototype.close.call(this.server);
    await readArrivedInput();
    this.guard.closeIdle();
  }

  /** Refuses all requests whose answers have not begun, because the process ends. */
  public refuseOpenRequests(): void {
    for (const refuse of [...this.openRequests.values()]) refuse();
  }

  /** Closes the server and every connection, including those with requests in progress. */
  public close(): void {
    this.guard.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  private get limits(): CallerLimits {
    return this.dependencies.limits() ?? DEFAULT_LIMITS;
  }

  /** Whether a connection closes after the answer that is next on it, because no other request can be answered. */
  private closesAfterAnswer(socket: Socket): boolean {
    if (this.broken.closesAfterAnswer(socket)) return true;
    return this.dependencies.isLeaving() && this.guard.openRequests(socket) <= 1;
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    // The connection was ended after the previous answer; this request crossed that and cannot be answered.
    if (request.socket.writableEnded) {
      request.socket.destroy();
      return;
    }
    let relay: Relay | undefined;
    const reply = new HttpReply(response, () => this.closesAfterAnswer(request.socket));
    const kept = new RequestMemory(this.dependencies.memory, () => {
      if (relay === undefined) this.rejectBody(request, response, kept, MEMORY_EXHAUSTED);
      else relay.evict();
      // An answer behind that of an earlier request would wait, and keep its request in memory.
      if (response.socket === null) request.socket.destroy();
    });
    const { message: memory, body } = kept;
    const release = (): void => {
      this.openRequests.delete(response);
      kept.dispose();
      if (!response.writableFinished) relay?.cancel();
    };
    const rejectCostly = (): void => {
      this.rejectBody(request, response, kept, PROCESSOR_EXHAUSTED);
      if (response.socket === null) request.socket.destroy();
    };
    if (!this.guard.admit(request, response, release, rejectCostly)) {
      kept.dispose();
      return;
    }
    this.openRequests.set(response, () => {
      if (response.headersSent) return;
      reply.refuse(relay === undefined ? STOPPED_BEFORE_SEND : STOPPED_BEFORE_ANSWER);
      relay?.cancel();
    });
    // A write fails if the caller disconnects meanwhile; `close` follows and ends the request.
    response.on('error', () => undefined);
    response.once('finish', () => {
      // The head may have been sent before the stop began, without `connection: close`.
      if (this.closesAfterAnswer(request.socket)) request.socket.end();
    });
    kept.addHead(headBytes(request));
    if (response.headersSent || response.destroyed) return;
    if (!areSendable(request.rawHeaders)) {
      this.rejectBody(request, response, kept, INVALID_HEADERS);
      return;
    }
    if (Number(header(request, 'content-length') ?? 0) > this.limits.maxBodyBytes) {
      this.rejectBody(request, response, kept, BODY_TOO_LARGE);
      return;
    }
    let size = 0;
    let refused: Refusal | undefined;
    request.on('data', (chunk: Buffer) => {
      const wasJudged = size > UNJUDGED_BODY_BYTES;
      size += chunk.length;
      if (size > this.limits.maxBodyBytes) {
        this.rejectBody(request, response, kept, BODY_TOO_LARGE);
        return;
      }
      if (!wasJudged && size > UNJUDGED_BODY_BYTES)
        refused = this.judgeHead(this.decode(request, NO_BODY, memory));
      if (refused === undefined) body.append(chunk);
      else body.clear();
    });
    request.on('error', () => response.destroy());
    request.on('end', () => {
      if (response.destroyed || response.headersSent) return;
      memory.settle();
      if (refused === undefined) {
        const decoded = this.decode(request, body.takeWhole(), memory);
        // The whole body may have spent the budget.
        if (memory.isClosed) return;
        onceNext(response, () => {
          if (!response.headersSent && !response.destroyed) relay = this.accept(decoded, reply);
        });
      } else this.dependencies.refuse(this.decode(request, NO_BODY, memory), reply, refused);
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
    kept: RequestMemory,
    refused: Refusal,
  ): void {
    kept.body.clear();
    request.removeAllListeners('data');
    request.resume();
    this.guard.discardInput(request);
    if (response.headersSent) return;
    const reply = new HttpReply(response, () => true);
    this.dependencies.refuse(this.decode(request, NO_BODY, kept.message), reply, refused);
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
