/** A loopback proxy that injects faults into the connections through it. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { resetConnection } from '../platform/Sockets.js';

/** How the proxy disturbs the link. */
export enum LinkFault {
  None = 'none',
  /** Forwards bytes with a delay. */
  Delayed = 'delayed',
  /** Accepts connections and bytes, and forwards nothing. */
  Silent = 'silent',
  /** Forwards requests but no answers. */
  OneWay = 'one-way',
  /** Accepts every new connection and resets it at once. */
  Refused = 'refused',
}

/** Delay of `LinkFault.Delayed`, in milliseconds. */
const DELAY_MS = 60;

/** The actions of one direction of a connection, in order: an action waits for all earlier ones. */
interface ActionQueue {
  add(action: () => void, delayMs: number): void;
  /** Discards the waiting actions, and those added later. */
  discard(): void;
}

interface ProxiedConnection {
  readonly downstream: Socket;
  readonly upstream: Socket;
  /** One queue for each direction. */
  readonly queues: ActionQueue[];
  /** Whether either side or the proxy reset the connection. */
  isReset: boolean;
}

function createActionQueue(): ActionQueue {
  const waiting: { readonly action: () => void; readonly dueAt: number }[] = [];
  let timer: NodeJS.Timeout | undefined;
  let isDiscarded = false;
  const run = (): void => {
    timer = undefined;
    while (waiting.length > 0) {
      // A timer of Node may fire up to a millisecond early.
      const remainingMs = waiting[0].dueAt - performance.now();
      if (remainingMs > 0) {
        timer = setTimeout(run, Math.ceil(remainingMs));
        return;
      }
      waiting.shift()?.action();
    }
  };
  return {
    add: (action, delayMs) => {
      if (isDiscarded) return;
      waiting.push({ action, dueAt: performance.now() + delayMs });
      if (timer === undefined) run();
    },
    discard: () => {
      isDiscarded = true;
      waiting.length = 0;
      clearTimeout(timer);
    },
  };
}

export class FaultProxy {
  public fault = LinkFault.None;

  private readonly connections = new Set<ProxiedConnection>();

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((downstream) => this.accept(downstream));

  private target = '';

  /**
   * Listens on a free port and forwards connections to `target`, an address as host:port.
   * @returns the address to connect to
   */
  public listen(target: string): Promise<string> {
    this.target = target;
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Number of sockets whose handles are open. */
  public get openSockets(): number {
    return this.sockets.size;
  }

  /** Resets every connection. */
  public reset(): void {
    for (const connection of this.connections) {
      this.discardQueues(connection);
      resetConnection(connection.downstream);
      resetConnection(connection.upstream);
    }
  }

  public close(): void {
    this.server.close();
    this.reset();
  }

  private accept(downstream: Socket): void {
    this.track(downstream);
    if (this.fault === LinkFault.Refused) {
      resetConnection(downstream);
      return;
    }
    const [host, port] = this.target.split(':');
    const connection: ProxiedConnection = {
      downstream,
      upstream: connect({ host, port: Number(port), allowHalfOpen: true }),
      queues: [],
      isReset: false,
    };
    downstream.allowHalfOpen = true;
    this.track(connection.upstream);
    this.connections.add(connection);
    this.forward(connection, connection.downstream, connection.upstream, LinkFault.Silent);
    this.forward(connection, connection.upstream, connection.downstream, LinkFault.OneWay);
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  /** Discards the bytes and ends that a reset overtakes. */
  private discardQueues(connection: ProxiedConnection): void {
    connection.isReset = true;
    for (const queue of connection.queues) queue.discard();
  }

  /**
   * Forwards an end as an end and a reset as a reset. Node may report a reset as an end; an empty
   * write tells them apart, since it fails after a reset.
   */
  private forwardEnd(from: Socket, to: Socket): void {
    if (!from.writable) {
      to.end();
      return;
    }
    from.write('', (error) => {
      if (error) resetConnection(to);
      else to.end();
    });
  }

  /** @param blockingFault - fault besides `LinkFault.Silent` that blocks this direction */
  private forward(
    connection: ProxiedConnection,
    from: Socket,
    to: Socket,
    blockingFault: LinkFault,
  ): void {
    const queue = createActionQueue();
    connection.queues.push(queue);
    let isSilent = false;
    const deliver = (action: () => void): void => {
      // A connection that lost bytes forwards no later ones: TCP never delivers bytes after lost ones.
      // Bytes that were delayed before are still delivered.
      isSilent ||= this.fault === LinkFault.Silent || this.fault === blockingFault;
      if (isSilent) return;
      queue.add(action, this.fault === LinkFault.Delayed ? DELAY_MS : 0);
    };
    from.on('data', (chunk: Buffer) => deliver(() => to.writable && to.write(chunk)));
    from.on('end', () => deliver(() => this.forwardEnd(from, to)));
    from.on('error', () => {
      this.discardQueues(connection);
      resetConnection(to);
    });
    from.on('close', () => {
      if (to.closed) this.connections.delete(connection);
      // Bytes and an end that `from` sent before it closed may still be queued, or unsent in `to`.
      if (connection.isReset) to.destroy();
      else queue.add(() => to.destroySoon(), 0);
    });
  }
}
