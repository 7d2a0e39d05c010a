/** Applies what servers say of themselves in the heads of their answers, whatever it is that they answer. */
import type { DecisionLog } from '../DecisionLog.js';
import type { BackendServer } from './Types.js';
import type { ServerDirectory } from './ServerDirectory.js';

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
  readonly decisions: DecisionLog;
}

export class ServerNotices implements NoticeListener {
  public constructor(private readonly dependencies: ServerNoticesDependencies) {}

  public processOf(id: string): CalledProcess | undefined {
    return this.dependencies.directory.get(id)?.record;
  }

  public handleNotice(process: CalledProcess, notice: ServerNotice): void {
    if (notice.isLeaving) this.handleLeaving(process, notice);
  }

  private handleLeaving({ id, incarnation }: CalledProcess, notice: ServerNotice): void {
    const { directory, decisions } = this.dependencies;
    if (!directory.noteLeaving(id, incarnation)) return;
    const { call, requestId, status } = notice;
    decisions.record('server-leaving', { server: id, incarnation, call, id: requestId, status });
  }
}
