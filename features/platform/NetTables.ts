/** What the kernel's tables say of connections. */
import { readFileSync } from 'node:fs';

/** State of a listening socket, whose queue counts connections. */
const LISTENING = '0A';

/**
 * Returns the bytes that have arrived on connections to some local ports and have not been read.
 * @param ports - ports on which a process listens
 */
export function unreadBytes(ports: ReadonlySet<number>): number {
  let sum = 0;
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
    const [, local, , state, queues] = line.trim().split(/\s+/);
    if (queues === undefined || state === LISTENING) continue;
    if (!ports.has(Number.parseInt(local.split(':')[1], 16))) continue;
    sum += Number.parseInt(queues.split(':')[1], 16);
  }
  return sum;
}
