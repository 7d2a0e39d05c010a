import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

/** Time for which an idle connection is kept when the server names none, in milliseconds. */
const IDLE_TIMEOUT_MS = 4000;

/** Idle connections kept for each server. */
const MAX_IDLE_SOCKETS = 8; // small services take a few dozen connections from all instances together

function destroySocket(this: Duplex): void {
  this.destroy();
}

/** Keeps connections to servers, and drops those that end or bring bytes unasked. */
export class ServerAgent extends Agent {
  public constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MS,
    });
  }

  public override keepSocketAlive(socket: Duplex): boolean {
    // Typed as void in @types/node, though Node uses the result.
    const base = Agent.prototype as unknown as { keepSocketAlive(kept: Duplex): boolean };
    const keeps = base.keepSocketAlive.call(this, socket);
    if (keeps) socket.on('data', destroySocket).on('end', destroySocket);
    return keeps;
  }

  public override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.removeListener('data', destroySocket).removeListener('end', destroySocket);
    const base = Agent.prototype as unknown as {
      reuseSocket(reused: Duplex, by: ClientRequest): void;
    };
    base.reuseSocket.call(this, socket, request);
  }
}
