/** Decides how long the filing of a ticket waits for the instances to apply it. */
import type { InstanceStatus, Status } from '../adapters/http/OperatorServer.js';

/** Maximum wait until live instances have applied a ticket, in milliseconds. */
const IN_FORCE_WAIT_MS = 15_000;

/** Maximum wait for the instance list, and for a first exchange with a listed instance, in milliseconds. */
const FIRST_EXCHANGE_WAIT_MS = 3000;

/**
 * An instance counts as live if it is ready and its last exchange was at most this long ago, in
 * milliseconds.
 */
const LIVE_WITHIN_MS = 5000;

/** Whether an instance serves, as far as the reporting instance knows. */
export function isLive({ ready, heardMsAgo }: InstanceStatus): boolean {
  return ready && heardMsAgo >= 0 && heardMsAgo <= LIVE_WITHIN_MS;
}

/**
 * Whether to ask once more who has applied a ticket.
 * @param status - the fleet, as the instance knows it with which the ticket was filed
 * @param ticket - number of the ticket
 * @param waitedMs - time since it was accepted, in milliseconds
 */
export function mayChange(status: Status, ticket: number, waitedMs: number): boolean {
  if (waitedMs > IN_FORCE_WAIT_MS) return false;
  for (const instance of status.instances)
    if (isLive(instance) && instance.applied < ticket) return true;
  if (waitedMs >= FIRST_EXCHANGE_WAIT_MS) return false;
  return !status.isInstanceListKnown || status.instances.some(({ heardMsAgo }) => heardMsAgo < 0);
}
