import type { LayerSpan } from '../deployment/Types.js';

/** Copies of each layer, in the fleet and in each failure domain. */
export class Coverage {
  private readonly fleet: Int16Array;

  private readonly domains = new Map<string, Int16Array>();

  public constructor(private readonly layers: number) {
    this.fleet = new Int16Array(layers);
  }

  public add(failureDomain: string, span: LayerSpan): void {
    this.change(failureDomain, span, 1);
  }

  public remove(failureDomain: string, span: LayerSpan): void {
    this.change(failureDomain, span, -1);
  }

  /** Copies of each layer in a failure domain. */
  public home(failureDomain: string): Int16Array {
    let copies = this.domains.get(failureDomain);
    if (copies === undefined) {
      copies = new Int16Array(this.layers);
      this.domains.set(failureDomain, copies);
    }
    return copies;
  }

  /** Copies of each layer in the fleet. */
  public get all(): Int16Array {
    return this.fleet;
  }

  private change(failureDomain: string, { from, to }: LayerSpan, by: number): void {
    const home = this.home(failureDomain);
    for (let layer = from; layer < to; layer += 1) {
      this.fleet[layer] += by;
      home[layer] += by;
    }
  }
}

/** The first span of layers without a copy; undefined when there is none. */
export function firstGap(copies: Int16Array): LayerSpan | undefined {
  const from = copies.indexOf(0);
  if (from === -1) return undefined;
  let to = from;
  while (to < copies.length && copies[to] === 0) to += 1;
  return { from, to };
}
