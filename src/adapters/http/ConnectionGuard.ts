/** Keeps what the clients of one HTTP server can make it hold within bounds. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { ConnectionBudget } from '../../core/limits/ConnectionBudget.js';
import type { InputTurns } from '../../core/limits/InputTurns.js';
import type { MemoryBudget } from '../../core/limits/MemoryBudget.js';
import { ConnectionEnd, GuardedConnection } from './GuardedConnection.js';
import { ScheduledConnection } from './ScheduledConnection.js';

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
  /** Orders the input of all connections of the process. */
  readonly turns: InputTurns;
  readonly onConnectionEnd: ConnectionEndListener;
}

export class ConnectionGuard {
  private readonly guarded = new Map<Duplex, GuardedConnection>();

  private readonly timer = setInterval(() => this.countHeads(), HEAD_COUNT_MS).unref();

  /** @param server - the server to guard, before it listens */
  public constructor(
    private readonly server: Server,
    private readonly dependencies: ConnectionGuardDependencies,
  ) {
    // Node's server takes any stream as a connection; it gets one that passes the socket's input on in turns.
    const [accept] = server.listeners('connection') as ((connection: Duplex) => void)[];
    server.removeAllListeners('connection');
    server.on('connection', (socket: Socket) => this.watch(socket, accept));
  }

  /** Closes the connections without a request in progress, and without input that waits to be read. */
  public closeIdle(): void {
    for (const [socket, { openRequests, hasWaitingInput }] of this.guarded)
      if (openRequests === 0 && !hasWaitingInput) socket.destroy();
  }

  /** Number of requests of a connection whose answers have not been written. */
  public openRequests(socket: Duplex): number {
    return this.guarded.get(socket)?.openRequests ?? 0;
  }

  /**
   * Counts a request until its answer has been written or its connection is closed.
   * @param onEnd - called then
   * @param refuse - refuses the request while it is being read, because that takes too much processor time
   * @returns false if its connection has been closed, so that the request must be ignored
   */
  public admit(
    request: IncomingMessage,
    response: ServerResponse,
    onEnd: () => void = () => {},
    refuse?: () => void,
  ): boolean {
    const { socket } = request;
    const connection = this.guarded.get(socket);
    if (connection === undefined || socket.destroyed) return false;
    if (connection.openRequests >= MAX_REQUESTS_AHEAD) {
      this.end(socket, ConnectionEnd.RequestsAhead, connection.peer);
      return false;
    }
    connection.begin(request, response, onEnd, refuse);
    return true;
  }

  /** Drops what still comes of a request that has been refused, and closes its connection soon after the answer. */
  public discardInput({ socket }: IncomingMessage): void {
    this.guarded.get(socket)?.discardInput();
  }

  public dispose(): void {
    clearInterval(this.timer);
  }

  private watch(socket: Socket, accept: (connection: Duplex) => void): void {
    const { connections, memory, turns } = this.dependencies;
    const connection = new ScheduledConnection(socket, {
      turns,
      memory,
      onCostlyInput: (costly) => this.refuseInput(costly),
      onUnreadInput: (unread) =>
        this.end(unread, ConnectionEnd.UnreadInput, unread.remoteAddress ?? ''),
    });
    const guarded = new GuardedConnection(connection, (end) =>
      this.end(connection, end, guarded.peer),
    );
    const count = connections.open(guarded);
    if (count === undefined) {
      this.end(connection, ConnectionEnd.TurnedAway, guarded.peer);
      return;
    }
    this.guarded.set(connection, guarded);
    connection.once('close', () => {
      this.guarded.delete(connection);
      guarded.close();
      count.dispose();
    });
    accept.call(this.server, connection);
  }

  private refuseInput(connection: Duplex): void {
    const guarded = this.guarded.get(connection);
    if (guarded === undefined) return;
    this.dependencies.onConnectionEnd(ConnectionEnd.CostlyInput, guarded.peer);
    guarded.refuseInput();
  }

  private countHeads(): void {
    for (const connection of this.guarded.values()) connection.countHead(this.dependencies.memory);
  }

  private end(socket: Duplex, end: ConnectionEnd, peer: string): void {
    socket.destroy();
    this.dependencies.onConnectionEnd(end, peer);
  }
}
