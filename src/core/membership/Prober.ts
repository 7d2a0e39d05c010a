/**
 * Probes the servers assigned to this instance and every suspect, applies their load reports and marks
 * servers as suspect, leaving, loading or degraded.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { LoadTable } from '../routing/LoadTable.js';
import { holdsAllRanges } from '../placement/OrderDriver.js';
import type { Engine, EngineReport } from '../streams/Types.js';
import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind } from '../tickets/Types.js';
import { ServerMark, type ServerHealth } from './ServerHealth.js';

export interface ProberDependencies {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly configuration: Configuration;
  readonly load: LoadTable;
  readonly health: ServerHealth;
  /** Whether this instance probes a server in the given failure domain. */
  readonly isAssigned: (server: string, failureDomain: string) => boolean;
  readonly log: (message: string) => void;
}

/**
 * Minimum time between two regular probes of a server, in milliseconds; just below two rounds, so that a
 * server is due in every second round.
 */
const PROBE_INTERVAL_MS = 990;

/** Maximum number of regular probes in a round; with more servers, each one is probed less often. */
const MAX_PROBES_PER_ROUND = 4;

/** Interval between rounds, in milliseconds; suspects are probed in every round until they answer. */
const ROUND_INTERVAL_MS = 500;

const PROBE_TIMEOUT_MS = 800;

/** Number of consecutive failed probes after which a server is suspect. */
const FAILURES_TO_SUSPECT = 2;

/** A server is degraded when its steps take at least this many times the expected duration. */
const DEGRADED_SLOWDOWN = 4;

export class Prober {
  private readonly failures = new Map<string, number>();

  private readonly probing = new Set<string>();

  private timer: Disposable | undefined;

  private readonly probedAt = new Map<string, number>();

  public constructor(private readonly dependencies: ProberDependencies) {}

  public start(): void {
    this.runRound();
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private runRound(): void {
    const now = this.dependencies.clock.now();
    const servers = this.dependencies.configuration.list(ObjectKind.BackendServer);
    const suspects = servers.filter(
      ({ name }) => this.dependencies.health.markOf(name, now) === ServerMark.Suspect,
    );
    const due = servers
      .filter(
        ({ name, state }) =>
          this.isDue(name, now) && this.dependencies.isAssigned(name, state.failureDomain),
      )
      .sort((a, b) => this.lastProbedAt(a.name) - this.lastProbedAt(b.name))
      .slice(0, MAX_PROBES_PER_ROUND);
    for (const { name, state } of new Set([...suspects, ...due])) {
      this.probedAt.set(name, now);
      this.probe(name, state.address);
    }
    this.timer = this.dependencies.clock.schedule(ROUND_INTERVAL_MS, () => this.runRound());
  }

  private isDue(server: string, now: number): boolean {
    return now - this.lastProbedAt(server) >= PROBE_INTERVAL_MS;
  }

  private lastProbedAt(server: string): number {
    return this.probedAt.get(server) ?? -Infinity;
  }

  private async probe(server: string, address: string): Promise<void> {
    if (this.probing.has(server)) return;
    this.probing.add(server);
    try {
      const report = await this.dependencies.engine.probe(address, PROBE_TIMEOUT_MS);
      this.failures.delete(server);
      this.applyReport(server, report);
    } catch {
      this.countFailure(server);
    } finally {
      this.probing.delete(server);
    }
  }

  private applyReport(server: string, report: EngineReport): void {
    const { health, load, clock, configuration } = this.dependencies;
    const now = clock.now();
    health.clear(server, ServerMark.Suspect, now);
    load.applyReport(server, report.busyMs, now, report.utilisation);
    if (report.leaving) health.mark(server, ServerMark.Leaving, now);
    this.markIfDegraded(server, report.slowdown, now);
    const wanted = configuration.state(ObjectKind.BackendServer, server)?.layerRanges ?? [];
    if (report.loaded !== undefined && !holdsAllRanges(report.loaded, wanted)) {
      health.mark(server, ServerMark.Loading, now);
    } else health.clear(server, ServerMark.Loading, now);
  }

  /** Marks a server whose steps are much slower than expected; queueing time does not count. */
  private markIfDegraded(server: string, slowdown: number | undefined, now: number): void {
    if (slowdown === undefined || slowdown < DEGRADED_SLOWDOWN) return;
    this.dependencies.health.mark(server, ServerMark.Degraded, now);
  }

  private countFailure(server: string): void {
    const count = (this.failures.get(server) ?? 0) + 1;
    this.failures.set(server, count);
    if (count < FAILURES_TO_SUSPECT) return;
    if (count === FAILURES_TO_SUSPECT)
      this.dependencies.log(
        `Server ${server} does not answer probes and is now suspect; it gets no new work until it answers. Check the server and its network.`,
      );
    this.dependencies.health.mark(server, ServerMark.Suspect, this.dependencies.clock.now());
  }
}
