/**
 * Detects the servers that stall streams.
 *
 * A stream is stalled when it is silent for longer than its own pace explains. Each server on its route
 * that has shown no sign of life since then is asked for a report. If a server does not answer promptly,
 * every stream that passes through it is rerouted. A server that answers may name a later server that it
 * is waiting for.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import { RetryReason } from '../Outcome.js';
import type { ReportPort, ServerReport } from '../placement/Types.js';
import type { StreamRegistry, WatchedStream } from './RelayDependencies.js';
import { SuspectProbe } from './SuspectProbe.js';

export interface SilenceDetectorDependencies {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly port: ReportPort;
  readonly decisions: DecisionLog;
  /** Time after which streams are rerouted around a leaving server, in milliseconds. */
  readonly rerouteLeavingAfterMs: number;
}

/**
 * Least time between checks, in milliseconds: a fraction of 200 ms, the longest pause in a stream that callers
 * are promised.
 */
const MIN_TICK_MS = 25;

/**
 * Longest time between checks, in milliseconds. A check is due when the first stream may have fallen silent, and
 * after this time because of leaving servers and of streams that begin meanwhile.
 */
const MAX_TICK_MS = 100;

/** Lateness of a check, in milliseconds, that indicates that the process itself was stalled. */
const PROCESS_STALL_MS = 120;

/** Report timeout, in milliseconds. A report takes two link delays; a slower server counts as silent. */
const REPORT_TIMEOUT_MS = 60;

/** Minimum time between report requests to the same server, in milliseconds. */
const REPORT_INTERVAL_MS = 250;

/**
 * Age of the information in a report, in milliseconds. A server named in a report is blamed only for a
 * stream that has been waiting for longer than this.
 */
const REPORT_LAG_MS = 250;

export class SilenceDetector implements StreamRegistry {
  private readonly streams = new Set<WatchedStream>();

  private readonly reportRequestedAt = new Map<string, number>();

  private readonly suspectProbe: SuspectProbe;

  private nextTickAt = 0;

  private timer: Disposable | undefined;

  public constructor(private readonly dependencies: SilenceDetectorDependencies) {
    this.suspectProbe = new SuspectProbe(dependencies);
  }

  public add(stream: WatchedStream): Disposable {
    this.streams.add(stream);
    if (this.timer === undefined) this.schedule(MIN_TICK_MS);
    return { dispose: () => this.streams.delete(stream) };
  }

  public askForReport(server: string): void {
    const known = this.dependencies.directory.get(server);
    if (known === undefined || known.leaving) return;
    if (this.mayRequestReport(server)) this.requestReport(server, known.record.address);
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
    this.suspectProbe.dispose();
  }

  private schedule(ms: number): void {
    this.nextTickAt = this.dependencies.clock.now() + ms;
    this.timer = this.dependencies.clock.schedule(ms, () => this.tick());
  }

  /** Time until the first stream may have fallen silent, within the bounds of the time between checks. */
  private nextTickMs(now: number): number {
    let dueMs = MAX_TICK_MS;
    for (const { lastEventAt, silentAfterMs } of this.streams)
      dueMs = Math.min(dueMs, lastEventAt + silentAfterMs - now);
    return Math.max(MIN_TICK_MS, dueMs);
  }

  private tick(): void {
    const now = this.dependencies.clock.now();
    const wasStalled = now - this.nextTickAt > PROCESS_STALL_MS;
    this.timer = undefined;
    if (this.streams.size === 0) return;
    this.schedule(this.nextTickMs(now));
    // After a stall, events that arrived in the meantime are processed first.
    if (wasStalled) return;
    for (const stream of this.streams) {
      if (now - stream.lastEventAt >= stream.silentAfterMs) this.examineSilentStream(stream, now);
      else this.rerouteAroundLeaving(stream, now);
    }
  }

  private rerouteAroundLeaving(stream: WatchedStream, now: number): void {
    let leaving: Set<string> | undefined;
    for (const { server } of stream.stages) {
      const known = this.dependencies.directory.get(server);
      if (known === undefined || !known.leaving) continue;
      if (now - known.leavingSince < this.dependencies.rerouteLeavingAfterMs) continue;
      leaving ??= new Set();
      leaving.add(server);
    }
    if (leaving !== undefined) stream.rerouteAround(leaving, RetryReason.Leaving);
  }

  private examineSilentStream(stream: WatchedStream, now: number): void {
    const suspects = new Set<string>();
    for (const { server, address } of stream.stages) {
      const { directory } = this.dependencies;
      const known = directory.get(server);
      if (known !== undefined && directory.isSuspect(known)) {
        suspects.add(server);
        continue;
      }
      // A server whose entry is forgotten may still run its last streams.
      const isAlive = directory.lastAliveAt(server) > stream.lastEventAt + stream.silentAfterMs;
      const mayNameBlocker = server === stream.stages[0].server && this.isLongSilent(stream, now);
      if (isAlive && !mayNameBlocker) continue;
      if (this.mayRequestReport(server)) this.requestReport(server, address);
    }
    if (suspects.size > 0) stream.rerouteAround(suspects, RetryReason.Silence);
  }

  /** Whether a stream is silent and received its last event before `since`. */
  private isSilent({ lastEventAt, silentAfterMs }: WatchedStream, since: number): boolean {
    return this.dependencies.clock.now() - lastEventAt >= silentAfterMs && lastEventAt < since;
  }

  /** Whether a stream has been silent for so long that a report must show what it is waiting for. */
  private isLongSilent(stream: WatchedStream, now: number): boolean {
    return now - stream.lastEventAt >= stream.silentAfterMs + REPORT_LAG_MS;
  }

  private mayRequestReport(server: string): boolean {
    const requestedAt = this.reportRequestedAt.get(server) ?? -Infinity;
    return this.dependencies.clock.now() - requestedAt >= REPORT_INTERVAL_MS;
  }

  private async requestReport(server: string, address: string): Promise<void> {
    const { clock, directory, port, decisions } = this.dependencies;
    const requestedAt = clock.now();
    this.reportRequestedAt.set(server, requestedAt);
    const report = await port.report(server, address, REPORT_TIMEOUT_MS);
    if (report !== undefined) {
      directory.noteAlive(server);
      this.rerouteAroundBlockers(server, report);
      return;
    }
    if (directory.lastAliveAt(server) > requestedAt) return;
    const forMs = directory.suspect(server);
    decisions.record('suspect', {
      server,
      why: 'no report',
      waitedMs: Math.round(clock.now() - requestedAt),
      provenMsAgo: Math.round(requestedAt - directory.lastAliveAt(server)),
      forMs,
    });
    const suspects = new Set([server, ...this.suspectProbe.add(server)]);
    for (const stream of this.streams) {
      const affectedStages = stream.stages.filter((stage) => suspects.has(stage.server));
      if (affectedStages.length === 0) continue;
      // Streams that pass only through other suspects of the domain and still receive events are examined
      // again when they fall silent.
      if (
        affectedStages.some((stage) => stage.server === server) ||
        this.isSilent(stream, requestedAt)
      )
        stream.rerouteAround(
          new Set(affectedStages.map((stage) => stage.server)),
          RetryReason.Silence,
        );
    }
  }

  /** Reroutes the streams whose first server names the server that it is waiting for. */
  private rerouteAroundBlockers(server: string, { blocked }: ServerReport): void {
    if (blocked.length === 0) return;
    const now = this.dependencies.clock.now();
    for (const stream of this.streams) {
      // Another server may run the same stream.
      if (stream.stages[0]?.server !== server || !this.isLongSilent(stream, now)) continue;
      const entry = blocked.find(({ id }) => id === stream.id);
      const blocker = entry && stream.stages.find(({ address }) => address === entry.address);
      if (blocker === undefined) continue;
      this.dependencies.decisions.record('blocked', {
        id: stream.id,
        server: blocker.server,
        silentMs: Math.round(now - stream.lastEventAt),
      });
      stream.rerouteAround(new Set([blocker.server]), RetryReason.Silence);
    }
  }
}
