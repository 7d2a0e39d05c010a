/** Computes the highest token rate of a pipeline's servers by a linear program over layer segments. */
import { solve, type Model } from 'yalps';
import type { Candidate } from './Types.js';

/** Share of one segment that a server should run. */
export interface FlowShare {
  readonly server: string;
  readonly from: number;
  readonly to: number;
  /** Part of the segment's tokens, from 0 to 1. */
  readonly share: number;
}

/** An optimal split of a pipeline's work. */
export interface FlowPlan {
  /** Upper bound of the token rate, in tokens per millisecond. */
  readonly tokensPerMs: number;
  readonly shares: readonly FlowShare[];
}

const FLOW = 'flow';

/** Lists the layer boundaries at which some candidate begins or ends, in ascending order. */
export function layerBoundaries(candidates: readonly Candidate[], layers: number): number[] {
  const boundaries = new Set<number>([0, layers]);
  for (const candidate of candidates) {
    boundaries.add(candidate.from);
    boundaries.add(candidate.to);
  }
  return [...boundaries].sort((a, b) => a - b);
}

/**
 * Solves for the highest token rate: each segment carries the whole flow, and no server is busy for
 * more than one millisecond per millisecond.
 */
export function planFlow(candidates: readonly Candidate[], layers: number): FlowPlan {
  const boundaries = layerBoundaries(candidates, layers);
  const constraints: Record<string, { min?: number; max?: number }> = {};
  const variables: Record<string, Record<string, number>> = { [FLOW]: { [FLOW]: 1 } };
  const variableSegments: { name: string; server: string; from: number; to: number }[] = [];
  for (let index = 0; index + 1 < boundaries.length; index += 1) {
    const from = boundaries[index];
    const to = boundaries[index + 1];
    const segment = `segment ${from}`;
    constraints[segment] = { min: 0 };
    variables[FLOW][segment] = -1;
    for (const candidate of candidates) {
      if (candidate.from > from || candidate.to < to) continue;
      const capacity = `server ${candidate.server}`;
      constraints[capacity] = { max: 1 };
      const name = `${candidate.server} ${from}`;
      variables[name] = { [segment]: 1, [capacity]: (to - from) * candidate.layerMs };
      variableSegments.push({ name, server: candidate.server, from, to });
    }
  }
  const model: Model = { direction: 'maximize', objective: FLOW, constraints, variables };
  const solution = solve(model, { includeZeroVariables: true, maxPivots: 100_000 });
  const values = new Map(solution.variables);
  const tokensPerMs = solution.status === 'optimal' ? solution.result : 0;
  const shares: FlowShare[] = [];
  for (const segment of variableSegments) {
    const value = values.get(segment.name) ?? 0;
    if (tokensPerMs > 0)
      shares.push({
        server: segment.server,
        from: segment.from,
        to: segment.to,
        share: value / tokensPerMs,
      });
  }
  return { tokensPerMs, shares };
}
