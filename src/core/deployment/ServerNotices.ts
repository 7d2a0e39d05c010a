/** Applies what servers say of themselves in the heads of their answers, whatever it is that they answer. */
import type { DecisionLog } from '../DecisionLog.js';
import type { HeldServers, HoldChange } from '../limits/HeldServers.js';
import { ServerRole } from '../routing/Types.js';
import type { BackendServer } from './Types.js';
import type { ServerDirectory } from './ServerDirectory.js';

/** Status with which a server turns a request away. */
const TURNED_AWAY = 503;

/** What a server answered. */
export enum AnsweredCall {
  Request = 'request',
  Report = 'report',
  Order = 'order',
}

/** What the head of an answer says of the process that sent it. */
export interface ServerNotice {
  readonly call: AnsweredCall;
  /** Id of the answered request; undefined for other calls. */
  readonly requestId?: string;
  readonly status: number;
  /** Whether the process is leaving. */
  readonly isLeaving: boolean;
  /** Pause that the answer asks for, in milliseconds; undefined if it states none that can be read. */
  readonly pauseMs: number | undefined;
  /** Server on the route that is at fault, if it is another one than the process. */
  readonly blamedServer?: string;
}

/** The process of a server that a call was sent to. */
export type CalledProcess = Pick<BackendServer, 'id' | 'incarnation' | 'address'>;

/** Receives the notices of all answers as soon as their heads arrive. */
export interface NoticeListener {
  /** Returns the process of a server that is known now; undefined if there is none. */
  processOf(id: string): CalledProcess | undefined;
  /** @param process - as it was known when the call was sent */
  handleNotice(process: CalledProcess, notice: ServerNotice): void;
}

export interface ServerNoticesDependencies {
  readonly directory: ServerDirectory;
  readonly heldServers: HeldServers;
  readonly decisions: DecisionLog;
}

export class ServerNotices implements NoticeListener {
  public constructor(private readonly dependencies: ServerNoticesDependencies) {}

  public processOf(id: string): CalledProcess | undefined {
    return this.dependencies.directory.get(id)?.record;
  }

  public handleNotice(process: CalledProcess, notice: ServerNotice): void {
    if (notice.isLeaving) this.handleLeaving(process, notice);
    if (notice.status === TURNED_AWAY && notice.pauseMs !== undefined)
      this.handlePause(process, notice, notice.pauseMs);
  }

  /**
   * Holds work back from the server that answered, which must not receive requests, and from the one at fault,
   * which no route may pass through. Without another one at fault, both are the same.
   */
  private handlePause(process: CalledProcess, notice: ServerNotice, pauseMs: number): void {
    const { directory, heldServers } = this.dependencies;
    const { blamedServer } = notice;
    if (blamedServer === undefined) {
      this.recordHold(process, notice, heldServers.hold(process, ServerRole.Later, pauseMs));
      return;
    }
    this.recordHold(process, notice, heldServers.hold(process, ServerRole.First, pauseMs));
    const blamed = directory.get(blamedServer)?.record;
    if (blamed !== undefined)
      this.recordHold(process, notice, heldServers.hold(blamed, ServerRole.Later, pauseMs));
  }

  private recordHold(
    process: CalledProcess,
    { call, requestId, status, pauseMs = 0 }: ServerNotice,
    change: HoldChange | undefined,
  ): void {
    if (change === undefined) return;
    this.dependencies.decisions.record('server-held', {
      server: change.server,
      role: change.role,
      answeredBy: process.id,
      call,
      id: requestId,
      status,
      statedMs: Math.round(pauseMs),
      sinceMs: Math.round(change.sinceMs),
      forMs: Math.round(change.forMs),
    });
  }

  private handleLeaving({ id, incarnation }: CalledProcess, notice: ServerNotice): void {
    const { directory, decisions } = this.dependencies;
    if (!directory.noteLeaving(id, incarnation)) return;
    const { call, requestId, status } = notice;
    decisions.record('server-leaving', { server: id, incarnation, call, id: requestId, status });
  }
}
