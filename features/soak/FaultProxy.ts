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

interface ProxiedConnection {
  readonly downstream: Socket;
  readonly upstream: Socket;
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
    for (const { downstream, upstream } of this.connections) {
      resetConnection(downstream);
      resetConnection(upstream);
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
    const connection = {
      downstream,
      upstream: connect({ host, port: Number(port), allowHalfOpen: true }),
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
    let isSilent = false;
    const deliver = (action: () => void): void => {
      // A connection that lost bytes forwards no later ones: TCP never delivers bytes after lost ones.
      isSilent ||= this.fault === LinkFault.Silent || this.fault === blockingFault;
      if (isSilent) return;
      if (this.fault === LinkFault.Delayed) setTimeout(action, DELAY_MS);
      else action();
    };
    from.on('data', (chunk: Buffer) => deliver(() => to.writable && to.write(chunk)));
    from.on('end', () => deliver(() => this.forwardEnd(from, to)));
    from.on('error', () => resetConnection(to));
    from.on('close', () => {
      this.connections.delete(connection);
      to.destroy();
    });
  }
}
