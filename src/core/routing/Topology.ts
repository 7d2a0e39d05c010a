import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind } from '../tickets/Types.js';
import type { Candidate } from './Types.js';

function isEqual(a: Candidate, b: Candidate): boolean {
  return (
    a.server === b.server &&
    a.address === b.address &&
    a.failureDomain === b.failureDomain &&
    a.from === b.from &&
    a.to === b.to &&
    a.layerMs === b.layerMs &&
    a.linkMs === b.linkMs
  );
}

function areEqual(a: readonly Candidate[], b: readonly Candidate[]): boolean {
  return a.length === b.length && a.every((candidate, index) => isEqual(candidate, b[index]));
}

/** Keeps the candidates of each pipeline and rebuilds them when the configuration changes. */
export class Topology {
  private candidates = new Map<string, Candidate[]>();

  private ticketNumber = -1;

  public constructor(private readonly configuration: Configuration) {}

  /** Servers that hold layers of a pipeline. */
  public candidatesFor(pipeline: string): readonly Candidate[] {
    if (this.ticketNumber !== this.configuration.ticketNumber) this.rebuild();
    return this.candidates.get(pipeline) ?? [];
  }

  /** Rebuilds the lists. An unchanged list stays the same object, so that callers can detect it. */
  private rebuild(): void {
    this.ticketNumber = this.configuration.ticketNumber;
    const previous = this.candidates;
    this.candidates = this.collect();
    for (const [pipeline, list] of this.candidates) {
      const previousList = previous.get(pipeline);
      if (previousList !== undefined && areEqual(previousList, list))
        this.candidates.set(pipeline, previousList);
    }
  }

  private collect(): Map<string, Candidate[]> {
    const candidates = new Map<string, Candidate[]>();
    for (const object of this.configuration.list(ObjectKind.BackendServer)) {
      for (const range of object.state.layerRanges) {
        const pipeline = this.configuration.state(ObjectKind.Pipeline, range.pipeline);
        const layerMs = pipeline?.layerMs[object.state.accelerator];
        if (pipeline === undefined || layerMs === undefined || range.to > pipeline.layers) continue;
        const list = candidates.get(range.pipeline) ?? [];
        const { address, failureDomain, linkMs } = object.state;
        list.push({
          server: object.name,
          address,
          failureDomain,
          from: range.from,
          to: range.to,
          layerMs,
          linkMs,
        });
        candidates.set(range.pipeline, list);
      }
    }
    return candidates;
  }
}
