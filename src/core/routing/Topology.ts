import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind } from '../tickets/Types.js';
import type { Candidate } from './Types.js';

/** Candidates of each pipeline, rebuilt when the configuration changes. */
export class Topology {
  private candidates = new Map<string, Candidate[]>();

  private number = -1;

  public constructor(private readonly configuration: Configuration) {}

  /** Servers that hold layers of a pipeline. */
  public of(pipeline: string): readonly Candidate[] {
    if (this.number !== this.configuration.number) this.rebuild();
    return this.candidates.get(pipeline) ?? [];
  }

  private rebuild(): void {
    this.number = this.configuration.number;
    this.candidates = new Map();
    for (const object of this.configuration.list(ObjectKind.BackendServer)) {
      for (const range of object.state.layerRanges) {
        const pipeline = this.configuration.state(ObjectKind.Pipeline, range.pipeline);
        const layerMs = pipeline?.layerMs[object.state.accelerator];
        if (pipeline === undefined || layerMs === undefined || range.to > pipeline.layers) continue;
        const list = this.candidates.get(range.pipeline) ?? [];
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
        this.candidates.set(range.pipeline, list);
      }
    }
  }
}
