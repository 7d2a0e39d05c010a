/** A stand-in for a backend server, after the platform's published protocol. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { LAYERS } from './SampleConfiguration.js';
import { resetConnection } from './Sockets.js';
import type { FakeStore } from './FakeStore.js';

/** How the server answers a request. */
export enum AnswerStyle {
  Whole = 'whole',
  /** Without a length; ends with its connection. */
  Unframed = 'unframed',
  /** Without a length, and reset in the middle. */
  UnframedReset = 'unframed and reset',
  /** With the id of another request. */
  Foreign = 'of another request',
  /** Rejected, with the statement that it did not run. */
  Rejected = 'rejected',
  /** Broken off in the middle of its length. */
  Truncated = 'broken off',
}

/** Events of a whole stream. */
export const EVENTS_PER_STREAM = 12;

const EVENT_MS = 10;

/** The whole answer to a call. */
export function answerTo(id: string): string {
  return `the whole answer of the server to ${id}`;
}

/** One run of a request. */
export interface Run {
  readonly id: string;
  readonly at: number;
  readonly headers: IncomingMessage['headers'];
}

export class FakeBackendServer {
  public style = AnswerStyle.Whole;

  /** Requests that the server ran. */
  public readonly runs: Run[] = [];

  /** Start of the server, as it says. */
  private born = 1;

  private span: { source: number; to: number } | undefined;

  private orders = 0;

  private address = '';

  private readonly sockets = new Set<Socket>();

  private readonly server: Server = createServer((request, response) => {
    this.handle(request, response);
  });

  public constructor(
    public readonly id: string,
    private readonly service: string,
    private readonly zone: string,
    private readonly kind: string,
    private readonly store: FakeStore,
  ) {
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** @param route - how callers reach the server, when not by its own address */
  public async listen(
    route: (address: string) => string | Promise<string> = (own) => own,
  ): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = await route(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
    this.announce('ready');
  }

  /** Starts again after a crash, empty and at another port. */
  public async restart(route?: (address: string) => string | Promise<string>): Promise<void> {
    this.born += 1;
    this.orders = 0;
    this.span = undefined;
    await this.listen(route);
  }

  /** Crashes: every connection is reset and none is taken any more. */
  public crash(): void {
    this.server.close();
    for (const socket of this.sockets) resetConnection(socket);
  }

  /** Writes the server's entry. */
  public announce(state: string): void {
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 134,
      state,
      seq_no: 7,
      born: this.born,
      route_kind: this.kind,
      ...(this.span !== undefined && { layer_count: { ...this.span, version: 1 } }),
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body = '';
    for await (const chunk of request) body += chunk;
    if (request.url === '/-/report') this.report(response);
    else if (request.url === '/-/order') this.order(response, body);
    else this.run(request, response);
  }

  private report(response: ServerResponse): void {
    response.end(
      JSON.stringify({
        seq_no: this.orders,
        busy: false,
        ...(this.span !== undefined && { layer_count: this.span }),
      }),
    );
  }

  private order(response: ServerResponse, body: string): void {
    const order = JSON.parse(body) as {
      operation: string;
      source: number;
      to: number;
      precondition: number;
    };
    if (order.precondition !== this.orders) {
      response.writeHead(409).end('{}');
      return;
    }
    this.orders += 1;
    this.span = { source: order.source, to: order.to };
    response.writeHead(202).end('{}');
    this.announce('ready');
  }

  private run(request: IncomingMessage, response: ServerResponse): void {
    const { headers } = request;
    if (headers['x-expect-instance'] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (this.style === AnswerStyle.Rejected) {
      response.writeHead(503, { 'x-not-executed': '1' }).end();
      return;
    }
    this.runs.push({ id: String(headers['x-attempt-id']), at: performance.now(), headers });
    if (headers['x-hop-count'] === undefined) this.answer(request, response);
    else this.stream(request, response);
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const isForeign = this.style === AnswerStyle.Foreign;
    const id = isForeign ? 'another' : String(request.headers['x-attempt-id']);
    const answer = answerTo(id);
    const head = `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-server-seal: seal\r\n`;
    const { socket } = request;
    switch (this.style) {
      case AnswerStyle.Unframed:
        socket.end(`${head}connection: close\r\n\r\n${answer}`);
        return;
      case AnswerStyle.UnframedReset:
        socket.write(`${head}connection: close\r\n\r\n${answer.slice(0, 9)}`);
        socket.resetAndDestroy();
        return;
      case AnswerStyle.Truncated:
        socket.end(`${head}content-length: ${answer.length}\r\n\r\n${answer.slice(0, 9)}`);
        return;
      default:
        response.writeHead(200, { 'x-attempt-id': id, 'x-server-seal': 'seal' }).end(answer);
    }
  }

  private stream(request: IncomingMessage, response: ServerResponse): void {
    const { headers } = request;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': String(headers['x-attempt-id']),
      'x-server-seal': 'seal',
    });
    let number = Number(headers['last-event-id'] ?? 0);
    const timer = setInterval(() => {
      number += 1;
      response.write(`id: ${number}\ndata: event ${number}\n\n`);
      if (number < EVENTS_PER_STREAM) return;
      clearInterval(timer);
      response.end();
    }, EVENT_MS);
    response.once('close', () => clearInterval(timer));
  }
}

/** Whether a route as servers get it covers every layer once, in order. */
export function coversLayers(route: string): boolean {
  let next = 0;
  for (const part of route.split(',')) {
    const [from, to] = part
      .slice(part.indexOf('=') + 1)
      .split('-')
      .map(Number);
    if (from !== next || to <= from) return false;
    next = to;
  }
  return next === LAYERS;
}
