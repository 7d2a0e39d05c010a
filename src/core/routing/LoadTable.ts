import type { Stage } from './Types.js';

interface LoadEntry {
  /** Busy time by this instance's streams in progress, in milliseconds a token. */
  ownBusyMs: number;
  /** Own busy time when the last report was taken. */
  ownBusyMsAtReport: number;
  reportedBusyMs: number;
  reportedAt: number;
  /** Factor by which the server is busier than its streams suggest. */
  correction: number;
}

interface PeerLoad {
  readonly receivedAt: number;
  readonly busyMs: ReadonlyMap<string, number>;
  /** This instance's own busy time by server when the peer was heard. */
  readonly ownBusyMsAtReceipt: ReadonlyMap<string, number>;
}

/** Reports older than this count for nothing, in milliseconds. */
const REPORT_LIFETIME_MS = 5000;

/** Weight of one report in the mean utilisation. */
const MEAN_SMOOTHING = 0.02;

/** Below this mean utilisation there is no need to correct. */
const MIN_UTILISATION = 0.4;

/** Part of the difference that one report corrects. */
const CORRECTION_GAIN = 0.15;

/** Largest correction either way. */
const MAX_CORRECTION = 2;

function clampCorrection(correction: number): number {
  return Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, correction));
}

/**
 * Estimates each server's load from three late sources: its own reports, this instance's streams and
 * what peers say of theirs.
 */
export class LoadTable {
  private readonly servers = new Map<string, LoadEntry>();

  private meanUtilisation = 0;

  private readonly peers = new Map<string, PeerLoad>();

  /** Adds the busy time of a stage that this instance starts. */
  public addStage(stage: Stage, layerMs: number): void {
    this.entry(stage.server).ownBusyMs += (stage.to - stage.from) * layerMs;
  }

  /** Takes back what `begin` added. */
  public removeStage(stage: Stage, layerMs: number): void {
    const load = this.entry(stage.server);
    load.ownBusyMs = Math.max(0, load.ownBusyMs - (stage.to - stage.from) * layerMs);
  }

  /**
   * Takes a server's own report.
   * @param utilisation - part of the time since its last report in which the server worked
   */
  public applyReport(server: string, busyMs: number, now: number, utilisation?: number): void {
    const load = this.entry(server);
    load.reportedBusyMs = busyMs;
    load.reportedAt = now;
    load.ownBusyMsAtReport = load.ownBusyMs;
    if (utilisation !== undefined) this.updateCorrection(load, utilisation);
  }

  /** Takes a peer's whole account of its streams in progress. */
  public applyPeerLoad(peer: string, busyMs: ReadonlyMap<string, number>, now: number): void {
    this.peers.set(peer, { receivedAt: now, busyMs, ownBusyMsAtReceipt: this.ownBusyMs() });
  }

  /** Corrections from this instance's own reports, for peers that do not probe the servers. */
  public corrections(now: number): Map<string, number> {
    const found = new Map<string, number>();
    for (const [server, { correction, reportedAt }] of this.servers) {
      if (now - reportedAt <= REPORT_LIFETIME_MS && correction !== 1) found.set(server, correction);
    }
    return found;
  }

  /** Takes a peer's correction of a server that this instance has no report of. */
  public applyPeerCorrection(server: string, correction: number, now: number): void {
    const load = this.entry(server);
    if (now - load.reportedAt <= REPORT_LIFETIME_MS) return;
    load.correction = clampCorrection(correction);
  }

  /** Forgets a peer. */
  public removePeer(peer: string): void {
    this.peers.delete(peer);
  }

  /** This instance's busy time by server, for its peers. */
  public ownBusyMs(): Map<string, number> {
    const own = new Map<string, number>();
    for (const [server, load] of this.servers) {
      if (load.ownBusyMs > 0) own.set(server, load.ownBusyMs);
    }
    return own;
  }

  /**
   * Estimated busy time that a server adds to each token, in milliseconds.
   *
   * Peers see the same reports and choose alike, so what this instance has added to a server since it
   * heard a peer, that peer has probably added too. Without this, all of them pile onto the server
   * that looked idle in the last exchange.
   */
  public busyMs(server: string, now: number): number {
    const load = this.servers.get(server);
    const own = load?.ownBusyMs ?? 0;
    let estimate = own;
    for (const peer of this.peers.values()) {
      if (now - peer.receivedAt > REPORT_LIFETIME_MS) continue;
      const addedSince = own - (peer.ownBusyMsAtReceipt.get(server) ?? 0);
      estimate += Math.max(0, (peer.busyMs.get(server) ?? 0) + addedSince);
    }
    if (load === undefined) return estimate;
    if (now - load.reportedAt > REPORT_LIFETIME_MS) return estimate * load.correction;
    const busyMs =
      this.peers.size > 0
        ? estimate
        : Math.max(estimate, load.reportedBusyMs + own - load.ownBusyMsAtReport);
    return busyMs * load.correction;
  }

  /**
   * Streams on slow servers come round less often, so equal busy times do not mean equal work. The
   * correction drifts until all servers that report work the same part of their time.
   */
  private updateCorrection(load: LoadEntry, utilisation: number): void {
    this.meanUtilisation += MEAN_SMOOTHING * (utilisation - this.meanUtilisation);
    const relative =
      this.meanUtilisation > MIN_UTILISATION ? utilisation / this.meanUtilisation : 1;
    const target = this.meanUtilisation > MIN_UTILISATION ? load.correction * relative : 1;
    const smoothed = load.correction + CORRECTION_GAIN * (target - load.correction);
    load.correction = clampCorrection(smoothed);
  }

  private entry(server: string): LoadEntry {
    let load = this.servers.get(server);
    if (load === undefined) {
      load = {
        ownBusyMs: 0,
        ownBusyMsAtReport: 0,
        reportedBusyMs: 0,
        reportedAt: -Infinity,
        correction: 1,
      };
      this.servers.set(server, load);
    }
    return load;
  }
}
