/** Divides a server's window among the instances. */
import type { InstanceTurn } from './Types.js';

/** Longest time until all instances know of a request that one of them sent, in milliseconds: three digests. */
export const REPORT_LAG_MS = 750;

/**
 * Largest multiple of a window that is given out as seats while instances leave theirs unused: three doublings.
 * Without a bound, a burst after idle time would be a flood.
 */
const MAX_LENDING = 8;

/** What the seats of an instance depend on. */
export interface SeatQuery {
  /** Requests in progress that all instances together may have. */
  readonly window: number;
  /** Requests in progress of all instances, as far as known. */
  readonly inProgress: number;
  /** Time since the window last changed by more than a step, in milliseconds. */
  readonly ageMs: number;
  /** Clock time, in milliseconds. */
  readonly now: number;
  readonly turn: InstanceTurn;
  /** Differs by server, so that the first seats of all servers are not at the same instances. */
  readonly offset: number;
}

/** Time after which the place of this instance is looked up again, in milliseconds: the interval of digests. */
const TURN_LIFETIME_MS = 250;

/** The place of this instance, which is costly to look up in a large fleet. */
export class CurrentTurn {
  private turn: InstanceTurn | undefined;

  private readAt = -Infinity;

  /** @param read - returns the place of this instance among all known ones */
  public constructor(private readonly read: () => InstanceTurn) {}

  /** @param now - clock time, in milliseconds */
  public at(now: number): InstanceTurn {
    if (this.turn === undefined || now - this.readAt >= TURN_LIFETIME_MS) {
      this.turn = this.read();
      this.readAt = now;
    }
    return this.turn;
  }
}

/** Returns a number by which a server's seats begin at another instance than those of the next server. */
export function seatOffset(server: string): number {
  let hash = 0;
  for (const character of server) hash = (hash * 31 + character.charCodeAt(0)) % 65_521;
  return hash;
}

/**
 * Returns the requests that this instance may have in progress at a server. The seats of all instances add up to
 * the window. Seats that stay unused are lent as the window ages, and they move on from instance to instance,
 * so that a window smaller than the number of instances reaches those that have requests.
 */
export function seatsOf({ window, inProgress, ageMs, now, turn, offset }: SeatQuery): number {
  const { rank, instances } = turn;
  const unused = Math.max(0, 1 - inProgress / window);
  const lending = 1 + (ageMs / REPORT_LAG_MS) * unused;
  const lent = Math.floor(window * Math.min(MAX_LENDING, lending));
  const moved = Math.floor(now / REPORT_LAG_MS) * lent;
  return Math.floor((lent + ((rank + offset + moved) % instances)) / instances);
}
