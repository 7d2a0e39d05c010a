/** Base class of relays: one final answer, one timer for the time limit and one log line at the end. */
import type { Disposable } from '../../ports/Types.js';
import type { DecisionFields } from '../DecisionLog.js';
import { InvariantKind } from '../Invariant.js';
import { Outcome, refusal, RefusalReason, RetryReason } from '../Outcome.js';
import type { RoomLimits } from '../admission/RoomLimits.js';
import { describeDomains, describeStages } from '../routing/StageText.js';
import { describeRevision } from '../store/Revision.js';
import { WorkReservation } from '../routing/WorkReservation.js';
import { AnswerRecorder } from './AnswerRecorder.js';
import type { Attempt, AttemptOpening, SendTarget } from './Attempt.js';
import { AvoidCause } from './AvoidedServers.js';
import { guardListener } from './ListenerGuard.js';
import { REFUSAL_MESSAGES } from './RefusalMessages.js';
import { isQuarantine, RefusalTerms } from './RefusalTerms.js';
import { RelayEnd, type AssignedRequest, type RelayDependencies } from './RelayDependencies.js';
import { RequestRoutes } from './RequestRoutes.js';
import { RetryObstacle } from './RetryObstacle.js';
import { SendTracker } from './SendTracker.js';
import { CallFailure, MAX_URGENCY, type Relay, type ServerCallListener } from './Types.js';

/** Maximum size of an answer that is buffered, in bytes. `MemoryBudget` bounds all answers together. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Minimum time that an answer takes, in milliseconds; with less time left a request is not resent. */
export const MIN_SEND_MS = 15;

/** Causes for which new routes avoid a failed server; `Lost` for other reasons. */
const AVOID_CAUSES: Readonly<Partial<Record<RetryReason, AvoidCause>>> = {
  [RetryReason.StageFailed]: AvoidCause.Rejected,
};

export abstract class BaseRelay<A extends Attempt = Attempt> implements Relay {
  protected readonly sendTracker: SendTracker;

  protected readonly routes: RequestRoutes;

  protected readonly recorder: AnswerRecorder;

  /** Sends whose calls are open, oldest first. */
  protected readonly attempts: A[] = [];

  protected ended = false;

  /** Whether the caller has a part of an answer. */
  protected hasBegun = false;

  /** Why the request was last not sent once more; undefined if that was not tried or no longer matters. */
  protected obstacle: RetryObstacle | undefined;

  private readonly terms: RefusalTerms;

  private readonly timer: Disposable;

  private isPaused = false;

  /** Withdraws the request from admission; undefined if it needs none. */
  private admission: Disposable | undefined;

  private readonly endListeners: ((relay: BaseRelay) => void)[] = [];

  public constructor(
    protected readonly dependencies: RelayDependencies,
    protected readonly assigned: AssignedRequest,
  ) {
    const { route, service, endsAt } = assigned;
    const { clock, directory, retryBudget } = dependencies;
    this.sendTracker = new SendTracker({
      maxServers: route.maxServers,
      service: service.name,
      retryBudget,
      hasEnded: (server) => directory.hasEnded(server),
    });
    this.routes = new RequestRoutes(dependencies, assigned, this.sendTracker);
    this.recorder = new AnswerRecorder(dependencies, assigned);
    this.terms = new RefusalTerms(dependencies, assigned);
    this.timer = clock.schedule(Math.max(0, endsAt - clock.now()), () =>
      this.guard(() => this.expire()),
    );
  }

  /** Registers a listener that is called once the request has ended. */
  public onEnd(listener: (relay: BaseRelay) => void): void {
    this.endListeners.push(listener);
  }

  /** Sends the request for the first time. */
  public start(): void {
    this.guard(() => {
      const { competes, service } = this.assigned;
      if (competes && service.engine !== undefined) this.askForAdmission();
      else if (!this.trySend()) this.refuseNotRun(RefusalReason.NoRoute);
    });
  }

  private askForAdmission(): void {
    const { request, service, route, account, rank, inputs } = this.assigned;
    this.admission = this.dependencies.admission.submit({
      service: service.name,
      route: route.name,
      account,
      rank,
      id: request.id,
      fingerprint: inputs.at(-1) as string,
      tokens: this.routes.reservedTokens,
      bytes: request.memory.bytes,
      objectiveMs: route.objectiveMs,
      arrivedAt: request.arrivedAt,
      trySend: (limits) => {
        let isSettled = true;
        this.guard(() => {
          isSettled = this.ended || this.trySend(limits);
        });
        return isSettled;
      },
      explainNoRoute: () => ({ missing: '', full: '', ...this.routes.explainNoRoute() }),
      refuse: (reason) => this.guard(() => this.refuseNotRun(reason)),
    });
    // Admission may have refused the request at once, after which there is nothing left to withdraw.
    if (this.ended) this.admission.dispose();
  }

  /**
   * Sends the request for the first time, or refuses it for its inputs.
   * @param limits - room that its route may take
   * @returns false if there is no route within the limits
   */
  private trySend(limits?: RoomLimits): boolean {
    const target = this.routes.choose([], limits);
    if (target === undefined) return false;
    if (!this.mayBeSent()) this.refuseQuarantined();
    else if (!this.send(target)) this.failWith(RefusalReason.ServerLost);
    return true;
  }

  /** Takes the request back from its server if an input of it has been quarantined since it was sent. */
  public withdrawIfQuarantined(): void {
    if (this.ended || this.recorder.hasAnswer) return;
    this.guard(() => {
      if (!this.terms.isQuarantined) return;
      if (this.sendTracker.sendCount === 0) this.refuseQuarantined();
      else this.refuse(RefusalReason.Withdrawn, Outcome.Unknown, 0);
    });
  }

  public cancel(): void {
    this.guard(() => this.finish(RelayEnd.CallerGone));
  }

  public evict(): void {
    this.guard(() => {
      if (this.ended) this.assigned.reply.abort();
      else this.failWith(RefusalReason.Evicted);
    });
  }

  protected get msLeft(): number {
    return this.assigned.endsAt - this.dependencies.clock.now();
  }

  protected abstract createAttempt(opening: AttemptOpening): A;

  protected abstract listener(attempt: A): ServerCallListener;

  /** Id of the last event that the caller has; the next server resumes after it. */
  protected get resumeAfter(): string | undefined {
    return this.assigned.request.resumeAfter;
  }

  /**
   * Sends the request to a server.
   * @returns false if the server is gone or the retry budget is empty
   */
  protected send(target: SendTarget): boolean {
    const { clock, directory, port, load, invariants, serverLimits, pace } = this.dependencies;
    const server = directory.get(target.server);
    if (server === undefined || !this.sendTracker.recordSend(server.record, clock.now()))
      return false;
    invariants.check(
      InvariantKind.LeavingGetsNoWork,
      !server.leaving,
      () => `request ${this.assigned.request.id} was sent to leaving server ${target.server}`,
    );
    this.sendTracker.markInFlight();
    serverLimits.recordSend(server.record);
    const { request, service, account, rank, competes } = this.assigned;
    const { stages } = target;
    this.routes.recordTransfers(stages);
    const promptTokens = request.prompt?.promptTokens ?? 0;
    const trial = pace.startTrial(service, stages, target.server, promptTokens);
    // A plain service has no stages, so a stage without layers counts the request at its server.
    const reservedStages =
      stages.length > 0 ? stages : [{ server: target.server, address: '', from: 0, to: 0 }];
    const tokens = this.routes.reservedTokens;
    const reservation = new WorkReservation(load, reservedStages, tokens, promptTokens);
    const { memory } = request;
    const attempt = this.createAttempt({
      target,
      process: server.record,
      reservation,
      trial,
      memory,
    });
    this.attempts.push(attempt);
    this.dependencies.decisions.record('send', {
      id: request.id,
      server: target.server,
      revision: describeRevision(server.revision),
      route: describeStages(stages),
      domains: describeDomains(stages),
      inputs: this.assigned.inputs.join(','),
      msLeft: Math.round(this.msLeft),
    });
    const call = {
      request,
      server: server.record,
      stages,
      deadlineMs: Math.max(1, Math.floor(this.msLeft)),
      account,
      resumeAfter: this.resumeAfter,
      ...(competes && { urgency: Math.min(rank, MAX_URGENCY) }),
    };
    attempt.connect(port.call(call, this.whileOpen(attempt, this.listener(attempt))));
    if (this.isPaused) attempt.pause();
    return true;
  }

  /** Whether the answer is not read, because the caller has not taken what was written to it. */
  protected get isWaitingForCaller(): boolean {
    return this.isPaused;
  }

  /** Writes a part of the answer, and stops reading the answer until the caller has taken it. */
  protected writePart(bytes: Buffer): void {
    const { reply } = this.assigned;
    if (reply.write(bytes) || this.isPaused) return;
    this.isPaused = true;
    for (const attempt of this.attempts) attempt.pause();
    reply.onceTaken(() => {
      this.isPaused = false;
      if (!this.ended) this.guard(() => this.resumeAnswer());
    });
  }

  /** Reads the answer on, once the caller has taken what was written to it. */
  protected resumeAnswer(): void {
    for (const attempt of this.attempts) attempt.resume();
  }

  /** Drops what arrives for an attempt after it was closed. */
  private whileOpen(attempt: A, listener: ServerCallListener): ServerCallListener {
    const guarded = guardListener(listener, (step) => {
      if (!this.ended && attempt.isOpen) this.guard(step);
    });
    const { standstill } = this.dependencies;
    let isRejected = false;
    return {
      ...guarded,
      onHead: (head) => {
        isRejected = head.notExecuted;
        guarded.onHead(head);
      },
      // These may send the request to another server.
      onEnd: () => (isRejected ? standstill.whenInformed(guarded.onEnd) : guarded.onEnd()),
      onFailure: (failure) => standstill.whenInformed(() => guarded.onFailure(failure)),
    };
  }

  /**
   * Closes an attempt that has ended.
   * @param mayHaveRun - whether its server may have run the request
   */
  protected endAttempt(attempt: A, mayHaveRun: boolean): void {
    this.sendTracker.recordResult(mayHaveRun);
    this.attempts.splice(this.attempts.indexOf(attempt), 1);
    attempt.close();
  }

  /** Runs a step of the request. An exception ends this request and no other. */
  protected guard(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.endAfterError(error as Error);
    }
  }

  /** Ends the request after an unexpected error, with an answer if none has begun. */
  protected endAfterError({ message, stack }: Error): void {
    const { counters, decisions } = this.dependencies;
    const { request, reply, route } = this.assigned;
    counters.countError(route.kind);
    decisions.record('request-error', { id: request.id, error: message, stack });
    try {
      if (this.ended) reply.abort();
      else this.failWith(RefusalReason.InternalError);
    } catch {
      // The refusal failed as well; the first error, logged above, is the one to look for.
      reply.abort();
      this.finish(RelayEnd.Aborted);
    }
  }

  /**
   * Resends the request if a server is available and the route's server limit, the retry budget and the
   * remaining time allow it.
   * @param failed - server that new routes avoid from now on
   * @returns why the request was not resent; undefined if it was
   */
  protected retry(reason: RetryReason, failed: string): RetryObstacle | undefined {
    this.avoid(reason, failed);
    return this.resend(reason, failed);
  }

  /** Keeps new routes from a server that failed. */
  protected avoid(reason: RetryReason, failed: string): void {
    this.routes.avoided.add(failed, AVOID_CAUSES[reason] ?? AvoidCause.Lost);
  }

  /**
   * Resends the request as `retry` does, without another server to avoid.
   * @param failed - server that failed last
   */
  protected resend(reason: RetryReason, failed: string): RetryObstacle | undefined {
    const target = this.findRetryTarget();
    if (typeof target === 'string') return this.noteObstacle(reason, failed, target);
    const { clock, counters, decisions } = this.dependencies;
    const { request } = this.assigned;
    counters.countRetry(reason);
    decisions.record('retry', {
      id: request.id,
      reason,
      failed,
      next: target.server,
      sends: this.sendTracker.sendCount,
      ageMs: Math.round(clock.now() - request.arrivedAt),
    });
    return this.send(target)
      ? undefined
      : this.noteObstacle(reason, failed, RetryObstacle.RetryBudget);
  }

  private findRetryTarget(): SendTarget | RetryObstacle {
    if (this.ended || this.msLeft < MIN_SEND_MS) return RetryObstacle.Time;
    if (!this.sendTracker.hasRetryBudget(this.dependencies.clock.now()))
      return RetryObstacle.RetryBudget;
    const target = this.routes.choose(this.attempts);
    if (target === undefined)
      return this.sendTracker.isServerLimitReached
        ? RetryObstacle.ServerLimit
        : RetryObstacle.NoRoute;
    if (!this.sendTracker.allowsServer(target.server)) return RetryObstacle.ServerLimit;
    return this.mayBeSent() ? target : RetryObstacle.Quarantined;
  }

  /** Logs why the request was not resent, once for each obstacle. */
  protected noteObstacle(
    reason: RetryReason,
    failed: string,
    obstacle: RetryObstacle,
  ): RetryObstacle {
    if (this.obstacle !== obstacle && !this.ended)
      this.dependencies.decisions.record('not-resent', {
        id: this.assigned.request.id,
        reason,
        failed,
        obstacle,
        sends: this.sendTracker.sendCount,
        msLeft: Math.round(this.msLeft),
      });
    this.obstacle = obstacle;
    return obstacle;
  }

  /** Whether the request may be sent, resumed or rerouted to further servers, as far as its inputs go. */
  protected mayBeSent(): boolean {
    const { quarantine } = this.dependencies;
    return this.recorder.hasAnswer || quarantine.refuse(this.assigned.inputs) === undefined;
  }

  protected recordLoss(server: string, failure: CallFailure, hasBegun: boolean): void {
    this.recorder.recordLoss(server, failure, hasBegun, this.sendTracker.sendCount);
  }

  /**
   * Refuses a request that cannot be answered; the outcome states whether it may have run.
   * @param reason - reported if the request may have run; otherwise `NoRoute` is reported
   */
  protected failWith(reason: RefusalReason): void {
    if (this.sendTracker.mayHaveRun) this.refuse(reason, Outcome.Unknown, 0);
    else if (this.terms.isQuarantined) this.refuseQuarantined();
    else this.refuseNotRun(RefusalReason.NoRoute);
  }

  /** Refuses a request that no server has run, because of a quarantined part. */
  private refuseQuarantined(): void {
    this.refuse(RefusalReason.Quarantined, Outcome.NotRun, this.terms.quarantineDelayMs);
  }

  protected refuseNotRun(reason: RefusalReason): void {
    this.refuse(reason, Outcome.NotRun, this.terms.recordNotRun());
  }

  /** Closes all attempts. */
  private release(): void {
    for (const attempt of this.attempts) attempt.close();
    this.attempts.length = 0;
  }

  protected finish(end: RelayEnd): void {
    if (this.ended) return;
    this.ended = true;
    this.timer.dispose();
    this.admission?.dispose();
    this.release();
    const { counters, decisions, clock } = this.dependencies;
    const { request, route, service } = this.assigned;
    if (end === RelayEnd.Complete) this.terms.recordComplete();
    counters.countEnd(route.kind, end);
    decisions.record('end', {
      id: request.id,
      route: route.name,
      service: service.name,
      end,
      sends: this.sendTracker.sendCount,
      servers: [...this.sendTracker.usedServers].join(','),
      ms: Math.round(clock.now() - request.arrivedAt),
      ...(end !== RelayEnd.Complete && this.describeBegun()),
    });
    for (const listener of this.endListeners) listener(this);
  }

  /** Refuses the request because its time limit has passed. */
  protected expire(): void {
    if (this.sendTracker.mayHaveRun) this.refuse(RefusalReason.DeadlinePassed, Outcome.Unknown, 0);
    else this.refuseNotRun(RefusalReason.DeadlineUnreachable);
  }

  protected refuse(reason: RefusalReason, outcome: Outcome, retryAfterMs: number): void {
    if (this.ended) return;
    const { counters, decisions, deployments } = this.dependencies;
    const { request, reply, service } = this.assigned;
    counters.countRefusal(reason);
    if (this.hasBegun) counters.countCut(this.obstacle ?? reason);
    decisions.record('refuse', {
      id: request.id,
      reason,
      outcome,
      service: service.name,
      sends: this.sendTracker.sendCount,
      avoided: this.routes.describeAvoided(),
      servers: this.routes.countUsable(),
      retryAfterMs: Math.round(retryAfterMs),
      ...(this.obstacle !== undefined && { obstacle: this.obstacle }),
      ...this.describeBegun(),
      ...(isQuarantine(reason) ? this.terms.explainQuarantine() : this.routes.explainNoRoute()),
      ticket: deployments.ticket,
    });
    this.finishRefused(() =>
      reply.refuse(refusal(outcome, reason, REFUSAL_MESSAGES[reason] ?? reason, retryAfterMs)),
    );
  }

  /** Ends the request and sends the refusal; relays that have begun an answer abort it instead. */
  protected finishRefused(sendRefusal: () => void): void {
    this.finish(RelayEnd.Refused);
    sendRefusal();
  }

  /** What is told of an answer that has begun and ends before it is complete. */
  private describeBegun(): DecisionFields {
    return this.hasBegun ? { begun: true, msLeft: Math.round(this.msLeft) } : {};
  }
}

/** Returns the reason that is reported for a failed call. */
export function lossReason(failure: CallFailure): RefusalReason {
  return failure === CallFailure.TooLong ? RefusalReason.AnswerTooLong : RefusalReason.ServerLost;
}
