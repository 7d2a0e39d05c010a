import { createServer } from 'node:net';

/** A port on the loopback address that nothing uses now. */
export function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });
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
