/** Accepts peers' connections for a gRPC server, and bounds their number. */
import { createServer, type Server, type Socket } from 'node:net';
import type { ConnectionGuardDependencies } from '../http/ConnectionGuard.js';
import { ConnectionEnd } from '../http/GuardedConnection.js';
import { hostAndPort } from '../http/HttpClient.js';
import { PeerConnection } from './PeerConnection.js';

/** Interval at which the messages that are not complete are counted, in milliseconds. */
const COUNT_MS = 25;

/** What a peer listener needs to stay within bounds. */
export type PeerListenerDependencies = Pick<
  ConnectionGuardDependencies,
  'connections' | 'memory' | 'onConnectionEnd'
>;

export class PeerListener {
  private server: Server | undefined;

  private timer: NodeJS.Timeout | undefined;

  /** Connections by the address and port of the other end. */
  private readonly connections = new Map<string, PeerConnection>();

  /**
   * @param accept - called with each connection that is kept
   * @param dependencies - bounds the connections and their messages; if undefined, all are kept. Peers that are alive
   *   send digests, so their connections move on
   */
  public constructor(
    private readonly accept: (socket: Socket) => void,
    private readonly dependencies?: PeerListenerDependencies,
  ) {}

  /** Starts to listen; rejects if the address cannot be bound. */
  public listen(address: string): Promise<void> {
    const server = createServer((socket) => this.admit(socket));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(hostAndPort(address), () => {
        this.server = server;
        this.timer = setInterval(() => this.countMessages(), COUNT_MS).unref();
        resolve();
      });
    });
  }

  /** Stops listening; connections stay open. */
  public dispose(): void {
    clearInterval(this.timer);
    this.server?.close();
  }

  /**
   * Records that a message has been read to its end.
   * @param peer - address and port of the other end
   * @param bytes - size of the message
   */
  public endMessage(peer: string, bytes: number): void {
    this.connections.get(peer)?.endMessage(bytes);
  }

  private countMessages(): void {
    for (const connection of this.connections.values()) connection.countUnfinished();
  }

  private admit(socket: Socket): void {
    if (this.dependencies === undefined) {
      this.accept(socket);
      return;
    }
    const { connections, memory, onConnectionEnd } = this.dependencies;
    const connection = new PeerConnection(socket, memory, (reason) =>
      onConnectionEnd(reason, connection.peer),
    );
    const count = connections.open(connection);
    if (count === undefined) {
      connection.end(ConnectionEnd.TurnedAway);
      return;
    }
    const { name } = connection;
    this.connections.set(name, connection);
    socket.once('close', () => {
      this.connections.delete(name);
      connection.dispose();
      count.dispose();
    });
    this.accept(socket);
  }
}
