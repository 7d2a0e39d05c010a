import type { Stage } from './Types.js';

/** Formats a route for log lines, with `server=from-to` for each stage. */
export function describeStages(stages: readonly Stage[]): string {
  return stages.map(({ server, from, to }) => `${server}=${from}-${to}`).join(',');
}

/** Formats the failure domains that a route passes through for log lines, in its order. */
export function describeDomains(stages: readonly Stage[]): string {
  const domains: string[] = [];
  for (const { failureDomain = '' } of stages)
    if (failureDomain !== domains.at(-1)) domains.push(failureDomain);
  return domains.join(',');
}
