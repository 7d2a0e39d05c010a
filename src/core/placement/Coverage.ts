import type { LayerSpan } from '../deployment/Types.js';

/** Requests that the servers of each layer have memory for, in the fleet and in each failure domain. */
export class Coverage {
  private readonly fleet: Float64Array;

  private readonly domains = new Map<string, Float64Array>();

  public constructor(private readonly layers: number) {
    this.fleet = new Float64Array(layers);
  }

  /** @param requests - requests that the server has memory for besides the layers */
  public add(failureDomain: string, { from, to }: LayerSpan, requests: number): void {
    const domain = this.inDomain(failureDomain);
    for (let layer = from; layer < to; layer += 1) {
      this.fleet[layer] += requests;
      domain[layer] += requests;
    }
  }

  public remove(failureDomain: string, span: LayerSpan, requests: number): void {
    this.add(failureDomain, span, -requests);
  }

  /** Request capacity of each layer in a failure domain. */
  public inDomain(failureDomain: string): Float64Array {
    let requests = this.domains.get(failureDomain);
    if (requests === undefined) {
      requests = new Float64Array(this.layers);
      this.domains.set(failureDomain, requests);
    }
    return requests;
  }

  /** Request capacity of each layer in the fleet. */
  public get inFleet(): Float64Array {
    return this.fleet;
  }
}
