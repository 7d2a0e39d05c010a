/** A loopback proxy that harms the connections through it. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { resetConnection } from '../platform/Sockets.js';

/** What the proxy does with bytes. */
export enum LinkFault {
  None = 'none',
  /** Passes them on late. */
  Delayed = 'delayed',
  /** Takes connections and bytes, and passes nothing on. */
  Silent = 'silent',
  /** Passes requests on and no answers. */
  OneWay = 'one-way',
  /** Takes no connection. */
  Refused = 'refused',
}

/** Delay of a delayed link, in milliseconds. */
const DELAY_MS = 60;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

export class FaultProxy {
  public fault = LinkFault.None;

  private readonly pairs = new Set<Pair>();

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((near) => this.accept(near));

  private target = '';

  /** @returns the address to connect to */
  public listen(target: string): Promise<string> {
    this.target = target;
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Sockets whose handles are open. */
  public get openSockets(): number {
    return this.sockets.size;
  }

  /** Resets every connection. */
  public reset(): void {
    for (const { near, far } of this.pairs) {
      resetConnection(near);
      resetConnection(far);
    }
  }

  public close(): void {
    this.server.close();
    this.reset();
  }

  private accept(near: Socket): void {
    this.track(near);
    if (this.fault === LinkFault.Refused) {
      resetConnection(near);
      return;
    }
    const [host, port] = this.target.split(':');
    const pair = { near, far: connect({ host, port: Number(port), allowHalfOpen: true }) };
    near.allowHalfOpen = true;
    this.track(pair.far);
    this.pairs.add(pair);
    this.pass(pair, pair.near, pair.far, LinkFault.Silent);
    this.pass(pair, pair.far, pair.near, LinkFault.OneWay);
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  /** Passes an end on as an end, and a reset that is reported as one as a reset: writing nothing tells. */
  private passEnd(from: Socket, to: Socket): void {
    if (!from.writable) {
      to.end();
      return;
    }
    from.write('', (error) => {
      if (error) resetConnection(to);
      else to.end();
    });
  }

  /** @param blocking - the fault besides silence that stops this direction */
  private pass(pair: Pair, from: Socket, to: Socket, blocking: LinkFault): void {
    let isSilent = false;
    const deliver = (act: () => void): void => {
      // A connection that lost bytes passes no later ones on, as on a real link.
      isSilent ||= this.fault === LinkFault.Silent || this.fault === blocking;
      if (isSilent) return;
      if (this.fault === LinkFault.Delayed) setTimeout(act, DELAY_MS);
      else act();
    };
    from.on('data', (chunk: Buffer) => deliver(() => to.writable && to.write(chunk)));
    from.on('end', () => deliver(() => this.passEnd(from, to)));
    from.on('error', () => resetConnection(to));
    from.on('close', () => {
      this.pairs.delete(pair);
      to.destroy();
    });
  }
}
