/**
 * Bounds the connections that a listener keeps.
 *
 * Answers the load pattern of crowds that connect and then send nothing, stop inside a message, do not take their
 * answers, or move a byte now and then. Connections that move on, and those whose requests wait for this process,
 * are never the ones that end; if there are no others, the newcomer is turned away.
 */
import type { Clock, Disposable } from '../../ports/Types.js';

/** Time for which a connection may move less than `PROGRESS_BYTES` and still moves on, in milliseconds. */
const DEFAULT_STALLED_MS = 1000;

/** Bytes within that time that count as moving on. */
const PROGRESS_BYTES = 128;

/** Fraction of the limit that is freed at once, so that a crowd of newcomers does not cost a search for each. */
const FREED_FRACTION = 0.05;

/** Time without another search after one that found nothing, in milliseconds: newcomers may come in thousands. */
const SEARCH_PAUSE_MS = 50;

/** What a connection is doing; the order of the values is the order in which connections end. */
export enum ConnectionPhase {
  /** A message has begun, or none ever came. */
  Unfinished = 0,
  /** Between two requests. */
  Idle = 1,
  /** A complete request waits for this process. */
  Awaited = 2,
}

/** The owner of one connection. */
export interface ConnectionHolder {
  /** Address of the other end, without its port. */
  readonly peer: string;
  /** Bytes that the connection has moved so far, in both directions. */
  readonly movedBytes: number;
  readonly phase: ConnectionPhase;
  /** Ends the connection, because the limit is reached. */
  onEvict(): void;
}

interface OpenConnection {
  readonly holder: ConnectionHolder;
  /** Value of `movedBytes` when the connection last moved on. */
  markBytes: number;
  markedAt: number;
}

/** A connection that may end, with what decides the order. */
interface Candidate {
  readonly connection: OpenConnection;
  readonly isOverShare: boolean;
  readonly phase: ConnectionPhase;
}

/** Orders candidates: those of peers beyond their share first, then by phase, then by the time without progress. */
function compareCandidates(left: Candidate, right: Candidate): number {
  if (left.isOverShare !== right.isOverShare) return left.isOverShare ? -1 : 1;
  if (left.phase !== right.phase) return left.phase - right.phase;
  return left.connection.markedAt - right.connection.markedAt;
}

export class ConnectionBudget {
  private readonly connections = new Set<OpenConnection>();

  private searchAgainAt = -Infinity;

  private evictedCount = 0;

  private rejectedCount = 0;

  /**
   * @param limit - connections that may be open at the same time
   * @param stalledMs - time without progress after which a connection may end, in milliseconds
   */
  public constructor(
    private readonly clock: Clock,
    public readonly limit: number,
    private readonly stalledMs = DEFAULT_STALLED_MS,
  ) {}

  public get size(): number {
    return this.connections.size;
  }

  /** Number of connections that ended to make room for others. */
  public get evictions(): number {
    return this.evictedCount;
  }

  /** Number of newcomers that were turned away. */
  public get rejections(): number {
    return this.rejectedCount;
  }

  /**
   * Counts a new connection, after ending others if the limit is reached.
   * @param holder - owner of the connection
   * @returns the count, to be disposed of when the connection closes; undefined if there is no room for it
   */
  public open(holder: ConnectionHolder): Disposable | undefined {
    if (this.connections.size >= this.limit) this.makeRoom();
    if (this.connections.size >= this.limit) {
      this.rejectedCount += 1;
      return undefined;
    }
    const connection = { holder, markBytes: holder.movedBytes, markedAt: this.clock.now() };
    this.connections.add(connection);
    return { dispose: () => this.connections.delete(connection) };
  }

  private makeRoom(): void {
    const now = this.clock.now();
    if (now < this.searchAgainAt) return;
    const count = Math.max(1, Math.floor(this.limit * FREED_FRACTION));
    const candidates = this.findCandidates();
    if (candidates.length === 0) this.searchAgainAt = now + SEARCH_PAUSE_MS;
    for (const { connection } of candidates.slice(0, count)) {
      this.connections.delete(connection);
      this.evictedCount += 1;
      connection.holder.onEvict();
    }
  }

  private findCandidates(): Candidate[] {
    const perPeer = this.countByPeer();
    const fairShare = this.limit / perPeer.size;
    const candidates: Candidate[] = [];
    for (const connection of this.connections) {
      const { phase, peer } = connection.holder;
      if (phase === ConnectionPhase.Awaited || this.isMovingOn(connection)) continue;
      const isOverShare = (perPeer.get(peer) ?? 0) > fairShare;
      candidates.push({ connection, phase, isOverShare });
    }
    return candidates.sort(compareCandidates);
  }

  private countByPeer(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { holder } of this.connections)
      counts.set(holder.peer, (counts.get(holder.peer) ?? 0) + 1);
    return counts;
  }

  private isMovingOn(connection: OpenConnection): boolean {
    const now = this.clock.now();
    const { movedBytes } = connection.holder;
    if (movedBytes - connection.markBytes >= PROGRESS_BYTES) {
      connection.markBytes = movedBytes;
      connection.markedAt = now;
    }
    return now - connection.markedAt < this.stalledMs;
  }
}
