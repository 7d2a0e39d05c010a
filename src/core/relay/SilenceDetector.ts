/**
 * Finds the server that keeps streams waiting.
 *
 * A stream that is silent for longer than its own pace explains is stalled. Each server on its route
 * that has given no sign of life since is asked; one that does not answer at once is left by every stream
 * that passes through it. A server that answers may name one further on that it waits for.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import { UnusableReason, type ServerDirectory } from '../deployment/ServerDirectory.js';
import { RetryReason } from '../Outcome.js';
import type { ReportPort, ServerReport } from '../placement/Types.js';
import type { StreamRegistry, WatchedStream } from './RelayDependencies.js';
import { SuspectProbe } from './SuspectProbe.js';

export interface SilenceDetectorDependencies {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly port: ReportPort;
  readonly decisions: DecisionLog;
  /** Time after which a leaving server's streams are moved, in milliseconds. */
  readonly rerouteLeavingAfterMs: number;
}

/** Time between looks, in milliseconds: a fraction of the pause that callers are promised. */
const TICK_MS = 25;

/** A tick this late says that the process itself stood still, in milliseconds. */
const STANDSTILL_MS = 120;

/** A report takes two link delays; a server without an answer for this time is silent, in milliseconds. */
const REPORT_TIMEOUT_MS = 60;

/** A server is not asked again within this time, in milliseconds. */
const ASK_AGAIN_MS = 250;

/** Reports are this old; a server named in one must have kept the stream waiting for longer. */
const REPORT_LAG_MS = 250;

export class SilenceDetector implements StreamRegistry {
  private readonly streams = new Set<WatchedStream>();

  private readonly askedAt = new Map<string, number>();

  private readonly probe: SuspectProbe;

  private lastTickAt = 0;

  private timer: Disposable | undefined;

  public constructor(private readonly dependencies: SilenceDetectorDependencies) {
    this.probe = new SuspectProbe(dependencies);
  }

  public add(stream: WatchedStream): Disposable {
    this.streams.add(stream);
    if (this.timer === undefined) this.schedule(this.dependencies.clock.now());
    return { dispose: () => this.streams.delete(stream) };
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
    this.probe.dispose();
  }

  private schedule(now: number): void {
    this.lastTickAt = now;
    this.timer = this.dependencies.clock.schedule(TICK_MS, () => this.tick());
  }

  private tick(): void {
    const now = this.dependencies.clock.now();
    const stoodStill = now - this.lastTickAt > TICK_MS + STANDSTILL_MS;
    this.timer = undefined;
    if (this.streams.size === 0) return;
    this.schedule(now);
    // After a standstill, events that came meanwhile are read first.
    if (stoodStill) return;
    for (const stream of this.streams) {
      if (now - stream.lastEventAt >= stream.silentAfterMs) this.examine(stream, now);
      else this.leaveLeaving(stream, now);
    }
  }

  private leaveLeaving(stream: WatchedStream, now: number): void {
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

  private examine(stream: WatchedStream, now: number): void {
    const suspects = new Set<string>();
    for (const { server, address } of stream.stages) {
      const known = this.dependencies.directory.get(server);
      if (
        known === undefined ||
        this.dependencies.directory.unusableReason(known) === UnusableReason.Suspect
      ) {
        suspects.add(server);
        continue;
      }
      const isProven = known.lastAliveAt > stream.lastEventAt + stream.silentAfterMs;
      const mayNameBlocker = server === stream.stages[0].server && this.isLong(stream, now);
      if (isProven && !mayNameBlocker) continue;
      if (now - (this.askedAt.get(server) ?? -Infinity) >= ASK_AGAIN_MS) this.ask(server, address);
    }
    if (suspects.size > 0) stream.rerouteAround(suspects, RetryReason.Silence);
  }

  private isSilent({ lastEventAt, silentAfterMs }: WatchedStream, since: number): boolean {
    return this.dependencies.clock.now() - lastEventAt >= silentAfterMs && lastEventAt < since;
  }

  /** Whether a stream has been silent for so long that a report must show what it waits for. */
  private isLong(stream: WatchedStream, now: number): boolean {
    return now - stream.lastEventAt >= stream.silentAfterMs + REPORT_LAG_MS;
  }

  private async ask(server: string, address: string): Promise<void> {
    const { clock, directory, port, decisions } = this.dependencies;
    const askedAt = clock.now();
    this.askedAt.set(server, askedAt);
    const report = await port.report(server, address, REPORT_TIMEOUT_MS);
    if (report !== undefined) {
      directory.noteAlive(server);
      this.leaveBlockers(report);
      return;
    }
    if (directory.lastAliveAt(server) > askedAt) return;
    const forMs = directory.suspect(server);
    decisions.record('suspect', {
      server,
      why: 'no report',
      waitedMs: Math.round(clock.now() - askedAt),
      provenMsAgo: Math.round(askedAt - directory.lastAliveAt(server)),
      forMs,
    });
    const suspects = new Set([server, ...this.probe.add(server)]);
    for (const stream of this.streams) {
      const own = stream.stages.filter((stage) => suspects.has(stage.server));
      if (own.length === 0) continue;
      // Streams that still get events are asked for anew when they fall silent.
      if (own.some((stage) => stage.server === server) || this.isSilent(stream, askedAt))
        stream.rerouteAround(new Set(own.map((stage) => stage.server)), RetryReason.Silence);
    }
  }

  /** Moves streams whose first server names the one that it waits for. */
  private leaveBlockers({ blocked }: ServerReport): void {
    if (blocked.length === 0) return;
    const now = this.dependencies.clock.now();
    for (const stream of this.streams) {
      if (!this.isLong(stream, now)) continue;
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
