/** Says what it is worth that a layer's servers have memory for some requests. */
import type { LayerSpan } from '../deployment/Types.js';
import type { Coverage } from './Coverage.js';

/** Worth of the first server of a layer in a failure domain: cut off, the domain serves alone. */
const HELD_AT_HOME = 4;

/** Worth of the first server of a layer in the fleet: without it nothing is served. */
const HELD_AT_ALL = 12;

/** Requests in a failure domain at which half of what more memory is worth has been reached. */
const HALF_AT_HOME = 50;

/** The same for the fleet. */
const HALF_AT_ALL = 120;

/** Less memory than this counts as none, in requests; sums of floats do not end at zero. */
const NONE = 0.5;

function worth(requests: number, held: number, half: number): number {
  if (requests < NONE) return 0;
  return held + requests / (requests + half);
}

function layerWorth(atHome: number, atAll: number): number {
  return worth(atHome, HELD_AT_HOME, HALF_AT_HOME) + worth(atAll, HELD_AT_ALL, HALF_AT_ALL);
}

/** What `requests` more for a layer would be worth; less than nothing when requests go. */
function gain(coverage: Coverage, home: Float64Array, layer: number, requests: number): number {
  const atHome = home[layer];
  const atAll = coverage.all[layer];
  return layerWorth(atHome + requests, atAll + requests) - layerWorth(atHome, atAll);
}

/** What a span that holds `requests` more would be worth. */
export function spanGain(
  coverage: Coverage,
  failureDomain: string,
  { from, to }: LayerSpan,
  requests: number,
): number {
  const home = coverage.home(failureDomain);
  let sum = 0;
  for (let layer = from; layer < to; layer += 1) sum += gain(coverage, home, layer, requests);
  return sum;
}

/** The span of `size` layers that is worth most; the earliest of equals, so that spans tile. */
export function bestSpan(
  coverage: Coverage,
  failureDomain: string,
  size: number,
  requests: number,
): LayerSpan {
  const home = coverage.home(failureDomain);
  const layers = coverage.all.length;
  const gains = new Float64Array(layers);
  for (let layer = 0; layer < layers; layer += 1)
    gains[layer] = gain(coverage, home, layer, requests);
  let sum = 0;
  let best = -Infinity;
  let from = 0;
  for (let to = 1; to <= layers; to += 1) {
    sum += gains[to - 1];
    if (to > size) sum -= gains[to - 1 - size];
    if (to >= size && sum > best + 1e-9) {
      best = sum;
      from = to - size;
    }
  }
  return { from, to: from + size };
}
