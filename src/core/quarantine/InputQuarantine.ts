/**
 * Quarantine of all inputs of requests: of the parts of their prompts, and of whole requests by their
 * fingerprints. Both are judged apart, since nearly every request is new, while most parts have been answered.
 */
import type { Clock } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';
import { PartQuarantine, REQUEST_POLICY } from './PartQuarantine.js';
import { isFingerprint } from './RequestFingerprint.js';
import type {
  CrashEvidence,
  ProbationTurn,
  Quarantine,
  QuarantineChange,
  QuarantinedPart,
} from './Types.js';

/** Inputs by the quarantine that judges them. */
interface SortedInputs {
  readonly parts: readonly string[];
  readonly requests: readonly string[];
}

function sortInputs(inputs: readonly string[]): SortedInputs {
  return {
    parts: inputs.filter((input) => !isFingerprint(input)),
    requests: inputs.filter(isFingerprint),
  };
}

export class InputQuarantine implements Quarantine {
  private readonly parts: PartQuarantine;

  private readonly requests: PartQuarantine;

  private readonly newCrashes = new Emitter<undefined>();

  private readonly changes = new Emitter<QuarantineChange>();

  public readonly onCrash = this.newCrashes.event;

  public readonly onChange = this.changes.event;

  /** @param turn - returns the current place of this instance among all */
  public constructor(clock: Clock, turn: () => ProbationTurn) {
    this.parts = new PartQuarantine(clock, turn);
    this.requests = new PartQuarantine(clock, turn, REQUEST_POLICY);
    for (const quarantine of [this.parts, this.requests]) {
      quarantine.onCrash(() => this.newCrashes.fire(undefined));
      quarantine.onChange((change) => this.changes.fire(change));
    }
  }

  public get size(): number {
    return this.parts.size + this.requests.size;
  }

  public recordCrash(server: string, incarnation: number, inputs: readonly string[]): void {
    const { parts, requests } = sortInputs(inputs);
    this.parts.recordCrash(server, incarnation, parts);
    this.requests.recordCrash(server, incarnation, requests);
  }

  public recordAnswer(inputs: readonly string[]): void {
    const { parts, requests } = sortInputs(inputs);
    this.parts.recordAnswer(parts);
    this.requests.recordAnswer(requests);
  }

  public refuse(inputs: readonly string[]): QuarantinedPart | undefined {
    const { parts, requests } = sortInputs(inputs);
    return this.parts.refuse(parts) ?? this.requests.refuse(requests);
  }

  public find(inputs: readonly string[]): QuarantinedPart[] {
    if (this.size === 0) return [];
    const { parts, requests } = sortInputs(inputs);
    return [...this.parts.find(parts), ...this.requests.find(requests)];
  }

  public evidence(): CrashEvidence | undefined {
    const ofParts = this.parts.evidence();
    const ofRequests = this.requests.evidence();
    if (ofParts === undefined || ofRequests === undefined) return ofParts ?? ofRequests;
    return {
      crashes: [...ofParts.crashes, ...ofRequests.crashes],
      answers: [...ofParts.answers, ...ofRequests.answers],
    };
  }

  public merge({ crashes, answers }: CrashEvidence, source: string): void {
    const ofParts = {
      crashes: [...crashes],
      answers: answers.filter(({ part }) => !isFingerprint(part)),
    };
    const ofRequests = {
      crashes: [...crashes],
      answers: answers.filter(({ part }) => isFingerprint(part)),
    };
    for (const [index, crash] of crashes.entries()) {
      const { parts, requests } = sortInputs(crash.parts);
      ofParts.crashes[index] = { ...crash, parts };
      ofRequests.crashes[index] = { ...crash, parts: requests };
    }
    this.parts.merge(ofParts, source);
    this.requests.merge(ofRequests, source);
  }
}
