import type { CallerLimits } from '../core/deployment/Types.js';

/** Limits that apply until the operator's configuration has been read. */
export const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
