/**
 * Keeps to the request rates that servers name as their limits, over all instances together.
 *
 * Each instance has an even share of a limit. Its allowance for a request arises at the rate of that share and
 * lapses if it is not used for a while; since the instances' allowances arise at different times, a server
 * gets a steady number of requests although no instance asks another before it sends one.
 */
import type { Clock, Random } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';

/** A limit as told to a peer, or the end of one. */
export interface SharedServerLimit {
  readonly server: string;
  readonly incarnation: number;
  /** Requests per second from all instances together; 0 once the server names no limit any more. */
  readonly perSecond: number;
  /** Time since the server named it, in milliseconds. */
  readonly ageMs: number;
}

/** A process of a server. */
export interface ServerProcess {
  readonly id: string;
  readonly incarnation: number;
}

/** A change of a limit. */
export interface ServerLimitChange {
  readonly server: string;
  /** Requests per second; 0 once the server names no limit any more. */
  readonly perSecond: number;
  /** Rate from now on at this instance, in requests per second. */
  readonly ownPerSecond: number;
  /** The peer that told of it; undefined if the server itself did. */
  readonly source: string | undefined;
}

/** Time after which an allowance that is not used lapses, in milliseconds. */
const ALLOWANCE_LIFETIME_MS = 2000;

/** Time after which a limit that no answer repeats is forgotten, in milliseconds. */
const LIMIT_LIFETIME_MS = 30_000;

/**
 * Longest time that a report is on its way to a peer, in milliseconds: the time limit of digests. Reports
 * count as this much older, so that relaying one back and forth never makes it more recent.
 */
const MAX_TRANSIT_MS = 500;

interface Limit {
  readonly server: string;
  readonly incarnation: number;
  perSecond: number;
  namedAt: number;
  /** Allowances that have arisen so far; the fraction is the part of the next one. */
  arisen: number;
  /** Number of the last allowance that was used or passed over. */
  used: number;
  updatedAt: number;
}

export class ServerLimits {
  private readonly limits = new Map<string, Limit>();

  private readonly changes = new Emitter<ServerLimitChange>();

  /** Fires when a limit becomes known, changes or ends. */
  public readonly onChange = this.changes.event;

  /** @param countInstances - returns the number of instances that share each limit */
  public constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly countInstances: () => number,
  ) {}

  /**
   * Records what an answer of a server says of its limit.
   * @param perSecond - requests per second; undefined if the answer names no limit
   */
  public recordAnswer({ id, incarnation }: ServerProcess, perSecond: number | undefined): void {
    if (perSecond === undefined && !this.limits.has(id)) return;
    this.apply(id, incarnation, perSecond ?? 0, this.clock.now(), undefined);
  }

  /** Whether the limit of a server, if it has one, allows another request of this instance. */
  public allows({ id, incarnation }: ServerProcess): boolean {
    const limit = this.current(id, incarnation);
    return limit === undefined || this.nextAllowance(limit) <= limit.arisen;
  }

  /** Whether a server names a limit now. */
  public isLimited({ id, incarnation }: ServerProcess): boolean {
    return this.current(id, incarnation) !== undefined;
  }

  /** Records a request that is sent to a server. */
  public recordSend({ id, incarnation }: ServerProcess): void {
    const limit = this.current(id, incarnation);
    if (limit === undefined) return;
    limit.used = this.nextAllowance(limit);
  }

  /** Number of servers that name a limit. */
  public get size(): number {
    let size = 0;
    for (const { server, incarnation } of this.limits.values())
      if (this.current(server, incarnation) !== undefined) size += 1;
    return size;
  }

  /** Returns the limits known here, and their ends, for a peer. */
  public list(): SharedServerLimit[] {
    const now = this.clock.now();
    const list: SharedServerLimit[] = [];
    for (const [id, { server, incarnation, perSecond, namedAt }] of this.limits) {
      if (now - namedAt > LIMIT_LIFETIME_MS) this.limits.delete(id);
      else list.push({ server, incarnation, perSecond, ageMs: Math.round(now - namedAt) });
    }
    return list;
  }

  /**
   * Adds the limits that a peer knows.
   * @param source - name of the peer
   */
  public merge(limits: readonly SharedServerLimit[], source: string): void {
    const now = this.clock.now();
    for (const { server, incarnation, perSecond, ageMs } of limits)
      this.apply(server, incarnation, perSecond, now - ageMs - MAX_TRANSIT_MS, source);
  }

  private apply(
    server: string,
    incarnation: number,
    perSecond: number,
    namedAt: number,
    source: string | undefined,
  ): void {
    const now = this.clock.now();
    const known = this.limits.get(server);
    if (known !== undefined && incarnation < known.incarnation) return;
    if (known?.incarnation === incarnation) {
      if (namedAt <= known.namedAt) return;
      this.accrue(known, now);
      known.namedAt = namedAt;
      if (known.perSecond === perSecond) return;
      known.perSecond = perSecond;
    } else {
      if (now - namedAt > LIMIT_LIFETIME_MS) return;
      this.limits.set(server, {
        server,
        incarnation,
        perSecond,
        namedAt,
        // Instances learn of a limit at about the same time; their first requests must not coincide.
        arisen: this.random.next(),
        used: 0,
        updatedAt: now,
      });
    }
    const ownPerSecond = perSecond / this.countInstances();
    this.changes.fire({ server, perSecond, ownPerSecond, source });
  }

  /** Returns the limit of a process with its allowances as of now; undefined if it has none. */
  private current(id: string, incarnation: number): Limit | undefined {
    const limit = this.limits.get(id);
    if (limit === undefined || limit.incarnation !== incarnation || limit.perSecond === 0)
      return undefined;
    const now = this.clock.now();
    if (now - limit.namedAt > LIMIT_LIFETIME_MS) return undefined;
    this.accrue(limit, now);
    return limit;
  }

  private accrue(limit: Limit, now: number): void {
    limit.arisen += this.ownRate(limit) * (now - limit.updatedAt);
    limit.updatedAt = now;
  }

  /** Number of the next allowance that can be used, now or later. Those that lapsed are passed over. */
  private nextAllowance(limit: Limit): number {
    const firstValid = Math.ceil(limit.arisen - this.ownRate(limit) * ALLOWANCE_LIFETIME_MS);
    return Math.max(limit.used + 1, firstValid);
  }

  /** Share of this instance, in requests per millisecond. */
  private ownRate({ perSecond }: Limit): number {
    return perSecond / 1000 / this.countInstances();
  }
}
