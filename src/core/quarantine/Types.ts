/** What instances know about parts of requests under which servers crash, and tell each other. */

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
