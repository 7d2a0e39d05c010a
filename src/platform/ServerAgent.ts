import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

/** Idle timeout of a connection, in milliseconds. If the server announces a shorter one, that one applies. */
const IDLE_TIMEOUT_MS = 4000;

/** Maximum number of idle connections kept for each server. */
const MAX_IDLE_SOCKETS = 8; // small services accept a few dozen connections from all instances together

function destroySocket(this: Duplex): void {
  this.destroy();
}

/** Keeps connections to servers alive, and closes idle ones that end or receive unsolicited data. */
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
    // @types/node declares void, though Node uses the result.
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
