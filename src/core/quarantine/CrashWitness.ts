/** Tells the crash of a server from a connection that was lost while the server goes on. */
import type { DecisionLog } from '../DecisionLog.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { ReportPort } from '../placement/Types.js';
import type { PartQuarantine } from './PartQuarantine.js';

export interface CrashWitnessDependencies {
  readonly directory: ServerDirectory;
  readonly port: ReportPort;
  readonly quarantine: PartQuarantine;
  readonly decisions: DecisionLog;
}

/** Report timeout, in milliseconds. A report takes two link delays; a server that has ended sends none. */
const REPORT_TIMEOUT_MS = 100;

export class CrashWitness {
  /** Reports that are awaited, by server and incarnation. */
  private readonly pending = new Map<string, Promise<boolean>>();

  public constructor(private readonly dependencies: CrashWitnessDependencies) {}

  /**
   * Handles the loss of a connection before the server began to answer: if the server's process has ended,
   * the crash is recorded.
   * @param parts - parts of the request which other requests may share
   */
  public async examineLoss(id: string, parts: readonly string[]): Promise<void> {
    const { directory, quarantine, decisions } = this.dependencies;
    const server = directory.get(id);
    if (server === undefined || parts.length === 0) return;
    const { incarnation, address } = server.record;
    if (!(await this.hasEnded(id, incarnation, address))) return;
    decisions.record('crash', { server: id, incarnation, parts: parts.join(',') });
    quarantine.recordCrash(id, incarnation, parts);
  }

  private hasEnded(id: string, incarnation: number, address: string): Promise<boolean> {
    const key = `${id}/${incarnation}`;
    let pending = this.pending.get(key);
    if (pending === undefined) {
      pending = this.dependencies.port
        .report(id, address, REPORT_TIMEOUT_MS)
        .then((report) => report === undefined)
        .finally(() => this.pending.delete(key));
      this.pending.set(key, pending);
    }
    return pending;
  }
}
