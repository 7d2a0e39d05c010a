/** Serves the platform's readiness probe. */
import { createServer, type Server } from 'node:http';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import { PATH } from './WireNames.js';

/** Answers 200 while the instance accepts new connections, and 503 otherwise. */
export class Readiness {
  private readonly server: Server;

  public constructor(isReady: () => boolean) {
    this.server = createServer((request, response) => {
      if (request.url !== PATH.ready) response.writeHead(404);
      else response.writeHead(isReady() ? 200 : 503);
      response.end();
    });
  }

  public listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(hostAndPort(address), () => resolve());
    });
  }

  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
