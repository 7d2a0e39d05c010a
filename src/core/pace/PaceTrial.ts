import type { PacedServer } from './PacedServer.js';

/** A paced server as it was when a request was sent to it. */
export interface TriedServer {
  readonly paced: PacedServer;
  readonly incarnation: number;
  readonly generation: number;
  /** Requests of this instance in progress there, with the one sent. */
  readonly ownRequests: number;
  /** The same of all instances, as far as known. */
  readonly inProgress: number;
}

/** One send of a request, whose answer tells how its servers carry their work. */
export interface PaceTrial {
  readonly service: string;
  readonly sentAt: number;
  /** Paced servers of the route. */
  readonly servers: readonly TriedServer[];
  /** Number of all servers of the route. */
  readonly stages: number;
  /** Time that the answer should take, in milliseconds; undefined if it is not known. */
  readonly expectedMs: number | undefined;
}

/** Whether what a server does now can be due to the window that held when the request was sent. */
export function isCurrent({ paced, incarnation, generation }: TriedServer): boolean {
  return paced.isPaced && paced.incarnation === incarnation && paced.generation === generation;
}
