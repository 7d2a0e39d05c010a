import type { Socket } from 'node:net';

/**
 * Breaks a connection. One that was ended is closed instead: libuv refuses to reset it and leaves its
 * handle open for good.
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
