/** Options of servers whose requests have short heads and no bodies: readiness probes and metrics. */
import type { ServerOptions } from 'node:http';

export const PROBE_SERVER_OPTIONS: ServerOptions = {
  headersTimeout: 3000,
  // Bodies are not read, but a client may go on sending one.
  requestTimeout: 5000,
  connectionsCheckingInterval: 1000,
};
