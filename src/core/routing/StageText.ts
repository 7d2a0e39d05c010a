import type { Stage } from './Types.js';

/** Formats a route for log lines, with `server=from-to` for each stage. */
export function describeStages(stages: readonly Stage[]): string {
  return stages.map(({ server, from, to }) => `${server}=${from}-${to}`).join(',');
}
