/** Serves the platform's readiness probe. */
import { createServer, type Server } from 'node:http';
import {
  ConnectionGuard,
  type ConnectionGuardDependencies,
} from '../adapters/http/ConnectionGuard.js';
import { PROBE_SERVER_OPTIONS } from '../adapters/http/ProbeServer.js';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import { PATH } from './WireNames.js';

/** Answers 200 while the instance accepts new connections, and 503 otherwise. */
export class Readiness {
  private readonly server: Server;

  private readonly guard: ConnectionGuard;

  public constructor(isReady: () => boolean, dependencies: ConnectionGuardDependencies) {
    this.server = createServer(PROBE_SERVER_OPTIONS, (request, response) => {
      if (!this.guard.admit(request, response)) return;
      if (request.url !== PATH.ready) response.writeHead(404);
      else response.writeHead(isReady() ? 200 : 503);
      response.end();
    });
    this.guard = new ConnectionGuard(this.server, dependencies);
  }

  public listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(hostAndPort(address), () => resolve());
    });
  }

  public close(): void {
    this.guard.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }
}
