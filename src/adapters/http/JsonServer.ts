/** HTTP server for JSON endpoints, with size and time limits. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { BrokenConnections } from './BrokenConnections.js';
import { readBody } from './BodyReader.js';
import { hostAndPort } from './HttpClient.js';

/** A request to a JSON endpoint. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** The answer of a JSON endpoint; a string value is sent as plain text. */
export interface JsonAnswer {
  readonly status: number;
  readonly value: unknown;
}

/** Handles a request. An error that it throws is answered with status 400, whatever the cause. */
export type JsonHandler = (request: JsonRequest) => Promise<JsonAnswer> | JsonAnswer;

const HEADERS_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 16 * 1024;

/** Creates a server with the header and time limits common to all HTTP servers of an entry instance. */
export function createLimitedServer(
  listener: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
  const server = createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: 1000,
      maxHeaderSize: MAX_HEADER_BYTES,
      insecureHTTPParser: false,
      requireHostHeader: true,
    },
    listener,
  );
  new BrokenConnections().attach(server);
  return server;
}

/** Listens on `address`; resolves to the address with the port that was bound. */
export function listen(server: Server, address: string): Promise<string> {
  const { host, port } = hostAndPort(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const bound = server.address() as { port: number };
      resolve(`${host}:${bound.port}`);
    });
  });
}

/** Closes a server and all its connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

export class JsonServer {
  public readonly server: Server;

  public constructor(
    private readonly handler: JsonHandler,
    private readonly maxBodyBytes: number,
  ) {
    this.server = createLimitedServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  public listen(address: string): Promise<string> {
    return listen(this.server, address);
  }

  public close(): Promise<void> {
    return closeServer(this.server);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://localhost');
    let answer: JsonAnswer;
    try {
      const body = await readBody(request, this.maxBodyBytes);
      answer = await this.handler({
        method: request.method ?? 'GET',
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body,
      });
    } catch (error) {
      answer = { status: 400, value: { error: { message: (error as Error).message } } };
    }
    if (response.destroyed) return;
    const isText = typeof answer.value === 'string';
    response.writeHead(answer.status, {
      'content-type': isText ? 'text/plain; version=0.0.4' : 'application/json',
    });
    response.end(isText ? (answer.value as string) : JSON.stringify(answer.value));
  }
}
