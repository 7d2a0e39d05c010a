/** Accepts peers' connections for a gRPC server, and bounds their number. */
import { createServer, type Server, type Socket } from 'node:net';
import type { ConnectionEndListener } from '../http/ConnectionGuard.js';
import { ConnectionEnd } from '../http/GuardedConnection.js';
import { hostAndPort } from '../http/HttpClient.js';
import { ConnectionPhase, type ConnectionBudget } from '../../core/limits/ConnectionBudget.js';

export interface PeerListenerDependencies {
  /** Bounds the connections. Peers that are alive send digests, so theirs move on. */
  readonly connections: ConnectionBudget;
  readonly onConnectionEnd: ConnectionEndListener;
}

export class PeerListener {
  private server: Server | undefined;

  /**
   * @param accept - called with each connection that is kept
   * @param dependencies - bounds the connections; if undefined, all are kept
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
        resolve();
      });
    });
  }

  /** Stops listening; connections stay open. */
  public dispose(): void {
    this.server?.close();
  }

  private admit(socket: Socket): void {
    if (this.dependencies === undefined) {
      this.accept(socket);
      return;
    }
    const { connections, onConnectionEnd } = this.dependencies;
    const peer = socket.remoteAddress ?? '';
    const end = (reason: ConnectionEnd): void => {
      socket.destroy();
      onConnectionEnd(reason, peer);
    };
    const count = connections.open({
      peer,
      get movedBytes() {
        return socket.bytesRead;
      },
      phase: ConnectionPhase.Unfinished,
      onEvict: () => end(ConnectionEnd.Evicted),
    });
    if (count === undefined) {
      end(ConnectionEnd.TurnedAway);
      return;
    }
    socket.once('close', () => count.dispose());
    this.accept(socket);
  }
}
