/** Tells the crash of a server from a connection that was lost while the server goes on. */
import type { DecisionLog } from '../DecisionLog.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { BackendServer } from '../deployment/Types.js';
import type { ReportPort } from '../placement/Types.js';
import type { ListenPort, Quarantine } from './Types.js';

export interface CrashWitnessDependencies {
  readonly directory: ServerDirectory;
  readonly port: ReportPort & ListenPort;
  readonly quarantine: Quarantine;
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
   * @param inputs - inputs of the request that may have ended it
   */
  public async examineLoss(id: string, inputs: readonly string[]): Promise<void> {
    const { directory, quarantine, decisions } = this.dependencies;
    const server = directory.get(id);
    if (server === undefined || inputs.length === 0) return;
    const { incarnation } = server.record;
    if (!(await this.hasEnded(server.record))) return;
    decisions.record('crash', { server: id, incarnation, inputs: inputs.join(',') });
    quarantine.recordCrash(id, incarnation, inputs);
  }

  private hasEnded({ id, incarnation, address, accelerator }: BackendServer): Promise<boolean> {
    const key = `${id}/${incarnation}`;
    let pending = this.pending.get(key);
    if (pending === undefined) {
      const { port } = this.dependencies;
      // Plain servers give no reports, and a request for one would wait for a slot.
      const isAlive =
        accelerator === ''
          ? port.isListening(address, REPORT_TIMEOUT_MS)
          : port.report(id, address, REPORT_TIMEOUT_MS).then((report) => report !== undefined);
      pending = isAlive.then((alive) => !alive).finally(() => this.pending.delete(key));
      this.pending.set(key, pending);
    }
    return pending;
  }
}
