/** How much of the room at servers a request may take, where ranks compete for it. */
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile } from '../deployment/Types.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import type { Stage } from '../routing/Types.js';

/** Bounds on what a request finds taken at the servers of its route when it is sent. */
export interface RoomLimits {
  /** Fraction of the KV cache and of the running batch of each server that may be taken, its own part included. */
  readonly share: number;
  /** Prefill that its route may have to do before its own prompt, in milliseconds. */
  readonly maxBacklogMs: number;
}

/** Limits of requests that have the whole room. */
export const WHOLE_ROOM: RoomLimits = { share: 1, maxBacklogMs: Infinity };

/**
 * Returns the prefill that the servers of a route have to do for other requests, in milliseconds. A prompt
 * counts at each server until its first event.
 */
export function prefillBacklogMs(
  stages: readonly Stage[],
  engine: EngineProfile,
  directory: ServerDirectory,
  load: ServerLoad,
): number {
  let backlogMs = 0;
  for (const { server, from, to } of stages) {
    const accelerator = engine.accelerators.get(directory.get(server)?.record.accelerator ?? '');
    if (accelerator === undefined) continue;
    const tokensPerMs = engine.readTokensPerMs / accelerator.readFactor;
    backlogMs += ((load.prefillTokens(server) / tokensPerMs) * (to - from)) / engine.layers;
  }
  return backlogMs;
}
