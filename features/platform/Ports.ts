import { createServer } from 'node:net';

/** Ports below those that systems give to connections, so that none is taken before it is used. */
const FIRST_PORT = 15_000;
const LAST_PORT = 30_000;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Ports are handed out in turn, each once; processes begin at different places. */
let nextPort = FIRST_PORT + ((process.pid * 97) % (LAST_PORT - FIRST_PORT));

/** A port on the loopback address that nothing uses now, never the same one twice. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = port + 1 < LAST_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(port)) return port;
  }
}

/** A free address on the loopback interface. */
export async function freeAddress(): Promise<string> {
  return `127.0.0.1:${await freePort()}`;
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
