/** Divides the descriptors of a process among its listeners. */
import { ConnectionBudget } from '../core/limits/ConnectionBudget.js';
import type { Clock } from '../ports/Types.js';
import type { RouterSettings } from './Settings.js';

/** Descriptors that are kept for files, the event loop and listeners. */
const FILE_DESCRIPTORS = 200;

/** Listeners whose connections are bounded. */
export enum Listener {
  Callers = 'callers',
  Readiness = 'readiness',
  Metrics = 'metrics',
  Peers = 'peers',
}

/**
 * Fractions of the sockets that each listener may keep. As many as for callers are left for the servers that their
 * requests are sent to, one at a time for each connection, and the rest for peers and the store.
 */
const SHARES: Readonly<Record<Listener, number>> = {
  [Listener.Callers]: 0.42,
  [Listener.Readiness]: 0.01,
  [Listener.Metrics]: 0.01,
  [Listener.Peers]: 0.07,
};

/**
 * Time without progress after which a connection of a listener may end, in milliseconds, where it is not the usual
 * one. Probes and metrics are answered at once.
 */
const STALLED_MS: Readonly<Partial<Record<Listener, number>>> = {
  [Listener.Readiness]: 250,
  [Listener.Metrics]: 250,
};

export type ConnectionBudgets = Readonly<Record<Listener, ConnectionBudget>>;

/** @param machine - what the machine can carry, as its settings state it */
export function connectionBudgets(
  clock: Clock,
  machine: RouterSettings['machine'],
): ConnectionBudgets {
  const sockets = Math.max(0, machine.descriptors - FILE_DESCRIPTORS);
  const open = (listener: Listener): ConnectionBudget =>
    new ConnectionBudget(
      clock,
      Math.max(1, Math.floor(sockets * SHARES[listener])),
      STALLED_MS[listener],
    );
  return {
    [Listener.Callers]: open(Listener.Callers),
    [Listener.Readiness]: open(Listener.Readiness),
    [Listener.Metrics]: open(Listener.Metrics),
    [Listener.Peers]: open(Listener.Peers),
  };
}
