import type { Stage } from './Types.js';

/** A route as log lines show it: `server=from-to` for each stage. */
export function describeStages(stages: readonly Stage[]): string {
  return stages.map(({ server, from, to }) => `${server}=${from}-${to}`).join(',');
}
