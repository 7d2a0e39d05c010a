/**
 * Probes servers that became suspect by their silence before they get work again, so that servers that still
 * fail get no requests.
 *
 * Several suspects in one failure domain at the same time indicate that the domain is cut off or lost: its
 * other servers become suspects as well, unless they have answered recently.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { ReportPort } from '../placement/Types.js';

export interface SuspectProbeDependencies {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly port: ReportPort;
  readonly decisions: DecisionLog;
}

/** Interval between checks of the suspects, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Time before the end of a suspicion at which a suspect is probed, in milliseconds; longer than a probe. */
const PROBE_LEAD_MS = 200;

/**
 * Probe timeout, in milliseconds. A report takes two link delays; a suspect that does not answer in time
 * stays suspect. A server that showed signs of life within this time does not become suspect with its domain.
 */
const PROBE_TIMEOUT_MS = 100;

/**
 * Time for which a server stays suspect after an unanswered probe, in milliseconds: links recover within
 * seconds.
 */
const UNANSWERED_PROBE_SUSPICION_MS = 1200;

/**
 * Number of new suspects in one failure domain within DOMAIN_WINDOW_MS that make the whole domain suspect.
 */
const DOMAIN_SUSPECT_COUNT = 3;

/** Time within which suspects of one failure domain are counted together, in milliseconds. */
const DOMAIN_WINDOW_MS = 500;

/**
 * Maximum time for which a suspect is probed, in milliseconds. Probing ends earlier if the server leaves, for
 * example because its entry was removed.
 */
const MAX_PROBING_MS = 20_000;

interface Suspect {
  readonly since: number;
  isAwaitingReport: boolean;
}

export class SuspectProbe {
  private readonly suspects = new Map<string, Suspect>();

  private timer: Disposable | undefined;

  public constructor(private readonly dependencies: SuspectProbeDependencies) {}

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
  }

  /**
   * Starts to probe a server that has become suspect.
   * @returns further servers of its failure domain that have become suspect with it
   */
  public add(id: string): string[] {
    const { clock, directory } = this.dependencies;
    const now = clock.now();
    this.track(id, now);
    this.timer ??= clock.schedule(CHECK_INTERVAL_MS, () => this.checkSuspects());
    const domain = directory.get(id)?.record.failureDomain;
    if (domain === undefined || this.countRecent(domain, now) < DOMAIN_SUSPECT_COUNT) return [];
    return this.suspectDomain(domain, now);
  }

  private track(id: string, now: number): void {
    this.suspects.set(id, { since: now, isAwaitingReport: false });
  }

  private countRecent(domain: string, now: number): number {
    let count = 0;
    for (const [id, { since }] of this.suspects) {
      if (now - since > DOMAIN_WINDOW_MS) continue;
      if (this.dependencies.directory.get(id)?.record.failureDomain === domain) count += 1;
    }
    return count;
  }

  private suspectDomain(domain: string, now: number): string[] {
    const { directory, decisions } = this.dependencies;
    const added: string[] = [];
    for (const server of directory.all()) {
      const { id, failureDomain } = server.record;
      if (failureDomain !== domain || server.leaving || !directory.isWorking(id)) continue;
      if (now - server.lastAliveAt < PROBE_TIMEOUT_MS) continue;
      directory.suspect(id);
      this.track(id, now);
      added.push(id);
    }
    if (added.length > 0) decisions.record('suspect-domain', { domain, servers: added.length });
    return added;
  }

  private checkSuspects(): void {
    const now = this.dependencies.clock.now();
    for (const [id, suspect] of this.suspects) {
      const server = this.dependencies.directory.get(id);
      const isOver = server === undefined || server.leaving || server.suspectUntil <= now;
      if (isOver || now - suspect.since > MAX_PROBING_MS) this.suspects.delete(id);
      else if (!suspect.isAwaitingReport && server.suspectUntil - now < PROBE_LEAD_MS)
        this.probe(id, server.record.address, suspect);
    }
    this.timer =
      this.suspects.size === 0
        ? undefined
        : this.dependencies.clock.schedule(CHECK_INTERVAL_MS, () => this.checkSuspects());
  }

  private async probe(id: string, address: string, suspect: Suspect): Promise<void> {
    const { directory, port } = this.dependencies;
    suspect.isAwaitingReport = true;
    const report = await port.report(id, address, PROBE_TIMEOUT_MS);
    suspect.isAwaitingReport = false;
    if (report === undefined) directory.setRemainingSuspicion(id, UNANSWERED_PROBE_SUSPICION_MS);
    else directory.noteAlive(id);
  }
}
