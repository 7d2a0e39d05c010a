/** Why a server gets no new work. */
export enum ServerMark {
  Suspect = 'suspect',
  Leaving = 'leaving',
  /** The server has not loaded the layers that the tickets require. */
  Loading = 'loading',
  /** The server is much slower than expected. */
  Degraded = 'degraded',
}

interface MarkEntry {
  readonly mark: ServerMark;
  readonly until: number;
}

/** A suspect mark expires after this time unless it is renewed, in milliseconds. */
export const SUSPECT_LIFETIME_MS = 10_000;

/** A leaving mark, which the server or a peer reported, expires after this time, in milliseconds. */
export const LEAVING_LIFETIME_MS = 60_000;

/** A loading mark expires after this time unless a prober renews it, in milliseconds. */
const LOADING_LIFETIME_MS = 3000;

/** A degraded mark expires after this time unless a prober renews it, in milliseconds. */
const DEGRADED_LIFETIME_MS = 10_000;

const LIFETIME_MS: Readonly<Record<ServerMark, number>> = {
  [ServerMark.Suspect]: SUSPECT_LIFETIME_MS,
  [ServerMark.Leaving]: LEAVING_LIFETIME_MS,
  [ServerMark.Loading]: LOADING_LIFETIME_MS,
  [ServerMark.Degraded]: DEGRADED_LIFETIME_MS,
};

/** Marks on servers from sources other than tickets: probes, peers and failed requests. */
export class ServerHealth {
  private readonly marks = new Map<string, MarkEntry>();

  /** Time at which a server was last seen to deserve no such mark, by server and mark. */
  private readonly clearedAt = new Map<string, number>();

  private readonly listeners = new Set<(server: string, mark: ServerMark) => void>();

  /** Calls `listener` on each new mark. */
  public onMark(listener: (server: string, mark: ServerMark) => void): { dispose(): void } {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /**
   * Marks a server. A leaving mark is not replaced by another mark.
   * @param remainingMs - duration of the mark, in milliseconds
   */
  public mark(
    server: string,
    mark: ServerMark,
    now: number,
    remainingMs = LIFETIME_MS[mark],
  ): void {
    const current = this.current(server, now);
    if (current?.mark === ServerMark.Leaving && mark !== ServerMark.Leaving) return;
    const until = now + Math.min(remainingMs, LIFETIME_MS[mark]);
    if (current?.mark === mark && current.until >= until) return;
    this.marks.set(server, { mark, until });
    if (current?.mark === mark) return;
    for (const listener of this.listeners) listener(server, mark);
  }

  /**
   * Adopts a mark from a peer, unless this instance has seen since then that the server does not deserve it.
   * @param remainingMs - what remains of the mark, in milliseconds
   */
  public adopt(server: string, mark: ServerMark, now: number, remainingMs: number): void {
    const setAt = now + remainingMs - LIFETIME_MS[mark];
    if (setAt < (this.clearedAt.get(`${server}/${mark}`) ?? -Infinity)) return;
    this.mark(server, mark, now, remainingMs);
  }

  /** Removes a mark. A leaving mark cannot be removed; it only expires. */
  public clear(server: string, mark: Exclude<ServerMark, ServerMark.Leaving>, now: number): void {
    this.clearedAt.set(`${server}/${mark}`, now);
    if (this.marks.get(server)?.mark === mark) this.marks.delete(server);
  }

  /** Returns the active mark of a server. */
  public markOf(server: string, now: number): ServerMark | undefined {
    return this.current(server, now)?.mark;
  }

  /** Returns every active mark, with its remaining time in milliseconds. */
  public list(now: number): { server: string; mark: ServerMark; remainingMs: number }[] {
    const found = [];
    for (const [server, entry] of this.marks) {
      if (entry.until <= now) this.marks.delete(server);
      else found.push({ server, mark: entry.mark, remainingMs: entry.until - now });
    }
    return found;
  }

  private current(server: string, now: number): MarkEntry | undefined {
    const entry = this.marks.get(server);
    return entry !== undefined && entry.until > now ? entry : undefined;
  }
}
