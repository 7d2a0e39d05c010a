/**
 * Knows which servers take longer than their profile says, by their own reports and by those that peers have
 * heard. A report counts for some seconds; then the server is used again and, if it is still slow, asked again.
 */
import type { Clock } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';

/** A server's slowness as told to a peer. */
export interface SharedSlowness {
  readonly server: string;
  /** Factor by which the server takes longer than its profile says; 1 if it is slow no more. */
  readonly factor: number;
  /** Time since the server reported it, in milliseconds. */
  readonly ageMs: number;
}

/** A server that has become slow, slower, or as fast again as its profile says. */
export interface SlownessChange {
  readonly server: string;
  readonly factor: number;
  /** The peer that told of it; undefined if the server itself did. */
  readonly source: string | undefined;
}

interface ReportedSlowness {
  factor: number;
  reportedAt: number;
}

/** Largest factor that counts; a server that is slower than this is used last in any case. */
const MAX_FACTOR = 20;

/** Smaller factors make no difference to callers and are treated as 1. */
const MIN_FACTOR = 1.2;

/** Time for which a report counts, in milliseconds: slow servers recover within seconds. */
const LIFETIME_MS = 5000;

/** Largest number of reports that a digest tells of; 60 bytes each. Of more, it tells the newest ones. */
const MAX_TOLD = 128;

/**
 * Longest time that a report is on its way to a peer, in milliseconds: the time limit of digests. Reports
 * count as this much older, so that relaying one back and forth never makes it more recent.
 */
const MAX_TRANSIT_MS = 500;

export class ServerSlowness {
  private readonly reports = new Map<string, ReportedSlowness>();

  private readonly changes = new Emitter<SlownessChange>();

  /** Fires when a server's factor changes, other than by the end of a report's lifetime. */
  public readonly onChange = this.changes.event;

  public constructor(private readonly clock: Clock) {}

  /** Number of servers that are known to be slow. */
  public get size(): number {
    return this.list().filter(({ factor }) => factor > 1).length;
  }

  /** Returns the factor by which a server takes longer than its profile says, from 1 to `MAX_FACTOR`. */
  public factor(server: string): number {
    if (this.reports.size === 0) return 1;
    const report = this.reports.get(server);
    if (report === undefined || this.clock.now() - report.reportedAt > LIFETIME_MS) return 1;
    return report.factor;
  }

  /** Records what a server itself reported. */
  public record(server: string, factor: number): void {
    this.apply(server, factor, this.clock.now(), undefined);
  }

  /** Returns the newest reports for peers; a factor of 1 is told as long as a peer may know an older one. */
  public listForPeers(): SharedSlowness[] {
    const list = this.list();
    if (list.length <= MAX_TOLD) return list;
    return list.sort((a, b) => a.ageMs - b.ageMs).slice(0, MAX_TOLD);
  }

  /** Returns the reports that count. */
  public list(): SharedSlowness[] {
    const now = this.clock.now();
    const list: SharedSlowness[] = [];
    for (const [server, { factor, reportedAt }] of this.reports) {
      if (now - reportedAt > LIFETIME_MS) this.reports.delete(server);
      else list.push({ server, factor, ageMs: Math.round(now - reportedAt) });
    }
    return list;
  }

  /**
   * Adds the reports that a peer has heard.
   * @param source - name of the peer
   */
  public merge(reports: readonly SharedSlowness[], source: string): void {
    const now = this.clock.now();
    for (const { server, factor, ageMs } of reports)
      this.apply(server, factor, now - ageMs - MAX_TRANSIT_MS, source);
  }

  private apply(
    server: string,
    reported: number,
    reportedAt: number,
    source: string | undefined,
  ): void {
    const factor = reported < MIN_FACTOR ? 1 : Math.min(MAX_FACTOR, reported);
    const known = this.reports.get(server);
    if (known === undefined && factor === 1) return;
    if (known !== undefined && reportedAt <= known.reportedAt) return;
    if (this.clock.now() - reportedAt > LIFETIME_MS) return;
    const before = this.factor(server);
    this.reports.set(server, { factor, reportedAt });
    if (factor !== before) this.changes.fire({ server, factor, source });
  }
}
