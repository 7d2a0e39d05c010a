/** What instances know about parts of requests under which servers crash, and tell each other. */
import type { Disposable } from '../../ports/Types.js';

/** A crash of one process of a server, with parts of the requests that it had not begun to answer. */
export interface SharedCrash {
  readonly server: string;
  /** Incarnation of the process that ended. */
  readonly incarnation: number;
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
  readonly parts: readonly string[];
}

/** The last time at which a server answered a request with a part. */
export interface SharedAnswer {
  readonly part: string;
  /** Time since the answer, in milliseconds. */
  readonly ageMs: number;
}

/** Evidence of one instance. Evidence can be merged in any order and any number of times. */
export interface CrashEvidence {
  readonly crashes: readonly SharedCrash[];
  /** Answers to requests with parts that `crashes` names. */
  readonly answers: readonly SharedAnswer[];
}

/** Why requests with a part are not sent to servers. */
export interface QuarantinedPart {
  readonly part: string;
  /** Crashes that the part is blamed for; those at the same moment count once. */
  readonly crashes: number;
  /** Clock time of the last of them, in milliseconds. */
  readonly lastCrashAt: number;
  /** Clock time from which single requests may try the part again, in milliseconds. */
  readonly heldUntil: number;
}

/** A change of what is quarantined. */
export interface QuarantineChange {
  readonly quarantined: QuarantinedPart;
  /** Whether the part is quarantined from now on, or for longer; otherwise it is released. */
  readonly isHeld: boolean;
  /** The peer whose evidence led to the change; undefined if it was this instance's own. */
  readonly source: string | undefined;
}

/** The place of an instance in the order in which instances try a quarantined part again. */
export interface ProbationTurn {
  /** Position of this instance, from 0. */
  readonly rank: number;
  /** Number of instances in the order. */
  readonly instances: number;
}

/** Decides which requests may be sent to servers, after crashes that their inputs seem to cause. */
export interface Quarantine {
  /** Fires when a crash becomes known, here or from a peer. */
  readonly onCrash: (listener: () => void) => Disposable;
  /** Fires when an input is quarantined, when it is held for longer, and when it is released. */
  readonly onChange: (listener: (change: QuarantineChange) => void) => Disposable;
  /** Number of quarantined inputs. */
  readonly size: number;
  /** Records that a server's process ended before it began to answer a request with these inputs. */
  recordCrash(server: string, incarnation: number, inputs: readonly string[]): void;
  /** Records that a server answered a request with these inputs. */
  recordAnswer(inputs: readonly string[]): void;
  /**
   * Decides whether a request may be sent to a server. Every send asks this.
   * @returns the input that forbids it; undefined if it may be sent
   */
  refuse(inputs: readonly string[]): QuarantinedPart | undefined;
  /** Finds the inputs of a request that are quarantined. */
  find(inputs: readonly string[]): QuarantinedPart[];
  /** Returns what is known here, for a peer; undefined if nothing is. */
  evidence(): CrashEvidence | undefined;
  /** Adds what a peer knows. */
  merge(evidence: CrashEvidence, source: string): void;
}

/** Tells whether a process listens at an address. */
export interface ListenPort {
  /** @returns false if the connection is refused, or not accepted within `timeoutMs` milliseconds */
  isListening(address: string, timeoutMs: number): Promise<boolean>;
}
