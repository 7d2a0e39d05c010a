/**
 * Finds out how much work a server can carry that has just started, restarted, got layers or come back.
 *
 * Such a server has a window: the number of requests that all instances together may have in progress there.
 * Each sound answer allows twice the requests that were in progress when it was sent; rejections and slow
 * answers halve the window. The window ends once it has reached the server's ordinary share. It only orders the
 * choice of servers: when no other one can take a request, one beyond its window does.
 *
 * Within a generation a window only grows, and each reduction begins a new generation. Instances can therefore
 * merge what they know in any order, and any number of rejections of the same overload count once.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { Service } from '../deployment/Types.js';
import { Emitter } from '../Emitter.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import type { Stage } from '../routing/Types.js';
import { AnswerJudge } from './AnswerJudge.js';
import { AnswerSpeed } from './AnswerTime.js';
import { FleetCapacity } from './Capacity.js';
import { PacedServer } from './PacedServer.js';
import { judgeWord, MergeStep } from './PaceMerge.js';
import { PaceTable } from './PaceTable.js';
import { isCurrent, type PaceTrial, type TriedServer } from './PaceTrial.js';
import { CurrentTurn, REPORT_LAG_MS, seatsOf } from './Seats.js';
import {
  PaceCause,
  PaceReason,
  type InstanceTurn,
  type PaceChange,
  type PaceLimit,
  type SharedPace,
} from './Types.js';

export interface ServerPaceDependencies {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly deployments: Deployments;
  /** Returns the place of this instance among all known ones. */
  readonly turn: () => InstanceTurn;
}

/** A window is reported again once it has changed by this factor. */
const REPORT_FACTOR = 2;

type MergeHandler = (known: PacedServer, shared: SharedPace, source: string) => void;

export class ServerPace implements PaceLimit {
  private readonly table: PaceTable;

  private readonly capacity: FleetCapacity;

  private readonly judge: AnswerJudge;

  private readonly changes = new Emitter<PaceChange>();

  /** Fires when a pace begins, changes by a factor, or ends. */
  public readonly onChange = this.changes.event;

  private readonly turn: CurrentTurn;

  private readonly mergeSteps: Readonly<Record<MergeStep, MergeHandler>> = {
    [MergeStep.Ignore]: () => {},
    [MergeStep.RepeatEnd]: (known) => this.announceEnd(known),
    [MergeStep.End]: (known, { generation }, source) => {
      known.generation = generation;
      if (known.isPaced) this.end(known, PaceReason.Peer, source);
    },
    [MergeStep.Widen]: (known, { window }, source) =>
      this.setWindow(known, window, PaceReason.Peer, source),
    [MergeStep.Adopt]: (known, { generation, window, cause }, source) => {
      known.generation = generation;
      known.cause = cause;
      known.initial = this.capacity.initialWindow(known.id) ?? window;
      this.setWindow(known, window, PaceReason.Peer, source);
    },
  };

  private readonly subscription: Disposable;

  /** Whether this instance has had requests. What it knew before is an ordinary server to it. */
  private hasSent = false;

  public constructor(private readonly dependencies: ServerPaceDependencies) {
    const { directory, load, deployments } = dependencies;
    this.table = new PaceTable((id) => directory.get(id) !== undefined);
    this.turn = new CurrentTurn(dependencies.turn);
    this.judge = new AnswerJudge(dependencies.clock, dependencies);
    this.capacity = new FleetCapacity(directory, load, deployments);
    this.subscription = directory.onChange((server) => this.observe(server));
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  /** Number of paced servers. */
  public get size(): number {
    return this.table.size;
  }

  /** Requests in progress that all instances together may have at a server; Infinity without a pace. */
  public windowOf(server: string): number {
    return this.table.getPaced(server)?.window ?? Infinity;
  }

  /** Whether a server's pace, if it has one, allows another request of this instance. */
  public allows(server: string): boolean {
    const paced = this.table.getPaced(server);
    if (paced === undefined) return true;
    const { load, clock } = this.dependencies;
    if (paced.isSuspected) this.beginRecovered(paced);
    const inProgress = load.requests(server);
    const { window, offset, changedAt } = paced;
    if (inProgress >= window) return false;
    const now = clock.now();
    const ageMs = now - changedAt;
    const seats = seatsOf({ window, inProgress, ageMs, now, offset, turn: this.turn.at(now) });
    return load.ownWork(server).requests < seats;
  }

  /**
   * Notes a request that is about to be sent, before its work is added to that of its servers.
   * @param stages - its route; empty for a plain service
   * @param first - the server that receives it
   * @returns what its answer is to be judged by
   */
  public startTrial(
    service: Service,
    stages: readonly Stage[],
    first: string,
    promptTokens: number,
  ): PaceTrial {
    this.hasSent = true;
    const ids = stages.length === 0 ? [first] : stages.map(({ server }) => server);
    const paced = this.table.size === 0 ? [] : this.table.listPaced(ids);
    return this.judge.start({ service, stages, paced, promptTokens });
  }

  /** Judges the servers of a send by the first event of a stream, or by a complete answer. */
  public recordAnswer(trial: PaceTrial): void {
    const { speed, isCertain } = this.judge.judge(trial);
    for (const tried of trial.servers) {
      if (!isCurrent(tried)) continue;
      if (speed === AnswerSpeed.Sound) this.recordSound(tried);
      // Over several servers the delay may be due to any of them.
      else if (speed === AnswerSpeed.Slow && trial.stages === 1) this.recordSlow(tried, isCertain);
    }
  }

  /**
   * Records that a server rejected a request.
   * @param server - the server at fault
   */
  public recordRejection({ servers }: PaceTrial, server: string): void {
    const tried = servers.find(({ paced }) => paced.id === server);
    if (tried !== undefined && isCurrent(tried)) this.shrink(tried, PaceReason.Rejected);
  }

  /** Returns what peers need to know: the paced servers, and those whose pace ended lately. */
  public list(): SharedPace[] {
    return this.table.list(this.dependencies.clock.now());
  }

  /**
   * Adds what a peer knows.
   * @param source - name of the peer
   */
  public merge(list: readonly SharedPace[], source: string): void {
    for (const shared of list) {
      const known = this.table.get(shared.server);
      if (known?.incarnation === shared.incarnation) this.mergeOne(known, shared, source);
    }
  }

  private mergeOne(known: PacedServer, shared: SharedPace, source: string): void {
    const { clock, directory } = this.dependencies;
    const answersHere = clock.now() - directory.lastAliveAt(known.id) < REPORT_LAG_MS;
    this.mergeSteps[judgeWord(known, shared, answersHere)](known, shared, source);
  }

  /** Begins the pace of a server that is new, has a new process or new layers, or is suspected. */
  private observe(server: KnownServer): void {
    const { record, leaving, suspectUntil } = server;
    let known = this.table.get(record.id);
    if (known === undefined) {
      known = new PacedServer(record);
      this.table.add(known);
    } else if (known.applyEntry(record)) {
      this.table.update(known);
    }
    if (leaving) {
      if (known.isPaced) this.end(known, PaceReason.Leaving);
      return;
    }
    if (suspectUntil > this.dependencies.clock.now()) this.suspect(known);
    else this.beginPending(known);
  }

  private beginPending(known: PacedServer): void {
    const { pendingCause } = known;
    if (pendingCause === undefined || this.capacity.of(known.id) === undefined) return;
    known.pendingCause = undefined;
    if (this.hasSent) this.begin(known, pendingCause);
  }

  private suspect(known: PacedServer): void {
    if (!this.hasSent || known.isSuspected || this.capacity.of(known.id) === undefined) return;
    known.pendingCause = undefined;
    this.begin(known, PaceCause.Recovered);
    known.isSuspected = true;
  }

  /** Begins with the work that a server kept while it was suspected, if that is more than the first window. */
  private beginRecovered(paced: PacedServer): void {
    const { directory, load } = this.dependencies;
    if (!directory.isWorking(paced.id)) return;
    paced.isSuspected = false;
    const inProgress = load.requests(paced.id);
    if (inProgress > paced.window) this.setWindow(paced, inProgress, PaceReason.SoundAnswers);
    this.endIfComplete(paced);
  }

  private begin(known: PacedServer, cause: PaceCause): void {
    const { clock, load } = this.dependencies;
    const initial = this.capacity.initialWindow(known.id);
    if (initial === undefined) return;
    const before = known.window;
    // The work at a process that has ended is reported for a while.
    const kept = cause === PaceCause.Restarted ? 0 : load.requests(known.id);
    known.begin(cause, Math.max(initial, kept), clock.now());
    this.table.update(known);
    this.report(known, PaceReason.Begun, before);
  }

  private recordSound({ paced, inProgress, ownRequests }: TriedServer): void {
    const { load } = this.dependencies;
    const before = paced.window;
    // What peers report by now was there while the server worked on the answer.
    const peerRequests = load.requests(paced.id) - load.ownWork(paced.id).requests;
    paced.grow(Math.max(inProgress, ownRequests + peerRequests), this.dependencies.clock.now());
    if (paced.window === before) return;
    this.reportIfFar(paced, PaceReason.SoundAnswers);
    this.endIfComplete(paced);
  }

  private recordSlow(tried: TriedServer, isCertain: boolean): void {
    const isRepeated = tried.paced.countSlowAnswer();
    if (isCertain || isRepeated) this.shrink(tried, PaceReason.SlowAnswers);
  }

  private shrink({ paced, inProgress }: TriedServer, reason: PaceReason): void {
    // Beyond the window, nothing else was to be expected.
    if (inProgress > paced.window) return;
    const before = paced.window;
    paced.shrink(this.dependencies.clock.now());
    this.report(paced, reason, before);
  }

  private setWindow(known: PacedServer, window: number, reason: PaceReason, source?: string): void {
    known.setWindow(window, this.dependencies.clock.now());
    this.table.update(known);
    this.reportIfFar(known, reason, source);
  }

  private endIfComplete(paced: PacedServer): void {
    const isPaced = (id: string) => this.table.getPaced(id) !== undefined;
    const usual = this.capacity.usualRequests(paced.id, isPaced);
    const complete = Math.min(this.capacity.of(paced.id) ?? Infinity, paced.completeWindow(usual));
    if (paced.window >= complete) this.end(paced, PaceReason.Complete);
  }

  private end(known: PacedServer, reason: PaceReason, source?: string): void {
    const before = known.window;
    known.setWindow(Infinity, this.dependencies.clock.now());
    known.isSuspected = false;
    this.announceEnd(known);
    this.report(known, reason, before, source);
  }

  private announceEnd(known: PacedServer): void {
    known.changedAt = this.dependencies.clock.now();
    this.table.update(known);
  }

  private reportIfFar(known: PacedServer, reason: PaceReason, source?: string): void {
    const { window, reportedWindow } = known;
    const factor = window / reportedWindow;
    if (factor < REPORT_FACTOR && factor > 1 / REPORT_FACTOR) return;
    this.report(known, reason, reportedWindow, source);
  }

  private report(known: PacedServer, reason: PaceReason, before: number, source?: string): void {
    const { id, cause, window } = known;
    known.reportedWindow = window;
    this.changes.fire({ server: id, cause, reason, window, before, source });
  }
}
