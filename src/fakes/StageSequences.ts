/** State that a fake server keeps per request: its KV cache and the tokens it ran. */
import type { Stage } from '../core/routing/Types.js';
import { EngineFailureKind, type StreamOpening } from '../core/streams/Types.js';
import { holdsAllRanges } from '../core/placement/OrderDriver.js';
import type { LayerRange } from '../core/tickets/Types.js';

/** One request on one server. */
export interface Sequence {
  epoch: number;
  readonly from: number;
  readonly to: number;
  /** Number of answer tokens in the KV cache; -1 if the prompt is not cached either. */
  cachedPositions: number;
  /** Epoch under which each token's layers ran here. */
  readonly epochByToken: Map<number, number>;
}

/** Positions that must be computed before a stream can continue. */
export interface MissingPositions {
  readonly prompt: boolean;
  readonly answerTokens: number;
}

export class StageSequences {
  /** Number of times that a token ran the same layers twice under one epoch. */
  public repeatedLayerRuns = 0;

  public leaving = false;

  /** Layers in memory; undefined when every layer counts as loaded. */
  public loaded: readonly LayerRange[] | undefined;

  private readonly sequences = new Map<string, Sequence>();

  public get size(): number {
    return this.sequences.size;
  }

  public has(request: string): boolean {
    return this.sequences.has(request);
  }

  /** Drops all sequences, as a restart does. */
  public clear(): void {
    this.sequences.clear();
  }

  /** Admits a request's stage; returns its sequence, or the reason why it is rejected. */
  public admit(opening: StreamOpening, stage: Stage): Sequence | EngineFailureKind {
    const known = this.sequences.get(opening.request);
    if (known !== undefined && known.epoch > opening.epoch) return EngineFailureKind.StaleEpoch;
    if (this.leaving && known === undefined) return EngineFailureKind.Leaving;
    const range = { pipeline: opening.pipeline, from: stage.from, to: stage.to };
    if (this.loaded !== undefined && !holdsAllRanges(this.loaded, [range]))
      return EngineFailureKind.Loading;
    if (known !== undefined && known.from === stage.from && known.to === stage.to) {
      known.epoch = opening.epoch;
      return known;
    }
    const sequence: Sequence = {
      epoch: opening.epoch,
      from: stage.from,
      to: stage.to,
      cachedPositions: -1,
      epochByToken: new Map(),
    };
    this.sequences.set(opening.request, sequence);
    return sequence;
  }

  /** Returns what must be computed of the positions before `resumeAt`, and records them as cached. */
  public prefill(sequence: Sequence, resumeAt: number): MissingPositions {
    const missing = {
      prompt: sequence.cachedPositions < 0,
      answerTokens: Math.max(0, resumeAt - Math.max(0, sequence.cachedPositions)),
    };
    sequence.cachedPositions = Math.max(sequence.cachedPositions, resumeAt);
    return missing;
  }

  /**
   * Runs a token's layers unless they ran under an earlier epoch; the output of that run is then reused. A
   * second run under the same epoch is counted in `repeatedLayerRuns`.
   * @returns the epoch under which they ran
   */
  public run(sequence: Sequence, index: number, epoch: number): number {
    const ranAt = sequence.epochByToken.get(index);
    if (ranAt === epoch) this.repeatedLayerRuns += 1;
    if (ranAt !== undefined) return ranAt;
    sequence.epochByToken.set(index, epoch);
    sequence.cachedPositions = index + 1;
    return epoch;
  }

  /** Drops the sequence of a request unless a later epoch uses it. */
  public forget(request: string, epoch: number): void {
    const sequence = this.sequences.get(request);
    if (sequence !== undefined && sequence.epoch <= epoch) this.sequences.delete(request);
  }
}
