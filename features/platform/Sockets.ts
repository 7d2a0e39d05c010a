import type { Socket } from 'node:net';

/**
 * Resets a connection. A socket that has been ended is closed instead: libuv refuses to reset it and leaks
 * its handle.
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
