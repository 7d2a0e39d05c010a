/** Why a server gets no new work. */
export enum ServerMark {
  Suspect = 'suspect',
  Leaving = 'leaving',
  /** The server has not loaded the layers that the tickets ask for. */
  Loading = 'loading',
  /** The server or its link is much slower than the others. */
  Degraded = 'degraded',
}

interface MarkEntry {
  readonly mark: ServerMark;
  readonly until: number;
}

/** A suspicion lapses after this time unless renewed, in milliseconds. */
export const SUSPECT_LIFETIME_MS = 10_000;

/** A leaving mark heard from a list, a peer or the server lapses after this time, in milliseconds. */
export const LEAVING_LIFETIME_MS = 60_000;

/** A loading mark lapses after this time unless a prober renews it, in milliseconds. */
const LOADING_LIFETIME_MS = 3000;

/** A degraded mark lapses after this time unless a prober renews it, in milliseconds. */
const DEGRADED_LIFETIME_MS = 10_000;

const LIFETIME_MS: Readonly<Record<ServerMark, number>> = {
  [ServerMark.Suspect]: SUSPECT_LIFETIME_MS,
  [ServerMark.Leaving]: LEAVING_LIFETIME_MS,
  [ServerMark.Loading]: LOADING_LIFETIME_MS,
  [ServerMark.Degraded]: DEGRADED_LIFETIME_MS,
};

/** Marks on servers that were heard of outside the tickets: suspects and leavers. */
export class ServerHealth {
  private readonly marks = new Map<string, MarkEntry>();

  private readonly listeners = new Set<(server: string, mark: ServerMark) => void>();

  /** Calls `listener` on each new mark. */
  public onMark(listener: (server: string, mark: ServerMark) => void): { dispose(): void } {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /**
   * Marks a server.
   * @param remainingMs - how long the mark lasts; a peer's mark lasts what is left of it
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

  /** Takes a mark back. A leaving mark is never taken back: it lapses. */
  public clear(server: string, mark: Exclude<ServerMark, ServerMark.Leaving>): void {
    if (this.marks.get(server)?.mark === mark) this.marks.delete(server);
  }

  /** The mark in force on a server. */
  public markOf(server: string, now: number): ServerMark | undefined {
    return this.current(server, now)?.mark;
  }

  /** Every mark in force, with the time left in milliseconds. */
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
