/** Values the number of requests that the servers of each layer have memory for. */
import type { LayerSpan } from '../deployment/Types.js';
import type { Coverage } from './Coverage.js';

/** Value of a layer's first server in a failure domain: a domain that is cut off serves alone. */
const FIRST_IN_DOMAIN_VALUE = 4;

/** Value of a layer's first server in the fleet: without it no request can be served. */
const FIRST_IN_FLEET_VALUE = 12;

/** Requests in a failure domain at which half of the value of additional memory is reached. */
const DOMAIN_HALF_VALUE_REQUESTS = 50;

/** Requests in the fleet at which half of the value of additional memory is reached. */
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

/** Value of memory for `requests` more on a layer; negative if `requests` is negative. */
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

/** Value of memory for `requests` more on each layer of a span. */
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

/** Returns the most valuable span of `size` layers; the first of equal ones, so that spans tile. */
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
