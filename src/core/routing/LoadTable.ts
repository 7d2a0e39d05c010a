import type { Stage } from './Types.js';

interface ServerLoad {
  /** Busy time by this instance's streams in progress, in milliseconds a token. */
  own: number;
  /** Own busy time when the last report was taken. */
  ownAtReport: number;
  reported: number;
  reportedAt: number;
}

interface PeerLoad {
  readonly at: number;
  readonly busyMs: ReadonlyMap<string, number>;
}

/** Reports older than this count for nothing, in milliseconds. */
const REPORT_LIFETIME_MS = 5000;

/**
 * Estimates each server's load from three late sources: its own reports, this instance's streams and
 * what peers say of theirs.
 */
export class LoadTable {
  private readonly servers = new Map<string, ServerLoad>();

  private readonly peers = new Map<string, PeerLoad>();

  /** Adds the busy time of a stage that this instance starts. */
  public begin(stage: Stage, layerMs: number): void {
    this.entry(stage.server).own += (stage.to - stage.from) * layerMs;
  }

  /** Takes back what `begin` added. */
  public end(stage: Stage, layerMs: number): void {
    const load = this.entry(stage.server);
    load.own = Math.max(0, load.own - (stage.to - stage.from) * layerMs);
  }

  /** Takes a server's own report. */
  public report(server: string, busyMs: number, now: number): void {
    const load = this.entry(server);
    load.reported = busyMs;
    load.reportedAt = now;
    load.ownAtReport = load.own;
  }

  /** Takes a peer's whole account of its streams in progress. */
  public hear(peer: string, busyMs: ReadonlyMap<string, number>, now: number): void {
    this.peers.set(peer, { at: now, busyMs });
  }

  /** Forgets a peer. */
  public forget(peer: string): void {
    this.peers.delete(peer);
  }

  /** This instance's busy time by server, for its peers. */
  public own(): Map<string, number> {
    const own = new Map<string, number>();
    for (const [server, load] of this.servers) {
      if (load.own > 0) own.set(server, load.own);
    }
    return own;
  }

  /** Estimated busy time that a server adds to each token, in milliseconds. */
  public busyMs(server: string, now: number): number {
    const load = this.servers.get(server);
    let known = load?.own ?? 0;
    for (const peer of this.peers.values()) {
      if (now - peer.at <= REPORT_LIFETIME_MS) known += peer.busyMs.get(server) ?? 0;
    }
    if (load === undefined || now - load.reportedAt > REPORT_LIFETIME_MS) return known;
    return Math.max(known, load.reported + load.own - load.ownAtReport);
  }

  private entry(server: string): ServerLoad {
    let load = this.servers.get(server);
    if (load === undefined) {
      load = { own: 0, ownAtReport: 0, reported: 0, reportedAt: -Infinity };
      this.servers.set(server, load);
    }
    return load;
  }
}
