import type { BackendServer } from '../deployment/Types.js';
import type { MemoryShare } from '../limits/MemoryShare.js';
import { MessageBuffer } from '../limits/MessageBuffer.js';
import type { PaceTrial } from '../pace/PaceTrial.js';
import type { Stage } from '../routing/Types.js';
import type { WorkReservation } from '../routing/WorkReservation.js';
import type { AnswerVerdict } from './AnswerGate.js';
import type { AnswerHead, ServerConnection } from './Types.js';

/** The first server of a route and the stages of the route; no stages for plain services. */
export interface SendTarget {
  readonly server: string;
  readonly stages: readonly Stage[];
}

/** What a send begins with. */
export interface AttemptOpening {
  readonly target: SendTarget;
  /** The first server as it was at the send. */
  readonly process: BackendServer;
  readonly reservation: WorkReservation;
  readonly trial: PaceTrial;
  /** Memory of the request, in which kept parts of the answer are counted. */
  readonly memory: MemoryShare;
}

/** One send of a request, with all that belongs to it, until its call is closed. */
export class Attempt implements SendTarget {
  public head: AnswerHead | undefined;

  /** What may be done with the answer; undefined before its head. */
  public verdict: AnswerVerdict | undefined;

  private route: readonly Stage[];

  private connection: ServerConnection | undefined;

  /** What the answer tells of its servers; undefined once it has been told or their route has changed. */
  private trial: PaceTrial | undefined;

  private readonly kept: MessageBuffer;

  private isClosed = false;

  public constructor(private readonly opening: AttemptOpening) {
    this.route = opening.target.stages;
    this.trial = opening.trial;
    this.kept = new MessageBuffer(opening.memory);
  }

  /** Id of the first server. */
  public get server(): string {
    return this.opening.target.server;
  }

  /** The first server as it was at the send. */
  public get process(): BackendServer {
    return this.opening.process;
  }

  protected get memory(): MemoryShare {
    return this.opening.memory;
  }

  /** Stages of the route now. */
  public get stages(): readonly Stage[] {
    return this.route;
  }

  public get isOpen(): boolean {
    return !this.isClosed;
  }

  /** Size of the kept part of the answer, in bytes. */
  public get keptBytes(): number {
    return this.kept.length;
  }

  public connect(connection: ServerConnection): void {
    if (this.isClosed) connection.dispose();
    else this.connection = connection;
  }

  public pause(): void {
    this.connection?.pause();
  }

  public resume(): void {
    this.connection?.resume();
  }

  /** Keeps a part of the answer. */
  public keep(chunk: Buffer): void {
    this.kept.append(chunk);
  }

  /** Hands the kept parts over, which remain counted in the memory of the request. */
  public takeKept(): readonly Buffer[] {
    return this.kept.takeParts();
  }

  /** Moves the work of the request to the servers of another route. */
  public moveTo(stages: readonly Stage[]): void {
    this.trial = undefined;
    this.route = stages;
    this.opening.reservation.reroute(stages);
  }

  public endPrefill(): void {
    this.opening.reservation.endPrefill();
  }

  public get currentTrial(): PaceTrial | undefined {
    return this.trial;
  }

  /** Returns the trial for its final judgement; undefined if there is none any more. */
  public takeTrial(): PaceTrial | undefined {
    const { trial } = this;
    this.trial = undefined;
    return trial;
  }

  /** Closes the call, and releases what is reserved and kept for it. */
  public close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.connection?.dispose();
    this.opening.reservation.dispose();
    this.kept.clear();
  }
}
