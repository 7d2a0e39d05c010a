/** What an instance takes on, from what its machine can carry. */
import type { RouterSettings } from './Settings.js';

/** Processor time that relaying to 40 instances takes, as a fraction of one core. */
const HUB_PROCESSOR_SHARE = 0.25;

/** Bandwidth that relaying a large configuration to 40 instances in time takes, in megabits per second. */
const HUB_LINK_MBPS = 40;

/**
 * Fraction of the machine's memory for messages in progress. The rest holds the program, its heap, and parts of
 * messages that the collector has not freed yet.
 */
const MESSAGE_MEMORY_SHARE = 0.2;

/**
 * Returns what a machine can carry as hub: the smaller of its processor share and its link, each against what
 * relaying to a failure domain of 40 instances takes. A machine that does not state both is taken for none that can,
 * so that hubs are chosen among the others first, and by the names of instances if no machine states them.
 */
export function hubCapacity(machine: RouterSettings['machine']): number {
  const { processorShare, processorSpeed, linkMbps } = machine;
  if (processorShare === undefined || linkMbps === undefined) return 0;
  return Math.min(
    (processorShare * processorSpeed) / HUB_PROCESSOR_SHARE,
    linkMbps / HUB_LINK_MBPS,
  );
}

/** Returns the bytes that all messages in progress together may take of the process. */
export function messageBytes(machine: RouterSettings['machine']): number {
  return machine.memoryMb * 1e6 * MESSAGE_MEMORY_SHARE;
}
