import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

/** Time for which an idle connection is kept when the server names none, in milliseconds. */
const IDLE_MS = 4000;

/** Idle connections kept for each server. */
const MAX_IDLE = 8; // small services take a few dozen connections from all instances together

function destroySelf(this: Duplex): void {
  this.destroy();
}

/** Keeps connections to servers, and drops those that end or bring bytes unasked. */
export class ServerAgent extends Agent {
  public constructor() {
    super({ keepAlive: true, maxFreeSockets: MAX_IDLE, scheduling: 'lifo', timeout: IDLE_MS });
  }

  public override keepSocketAlive(socket: Duplex): boolean {
    // Typed as void in @types/node, though Node uses the result.
    const base = Agent.prototype as unknown as { keepSocketAlive(kept: Duplex): boolean };
    const keeps = base.keepSocketAlive.call(this, socket);
    if (keeps) socket.on('data', destroySelf).on('end', destroySelf);
    return keeps;
  }

  public override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.removeListener('data', destroySelf).removeListener('end', destroySelf);
    const base = Agent.prototype as unknown as {
      reuseSocket(reused: Duplex, by: ClientRequest): void;
    };
    base.reuseSocket.call(this, socket, request);
  }
}
