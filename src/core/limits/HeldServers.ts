/**
 * Holds this instance's work back from servers that turned a request away and asked for a pause.
 *
 * Load pattern: a server in need turns away a burst, all requests that are on their way to it, each with a pause
 * of its own. The longest one counts from then on; the work goes to the other servers at once and nothing
 * queues here. When the pause ends, the server gets its share again, bounded by what it has in progress.
 *
 * A pause is between one instance and one process of a server: peers are not told, and a new process is free.
 */
import type { Clock } from '../../ports/Types.js';
import { ServerRole } from '../routing/Types.js';
import type { ServerProcess } from './ServerLimits.js';

/**
 * Longest pause that is kept to, in milliseconds. A server that states a longer one is asked again after this
 * time, so that a spoilt header does not take a working server out of use for good.
 */
export const MAX_HOLD_MS = 300_000;

/** Least extension that is reported, in milliseconds: the answers of a burst differ by little. */
const REPORTED_EXTENSION_MS = 100;

/** The pause that a server asked for. */
export interface Hold {
  readonly incarnation: number;
  /** Time of the first answer that asked for it, on the clock. */
  readonly since: number;
  /** Time until which the server may not receive requests, on the clock. */
  firstUntil: number;
  /** Time until which no route may pass through the server either, on the clock. */
  laterUntil: number;
}

/** A pause that began, or was extended. */
export interface HoldChange {
  readonly server: string;
  /** `Later` if no route may pass through the server either. */
  readonly role: ServerRole;
  /** Time since its beginning, in milliseconds. */
  readonly sinceMs: number;
  /** Time left, in milliseconds. */
  readonly forMs: number;
}

export class HeldServers {
  private readonly holds = new Map<string, Hold>();

  public constructor(private readonly clock: Clock) {}

  /**
   * Holds work back from a process, if not already for longer.
   * @param role - `First` if the server may not receive requests; `Later` if no route may pass through it either
   * @param forMs - pause that the server stated, in milliseconds; 0 or less changes nothing
   * @returns the pause if it began or became notably longer
   */
  public hold(
    { id, incarnation }: ServerProcess,
    role: ServerRole,
    forMs: number,
  ): HoldChange | undefined {
    if (forMs <= 0) return undefined;
    const now = this.clock.now();
    const known = this.holds.get(id);
    // An answer that was on its way when the process ended says nothing of the new one.
    if (known !== undefined && incarnation < known.incarnation) return undefined;
    const isSame = known?.incarnation === incarnation && lastUntil(known) > now;
    const hold = isSame
      ? known
      : { incarnation, since: now, firstUntil: -Infinity, laterUntil: -Infinity };
    this.holds.set(id, hold);
    const until = now + Math.min(forMs, MAX_HOLD_MS);
    const before = role === ServerRole.Later ? hold.laterUntil : hold.firstUntil;
    hold.firstUntil = Math.max(hold.firstUntil, until);
    if (role === ServerRole.Later) hold.laterUntil = Math.max(hold.laterUntil, until);
    if (until - before < REPORTED_EXTENSION_MS) return undefined;
    return { server: id, role, sinceMs: now - hold.since, forMs: until - now };
  }

  /**
   * Returns until when a process may not be given work in a role.
   * @returns a time on the clock; in the past, or -Infinity, if it may
   */
  public heldUntil({ id, incarnation }: ServerProcess, role: ServerRole): number {
    const hold = this.holds.get(id);
    if (hold?.incarnation !== incarnation) return -Infinity;
    return role === ServerRole.First ? hold.firstUntil : hold.laterUntil;
  }

  /** Whether a process may not receive requests. */
  public isHeld(process: ServerProcess): boolean {
    return this.heldUntil(process, ServerRole.First) > this.clock.now();
  }

  /** Number of servers whose work is held back; those whose pause has ended are forgotten. */
  public get size(): number {
    const now = this.clock.now();
    for (const [id, hold] of this.holds) if (lastUntil(hold) <= now) this.holds.delete(id);
    return this.holds.size;
  }
}

function lastUntil({ firstUntil, laterUntil }: Hold): number {
  return Math.max(firstUntil, laterUntil);
}
