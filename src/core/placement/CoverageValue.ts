/** Rates the request capacity of each layer as a number that the planner maximizes. */
import type { LayerSpan } from '../deployment/Types.js';
import type { Coverage } from './Coverage.js';

/**
 * Value of a layer's first server in a failure domain: with every layer, a domain that is cut off from
 * the others can still serve requests.
 */
const FIRST_IN_DOMAIN_VALUE = 4;

/** Value of a layer's first server in the fleet: without it no request can be served. */
const FIRST_IN_FLEET_VALUE = 12;

/** Request capacity in a failure domain at which additional memory has gained half of its maximum value. */
const DOMAIN_HALF_VALUE_REQUESTS = 50;

/** Request capacity in the fleet at which additional memory has gained half of its maximum value. */
const FLEET_HALF_VALUE_REQUESTS = 120;

/** Less memory than this counts as none, in requests: floating-point sums rarely return to zero. */
const MIN_REQUESTS = 0.5;

function coverageValue(
  requests: number,
  firstServerValue: number,
  halfValueRequests: number,
): number {
  if (requests < MIN_REQUESTS) return 0;
  return firstServerValue + requests / (requests + halfValueRequests);
}

function layerValue(inDomain: number, inFleet: number): number {
  return (
    coverageValue(inDomain, FIRST_IN_DOMAIN_VALUE, DOMAIN_HALF_VALUE_REQUESTS) +
    coverageValue(inFleet, FIRST_IN_FLEET_VALUE, FLEET_HALF_VALUE_REQUESTS)
  );
}

/**
 * Value gained when a layer's servers have memory for `requests` more requests; negative if `requests`
 * is negative.
 */
function layerGain(
  coverage: Coverage,
  domain: Float64Array,
  layer: number,
  requests: number,
): number {
  const inDomain = domain[layer];
  const inFleet = coverage.inFleet[layer];
  return layerValue(inDomain + requests, inFleet + requests) - layerValue(inDomain, inFleet);
}

/** Value gained when the servers of each layer of a span have memory for `requests` more requests. */
export function spanGain(
  coverage: Coverage,
  failureDomain: string,
  { from, to }: LayerSpan,
  requests: number,
): number {
  const domain = coverage.inDomain(failureDomain);
  let sum = 0;
  for (let layer = from; layer < to; layer += 1)
    sum += layerGain(coverage, domain, layer, requests);
  return sum;
}

/**
 * Returns the most valuable span of `size` layers; the lowest one if several are equally valuable, so that
 * the spans of empty servers lie side by side without overlap.
 */
export function bestSpan(
  coverage: Coverage,
  failureDomain: string,
  size: number,
  requests: number,
): LayerSpan {
  const domain = coverage.inDomain(failureDomain);
  const layers = coverage.inFleet.length;
  const gains = new Float64Array(layers);
  for (let layer = 0; layer < layers; layer += 1)
    gains[layer] = layerGain(coverage, domain, layer, requests);
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
