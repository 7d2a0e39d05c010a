/** Keeps what the clients of one HTTP server can make it hold within bounds. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionBudget } from '../../core/limits/ConnectionBudget.js';
import type { MemoryBudget } from '../../core/limits/MemoryBudget.js';
import { ConnectionEnd, GuardedConnection } from './GuardedConnection.js';

/**
 * Requests that may wait for their answers on one connection. Node parses all requests that it has read at once
 * and holds each until its turn; clients that send requests ahead rarely have more than a few under way.
 */
const MAX_REQUESTS_AHEAD = 16;

/** Interval at which the heads that have not been read to their end are counted, in milliseconds. */
const HEAD_COUNT_MS = 250;

/** Called for each connection that the guard closes, with the address of the other end. */
export type ConnectionEndListener = (end: ConnectionEnd, peer: string) => void;

export interface ConnectionGuardDependencies {
  /** Bounds the server's connections. */
  readonly connections: ConnectionBudget;
  /** Bounds what all messages in progress keep. */
  readonly memory: MemoryBudget;
  readonly onConnectionEnd: ConnectionEndListener;
}

export class ConnectionGuard {
  private readonly guarded = new Map<Socket, GuardedConnection>();

  private readonly timer = setInterval(() => this.countHeads(), HEAD_COUNT_MS).unref();

  /** @param server - the server to guard, before it listens */
  public constructor(
    server: Server,
    private readonly dependencies: ConnectionGuardDependencies,
  ) {
    server.on('connection', (socket: Socket) => this.watch(socket));
  }

  /** Closes the connections without a request in progress. */
  public closeIdle(): void {
    for (const [socket, { openRequests }] of this.guarded) if (openRequests === 0) socket.destroy();
  }

  /** Number of requests of a connection whose answers have not been written. */
  public openRequests(socket: Socket): number {
    return this.guarded.get(socket)?.openRequests ?? 0;
  }

  /**
   * Counts a request until its answer has been written or its connection is closed.
   * @param onEnd - called then
   * @returns false if its connection has been closed, so that the request must be ignored
   */
  public admit(
    request: IncomingMessage,
    response: ServerResponse,
    onEnd: () => void = () => {},
  ): boolean {
    const { socket } = request;
    const connection = this.guarded.get(socket);
    if (connection === undefined || socket.destroyed) return false;
    if (connection.openRequests >= MAX_REQUESTS_AHEAD) {
      this.end(socket, ConnectionEnd.RequestsAhead, connection.peer);
      return false;
    }
    connection.begin(request, response, onEnd);
    return true;
  }

  public dispose(): void {
    clearInterval(this.timer);
  }

  private watch(socket: Socket): void {
    const connection = new GuardedConnection(socket, (end) =>
      this.end(socket, end, connection.peer),
    );
    const count = this.dependencies.connections.open(connection);
    if (count === undefined) {
      this.end(socket, ConnectionEnd.TurnedAway, connection.peer);
      return;
    }
    this.guarded.set(socket, connection);
    socket.once('close', () => {
      this.guarded.delete(socket);
      connection.close();
      count.dispose();
    });
  }

  private countHeads(): void {
    for (const connection of this.guarded.values()) connection.countHead(this.dependencies.memory);
  }

  private end(socket: Socket, end: ConnectionEnd, peer: string): void {
    socket.destroy();
    this.dependencies.onConnectionEnd(end, peer);
  }
}
