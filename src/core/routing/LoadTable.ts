import type { Stage } from './Types.js';

interface LoadEntry {
  /** Busy time caused by this instance's streams in progress, in milliseconds per token. */
  ownBusyMs: number;
  /** Own busy time when the last report arrived. */
  ownBusyMsAtReport: number;
  reportedBusyMs: number;
  reportedAt: number;
  /** Factor by which the server is busier than its streams suggest. */
  correction: number;
}

interface PeerLoad {
  readonly receivedAt: number;
  readonly busyMs: ReadonlyMap<string, number>;
  /** This instance's own busy time by server when the peer's last exchange arrived. */
  readonly ownBusyMsAtExchange: ReadonlyMap<string, number>;
}

/** Age beyond which reports are ignored, in milliseconds. */
const REPORT_LIFETIME_MS = 5000;

/** Weight of one report in the mean utilisation. */
const MEAN_SMOOTHING = 0.02;

/** Mean utilisation up to which loads need no correction; corrections then return to 1. */
const MIN_UTILISATION = 0.4;

/** Fraction of the difference that one report corrects. */
const CORRECTION_GAIN = 0.15;

/** Largest correction factor; the smallest one is its reciprocal. */
const MAX_CORRECTION = 2;

function clampCorrection(correction: number): number {
  return Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, correction));
}

/**
 * Estimates each server's load from three sources: this instance's streams, and the server's own reports
 * and the streams of peers, which are known with a delay. Used by entry instances; router instances use
 * `ServerLoad`.
 */
export class LoadTable {
  private readonly servers = new Map<string, LoadEntry>();

  private meanUtilisation = 0;

  private readonly peers = new Map<string, PeerLoad>();

  /** Adds the busy time of a stage that this instance starts. */
  public addStage(stage: Stage, layerMs: number): void {
    this.entry(stage.server).ownBusyMs += (stage.to - stage.from) * layerMs;
  }

  /** Removes the busy time that `addStage` added. */
  public removeStage(stage: Stage, layerMs: number): void {
    const load = this.entry(stage.server);
    load.ownBusyMs = Math.max(0, load.ownBusyMs - (stage.to - stage.from) * layerMs);
  }

  /**
   * Applies a server's own report.
   * @param busyMs - busy time that the server adds to each token, in milliseconds
   * @param utilisation - fraction of the time since its last report in which the server was busy
   */
  public applyReport(server: string, busyMs: number, now: number, utilisation?: number): void {
    const load = this.entry(server);
    load.reportedBusyMs = busyMs;
    load.reportedAt = now;
    load.ownBusyMsAtReport = load.ownBusyMs;
    if (utilisation !== undefined) this.updateCorrection(load, utilisation);
  }

  /**
   * Replaces the load that a peer's streams in progress cause.
   * @param busyMs - busy time by server, in milliseconds per token
   */
  public applyPeerLoad(peer: string, busyMs: ReadonlyMap<string, number>, now: number): void {
    this.peers.set(peer, { receivedAt: now, busyMs, ownBusyMsAtExchange: this.listOwnBusyMs() });
  }

  /**
   * Returns the corrections of servers that reported to this instance lately, for peers that have no
   * current report from them.
   */
  public corrections(now: number): Map<string, number> {
    const found = new Map<string, number>();
    for (const [server, { correction, reportedAt }] of this.servers) {
      if (now - reportedAt <= REPORT_LIFETIME_MS && correction !== 1) found.set(server, correction);
    }
    return found;
  }

  /** Applies a peer's correction of a server, unless this instance has a current report from it. */
  public applyPeerCorrection(server: string, correction: number, now: number): void {
    const load = this.entry(server);
    if (now - load.reportedAt <= REPORT_LIFETIME_MS) return;
    load.correction = clampCorrection(correction);
  }

  public removePeer(peer: string): void {
    this.peers.delete(peer);
  }

  /** Busy time that this instance's streams cause, by server, in milliseconds per token. */
  public listOwnBusyMs(): Map<string, number> {
    const own = new Map<string, number>();
    for (const [server, load] of this.servers) {
      if (load.ownBusyMs > 0) own.set(server, load.ownBusyMs);
    }
    return own;
  }

  /**
   * Estimated busy time that a server adds to each token, in milliseconds.
   *
   * Peers see the same reports and choose alike, so what this instance has added to a server since a
   * peer's last exchange, that peer has probably added too. Without this estimate, all of them choose
   * the server that looked idle in the last exchange.
   */
  public busyMs(server: string, now: number): number {
    const load = this.servers.get(server);
    const own = load?.ownBusyMs ?? 0;
    let estimate = own;
    for (const peer of this.peers.values()) {
      if (now - peer.receivedAt > REPORT_LIFETIME_MS) continue;
      const addedSince = own - (peer.ownBusyMsAtExchange.get(server) ?? 0);
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
   * Streams on slow servers run fewer steps per second, so equal busy times do not mean equal work. The
   * correction is adjusted until all reporting servers are busy for the same fraction of the time.
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
