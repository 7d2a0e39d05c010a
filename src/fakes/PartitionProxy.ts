import { connect, createServer, type Server, type Socket } from 'node:net';
import { hostAndPort } from '../adapters/http/HttpClient.js';

/**
 * TCP proxy on loopback that simulates a network partition. A cut closes all open connections and loses
 * the data in flight; new connections are closed until `restore`.
 */
export class PartitionProxy {
  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  private isCut = false;

  public constructor(private readonly target: string) {
    this.server = createServer((client) => this.accept(client));
  }

  /** Starts to listen on a free port; resolves to the address that clients connect to. */
  public listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as { port: number }).port}`);
      });
    });
  }

  public cut(): void {
    this.isCut = true;
    for (const socket of this.sockets) socket.destroy();
  }

  public restore(): void {
    this.isCut = false;
  }

  public close(): void {
    this.cut();
    this.server.close();
  }

  private accept(client: Socket): void {
    if (this.isCut) {
      client.destroy();
      return;
    }
    const { host, port } = hostAndPort(this.target);
    const upstream = connect(port, host);
    for (const [from, to] of [
      [client, upstream],
      [upstream, client],
    ]) {
      this.sockets.add(from);
      from.on('error', () => {});
      from.on('close', () => {
        this.sockets.delete(from);
        to.destroy();
      });
      from.pipe(to);
    }
  }
}
