/** The pace of servers that have just started or come back, as the parts of the router see it. */

/** Why a server is paced. */
export enum PaceCause {
  /** It appeared while this instance had requests to serve. */
  Started = 'started',
  /** A new process runs under its id. */
  Restarted = 'restarted',
  /** It holds layers that it did not hold before. */
  Refilled = 'refilled',
  /** It was suspected and has been found sound. */
  Recovered = 'recovered',
}

/** Why a pace changed. */
export enum PaceReason {
  Begun = 'begun',
  /** Answers came in about the time that the work takes. */
  SoundAnswers = 'sound-answers',
  /** It rejected a request within its pace. */
  Rejected = 'rejected',
  /** Several first events in a row came far later than the work explains. */
  SlowAnswers = 'slow-answers',
  /** A peer knew more. */
  Peer = 'peer',
  /** It carries its ordinary share. */
  Complete = 'complete',
  /** It is leaving. */
  Leaving = 'leaving',
}

/** A change of a server's pace. */
export interface PaceChange {
  readonly server: string;
  readonly cause: PaceCause;
  readonly reason: PaceReason;
  /** Requests in progress that all instances together may have there; Infinity once the pace has ended. */
  readonly window: number;
  /** The same before the change. */
  readonly before: number;
  /** The peer that told of it; undefined if this instance decided. */
  readonly source: string | undefined;
}

/** A server's pace as told to peers. */
export interface SharedPace {
  readonly server: string;
  readonly incarnation: number;
  /** Grows whenever the window begins anew or shrinks; the higher one replaces the lower. */
  readonly generation: number;
  /** Requests in progress over all instances; within a generation it only grows. 0 once the pace has ended. */
  readonly window: number;
  readonly cause: PaceCause;
  /** Present once the server carries its ordinary share. */
  readonly isEnded?: true;
}

/** The place of an instance by name among all known ones. */
export interface InstanceTurn {
  /** Position of this instance, from 0. */
  readonly rank: number;
  readonly instances: number;
}

/** Tells whether a server may get another request now. */
export interface PaceLimit {
  allows(server: string): boolean;
}

/** For choices without paced servers. */
export const UNPACED: PaceLimit = { allows: () => true };
