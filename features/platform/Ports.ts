import { createServer } from 'node:net';

/**
 * TCP ports below the ephemeral range, so that the system does not assign one to an outgoing connection
 * before the test uses it.
 */
const FIRST_PORT = 15_000;
const LAST_PORT = 30_000;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Ports are assigned sequentially, so that two instances do not get the same one before they use it.
 * Processes start at different ports to avoid collisions.
 */
let nextPort = FIRST_PORT + ((process.pid * 97) % (LAST_PORT - FIRST_PORT));

/**
 * Returns a port on the loopback address that is free now. A port is not returned again before the
 * whole range has been tried.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = port + 1 < LAST_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(port)) return port;
  }
}

/** Returns a free port with the loopback address, as `127.0.0.1:port`. */
export async function freeAddress(): Promise<string> {
  return `127.0.0.1:${await freePort()}`;
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
