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
 * Returns the prefill that a new prompt waits for on a route, in milliseconds: that of its busiest server. Prompts
 * pass the servers one after another, so that the others work on while one is busy; a prompt counts at each of
 * them until its first event.
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
    const share = (to - from) / engine.layers;
    backlogMs = Math.max(backlogMs, (load.prefillTokens(server) / tokensPerMs) * share);
  }
  return backlogMs;
}
