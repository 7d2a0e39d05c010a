/** Base class of relays: one final answer, one timer for the time limit and one log line at the end. */
import type { Disposable } from '../../ports/Types.js';
import type { DecisionFields } from '../DecisionLog.js';
import { InvariantKind } from '../Invariant.js';
import { Outcome, refusal, RefusalReason, type RetryReason } from '../Outcome.js';
import type { RoomLimits } from '../admission/RoomLimits.js';
import type { BackendServer, EngineProfile } from '../deployment/Types.js';
import type { RetryAfterEstimator } from '../limits/RetryAfterEstimator.js';
import type { PaceTrial } from '../pace/PaceTrial.js';
import type { NoRouteReason, RouteRequirements } from '../routing/EngineRoutes.js';
import { describeDomains, describeStages } from '../routing/StageText.js';
import { describeRevision } from '../store/Revision.js';
import { ServerRole, type Stage } from '../routing/Types.js';
import { choosePlainServer } from '../routing/PlainServerChoice.js';
import { WorkReservation } from '../routing/WorkReservation.js';
import { AnswerVerdict, judgeAnswer, type RepeatPolicy } from './AnswerGate.js';
import { guardListener } from './ListenerGuard.js';
import { REFUSAL_MESSAGES } from './RefusalMessages.js';
import { RelayEnd, type AssignedRequest, type RelayDependencies } from './RelayDependencies.js';
import { RetryObstacle } from './RetryObstacle.js';
import { SendTracker } from './SendTracker.js';
import {
  CallFailure,
  MAX_URGENCY,
  type AnswerHead,
  type Relay,
  type ServerCallListener,
  type ServerConnection,
} from './Types.js';

/** The first server of a route and the stages of the route; no stages for plain services. */
export interface SendTarget {
  readonly server: string;
  readonly stages: readonly Stage[];
}

/** Maximum size of an answer that is buffered, in bytes. `MemoryBudget` bounds all answers together. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Minimum time that an answer takes, in milliseconds; with less time left a request is not resent. */
const MIN_SEND_MS = 15;

/**
 * Minimum retry-after delay of a request with a quarantined part, in milliseconds, once instances take turns
 * to try the part again.
 */
const MIN_QUARANTINE_DELAY_MS = 2000;

/** Time over which callers return after the end of a pause of servers, in milliseconds. */
const RETURN_SPREAD_MS = 500;

export abstract class BaseRelay implements Relay {
  protected readonly sendTracker: SendTracker;

  /** Servers that new routes of this request avoid, because they failed it or are leaving. */
  protected readonly avoidedServers = new Set<string>();

  protected ended = false;

  /** Whether the caller has a part of an answer. */
  protected hasBegun = false;

  /** Whether a server has answered the request, so that it is not what crashes servers. */
  private isProven = false;

  /** The server of the last send, as it was then. */
  private sentTo: BackendServer | undefined;

  private readonly timer: Disposable;

  private call: ServerConnection | undefined;

  private isPaused = false;

  private reservation: WorkReservation | undefined;

  /** Withdraws the request from admission; undefined if it needs none. */
  private admission: Disposable | undefined;

  /** Limits on the room that the next route may use. */
  private roomLimits: RoomLimits | undefined;

  /** What the answer to the last send tells of its servers; undefined once their route has changed. */
  private trial: PaceTrial | undefined;

  /** Why the request was not sent once more after the last send; undefined if that was not tried. */
  private obstacle: RetryObstacle | undefined;

  private readonly endListeners: ((relay: BaseRelay) => void)[] = [];

  public constructor(
    protected readonly dependencies: RelayDependencies,
    protected readonly assigned: AssignedRequest,
  ) {
    const { route, service, endsAt } = assigned;
    this.sendTracker = new SendTracker({
      maxServers: route.maxServers,
      service: service.name,
      retryBudget: dependencies.retryBudget,
    });
    this.timer = dependencies.clock.schedule(Math.max(0, endsAt - dependencies.clock.now()), () =>
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
      if (competes && service.engine !== undefined) this.askForAdmission(service.engine);
      else if (!this.trySend()) this.refuseNotRun(RefusalReason.NoRoute);
    });
  }

  private askForAdmission(engine: EngineProfile): void {
    const { request, service, route, account, rank, inputs } = this.assigned;
    this.admission = this.dependencies.admission.submit({
      service: service.name,
      route: route.name,
      account,
      rank,
      id: request.id,
      fingerprint: inputs.at(-1) as string,
      tokens: this.reservedTokens,
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
      explainNoRoute: () => this.dependencies.routes.explainNoRoute(this.routeRequirements(engine)),
      refuse: (reason) => this.guard(() => this.refuseNotRun(reason)),
    });
    // Admission may have refused the request at once, after which there is nothing left to withdraw.
    if (this.ended) this.admission.dispose();
  }

  /**
   * Sends the request for the first time, or refuses it for its inputs.
   * @returns false if there is no route within the limits
   */
  private trySend(limits?: RoomLimits): boolean {
    this.roomLimits = limits;
    const target = this.chooseTarget();
    this.roomLimits = undefined;
    if (target === undefined) return false;
    if (this.mayBeSent()) this.send(target);
    else this.refuseQuarantined();
    return true;
  }

  /** Takes the request back from its server if an input of it has been quarantined since it was sent. */
  public withdrawIfQuarantined(): void {
    const { quarantine } = this.dependencies;
    if (this.ended || this.isProven) return;
    this.guard(() => {
      if (quarantine.find(this.assigned.inputs).length === 0) return;
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

  protected abstract listener(target: SendTarget): ServerCallListener;

  /** Number of tokens for which the request needs memory on its servers. */
  protected get reservedTokens(): number {
    const { prompt } = this.assigned.request;
    const { engine } = this.assigned.service;
    if (prompt === undefined) return engine?.usualPromptTokens ?? 0;
    return prompt.promptTokens + Math.min(prompt.maxAnswerTokens, engine?.usualAnswerTokens ?? 0);
  }

  /** Id of the last event that the caller has; the next server resumes after it. */
  protected get resumeAfter(): string | undefined {
    return this.assigned.request.resumeAfter;
  }

  protected chooseTarget(): SendTarget | undefined {
    const { service } = this.assigned;
    if (service.engine === undefined) return this.choosePlainTarget();
    const stages = this.dependencies.routes.plan(this.routeRequirements(service.engine));
    return stages && { server: stages[0].server, stages };
  }

  protected send(target: SendTarget): void {
    const { clock, directory, port, load, invariants, serverLimits, pace } = this.dependencies;
    const server = directory.get(target.server);
    if (server === undefined || !this.sendTracker.recordSend(target.server, clock.now())) {
      this.failWith(RefusalReason.ServerLost);
      return;
    }
    invariants.check(
      InvariantKind.LeavingGetsNoWork,
      !server.leaving,
      () => `request ${this.assigned.request.id} was sent to leaving server ${target.server}`,
    );
    this.release();
    this.sentTo = server.record;
    serverLimits.recordSend(server.record);
    this.sendTracker.markInFlight();
    const { request, account, rank, competes } = this.assigned;
    const { stages } = target;
    this.recordTransfers(stages);
    const promptTokens = request.prompt?.promptTokens ?? 0;
    this.trial = pace.startTrial(this.assigned.service, stages, target.server, promptTokens);
    // A plain service has no stages, so a stage without layers counts the request at its server.
    const reservedStages =
      stages.length > 0 ? stages : [{ server: target.server, address: '', from: 0, to: 0 }];
    this.reservation = new WorkReservation(load, reservedStages, this.reservedTokens, promptTokens);
    this.dependencies.decisions.record('send', {
      id: request.id,
      server: target.server,
      revision: describeRevision(server.revision),
      route: describeStages(stages),
      domains: describeDomains(stages),
      inputs: this.assigned.inputs.join(','),
      msLeft: Math.round(this.msLeft),
    });
    this.call = port.call(
      {
        request,
        server: server.record,
        stages,
        deadlineMs: Math.max(1, Math.floor(this.msLeft)),
        account,
        resumeAfter: this.resumeAfter,
        ...(competes && { urgency: Math.min(rank, MAX_URGENCY) }),
      },
      this.whileCurrent(this.listener(target)),
    );
    if (this.isPaused) this.call.pause();
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
    this.call?.pause();
    reply.onceTaken(() => {
      this.isPaused = false;
      if (!this.ended) this.guard(() => this.resumeAnswer());
    });
  }

  /** Reads the answer on, once the caller has taken what was written to it. */
  protected resumeAnswer(): void {
    this.call?.resume();
  }

  /** Drops what arrives for a send that has been given up for another one, or after the end of the request. */
  private whileCurrent(listener: ServerCallListener): ServerCallListener {
    const { sendCount } = this.sendTracker;
    const guarded = guardListener(listener, (step) => {
      if (!this.ended && this.sendTracker.sendCount === sendCount) this.guard(step);
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
    this.avoidedServers.add(failed);
    const target = this.findRetryTarget();
    if (typeof target === 'string') return this.noteObstacle(reason, failed, target);
    const { clock, counters, decisions } = this.dependencies;
    counters.countRetry(reason);
    decisions.record('retry', {
      id: this.assigned.request.id,
      reason,
      failed,
      next: target.server,
      sends: this.sendTracker.sendCount,
      ageMs: Math.round(clock.now() - this.assigned.request.arrivedAt),
    });
    this.obstacle = undefined;
    this.send(target);
    return undefined;
  }

  private findRetryTarget(): SendTarget | RetryObstacle {
    if (this.ended || this.msLeft < MIN_SEND_MS) return RetryObstacle.Time;
    if (!this.sendTracker.hasRetryBudget(this.dependencies.clock.now()))
      return RetryObstacle.RetryBudget;
    const target = this.chooseTarget();
    if (target === undefined)
      return this.sendTracker.isServerLimitReached
        ? RetryObstacle.ServerLimit
        : RetryObstacle.NoRoute;
    if (!this.sendTracker.allowsServer(target.server)) return RetryObstacle.ServerLimit;
    return this.mayBeSent() ? target : RetryObstacle.Quarantined;
  }

  /** Logs why the request was not resent, once for each send and obstacle. */
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

  /**
   * Judges the head of an answer, and logs why the answer must not reach the caller if that is so.
   * @returns what may be done with the answer
   */
  protected judge(server: string, head: AnswerHead, policy: RepeatPolicy): AnswerVerdict {
    const { verdict, reason } = judgeAnswer(head, policy);
    if (verdict === AnswerVerdict.Discard) {
      const { id } = this.assigned.request;
      const { status } = head;
      this.dependencies.decisions.record('answer-discarded', {
        id,
        server,
        reason,
        status,
        policy,
      });
    }
    return verdict;
  }

  /** Records what the head of an answer says about its server. */
  protected recordHead({ signed, notExecuted, misdirected, requestsPerSecond }: AnswerHead): void {
    // Other heads may not be the server's own.
    if (this.sentTo === undefined || misdirected || !(signed || notExecuted)) return;
    this.dependencies.serverLimits.recordAnswer(this.sentTo, requestsPerSecond);
  }

  /** Records that a server turned the request away. One that asked for a pause is neither full nor declining. */
  protected noteRejection(id: string): void {
    const { directory, serverAdmission } = this.dependencies;
    const server = directory.get(id);
    if (server !== undefined && !serverAdmission.isHeldBack(server)) directory.noteRejection(id);
  }

  /** Whether the request may be sent, resumed or rerouted to further servers, as far as its inputs go. */
  protected mayBeSent(): boolean {
    const { quarantine } = this.dependencies;
    return this.isProven || quarantine.refuse(this.assigned.inputs) === undefined;
  }

  /** Records that a server has answered the request, so that its inputs are sound. */
  protected recordAnswer(): void {
    if (this.isProven) return;
    this.isProven = true;
    this.dependencies.quarantine.recordAnswer(this.assigned.inputs);
  }

  /**
   * Logs the loss of a call, and has it examined whether the request crashed the server.
   * @param hasBegun - whether the server had begun the answer
   */
  protected recordLoss(server: string, failure: CallFailure, hasBegun: boolean): void {
    const { request } = this.assigned;
    if (failure === CallFailure.ConnectionLost && !this.isProven)
      this.dependencies.crashWitness.examineLoss(server, this.assigned.inputs);
    this.dependencies.decisions.record('lost', {
      id: request.id,
      server,
      failure,
      hasBegun,
      sends: this.sendTracker.sendCount,
      inputs: this.assigned.inputs.join(','),
    });
  }

  /** Counts the transfers between failure domains on a route that the request is about to take. */
  protected recordTransfers(stages: readonly Stage[], before: readonly Stage[] = []): void {
    const { engine } = this.assigned.service;
    if (engine === undefined) return;
    this.dependencies.routes.recordTransfers(this.routeRequirements(engine), stages, before);
  }

  /**
   * Records that the servers of the last send have begun or given its answer.
   * @param isGood - whether the answer shows that they work; a failure may be fast
   */
  protected recordAcceptance(servers: readonly string[], isGood = true): void {
    const { directory, pace } = this.dependencies;
    for (const server of servers) directory.noteAcceptance(server);
    if (isGood && this.trial !== undefined) pace.recordAnswer(this.trial);
    this.trial = undefined;
  }

  /**
   * Records that a server rejected the request.
   * @param isNamed - whether it is known to be the one at fault
   */
  protected recordRejection(server: string, isNamed: boolean): void {
    this.noteRejection(server);
    if (isNamed && this.trial !== undefined)
      this.dependencies.pace.recordRejection(this.trial, server);
  }

  protected moveReservation(stages: readonly Stage[]): void {
    this.trial = undefined;
    this.reservation?.reroute(stages);
  }

  protected endPrefill(): void {
    this.reservation?.endPrefill();
  }

  /**
   * Refuses a request that cannot be answered; the outcome states whether it may have run.
   * @param reason - reported if the request may have run; otherwise `NoRoute` is reported
   */
  protected failWith(reason: RefusalReason): void {
    if (this.sendTracker.mayHaveRun) {
      this.refuse(reason, Outcome.Unknown, 0);
      return;
    }
    const { quarantine } = this.dependencies;
    if (quarantine.find(this.assigned.inputs).length > 0) this.refuseQuarantined();
    else this.refuseNotRun(RefusalReason.NoRoute);
  }

  /** Refuses a request that no server has run, because of a quarantined part. */
  private refuseQuarantined(): void {
    const { clock, quarantine } = this.dependencies;
    const now = clock.now();
    let heldUntil = now;
    for (const found of quarantine.find(this.assigned.inputs))
      heldUntil = Math.max(heldUntil, found.heldUntil);
    const retryAfterMs = Math.max(MIN_QUARANTINE_DELAY_MS, heldUntil - now);
    this.refuse(RefusalReason.Quarantined, Outcome.NotRun, retryAfterMs);
  }

  protected refuseNotRun(reason: RefusalReason): void {
    const { clock } = this.dependencies;
    const { retryAfterEstimator } = this;
    const now = clock.now();
    retryAfterEstimator.record(true, now);
    const { request } = this.assigned;
    const msLeft = request.arrivedAt + request.deadlineMs - now;
    const delayMs = this.pauseMs ?? retryAfterEstimator.delayMs(msLeft, now);
    this.refuse(reason, Outcome.NotRun, delayMs);
  }

  /** Time until the service can be used again, in milliseconds, if servers asked for a pause; with some spread. */
  private get pauseMs(): number | undefined {
    const { serverAdmission, clock, directory, random } = this.dependencies;
    const { name, engine } = this.assigned.service;
    const until = serverAdmission.heldUntil(directory.all(), name, engine?.layers ?? 0);
    return until && until - clock.now() + random.next() * RETURN_SPREAD_MS;
  }

  private get retryAfterEstimator(): RetryAfterEstimator {
    const { competes, service, rank } = this.assigned;
    const { admission, retryAfterEstimator } = this.dependencies;
    return competes ? admission.retryAfterEstimator(service.name, rank) : retryAfterEstimator;
  }

  /** Disposes the call and the work reservation of the last send. */
  protected release(): void {
    this.call?.dispose();
    this.call = undefined;
    this.reservation?.dispose();
    this.reservation = undefined;
  }

  protected finish(end: RelayEnd): void {
    if (this.ended) return;
    this.ended = true;
    this.timer.dispose();
    this.admission?.dispose();
    this.release();
    const { counters, decisions, clock } = this.dependencies;
    const { request, route, service } = this.assigned;
    if (end === RelayEnd.Complete) this.retryAfterEstimator.record(false, clock.now());
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
      avoided: [...this.avoidedServers].join(','),
      servers: countUsable(this.dependencies, service.name),
      retryAfterMs: Math.round(retryAfterMs),
      ...(this.obstacle !== undefined && { obstacle: this.obstacle }),
      ...this.describeBegun(),
      ...(isQuarantine(reason) ? this.explainQuarantine() : this.explainNoRoute()),
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

  private explainQuarantine(): DecisionFields {
    const { quarantine, clock } = this.dependencies;
    const [found] = quarantine.find(this.assigned.inputs);
    if (found === undefined) return {};
    const { part, crashes, lastCrashAt } = found;
    return { part, crashes, lastCrashMsAgo: Math.round(clock.now() - lastCrashAt) };
  }

  private explainNoRoute(): Partial<NoRouteReason> {
    const { service } = this.assigned;
    return service.engine === undefined
      ? {}
      : this.dependencies.routes.explainNoRoute(this.routeRequirements(service.engine));
  }

  protected routeRequirements(engine: EngineProfile): RouteRequirements {
    const { service } = this.assigned;
    const requirements = {
      service,
      engine,
      tokens: this.reservedTokens,
      avoid: this.avoidedServers,
      kept: [],
      limits: this.roomLimits,
    };
    return this.sendTracker.isServerLimitReached
      ? { ...requirements, firstServers: this.sendTracker.usedServers }
      : requirements;
  }

  private choosePlainTarget(): SendTarget | undefined {
    const { directory, load, localDomain, serverAdmission, pace } = this.dependencies;
    const { name } = this.assigned.service;
    const server = choosePlainServer({
      directory,
      load,
      serverAdmission,
      pace,
      service: name,
      localDomain,
      avoid: this.avoidedServers,
    });
    return server && { server: server.record.id, stages: [] };
  }
}

/** Returns the reason that is reported for a failed call. */
export function lossReason(failure: CallFailure): RefusalReason {
  return failure === CallFailure.TooLong ? RefusalReason.AnswerTooLong : RefusalReason.ServerLost;
}

function isQuarantine(reason: RefusalReason): boolean {
  return reason === RefusalReason.Quarantined || reason === RefusalReason.Withdrawn;
}

function countUsable({ directory, serverAdmission }: RelayDependencies, service: string): number {
  let count = 0;
  for (const server of directory.all()) {
    if (server.record.service !== service) continue;
    if (serverAdmission.obstacle(server, ServerRole.Later) === undefined) count += 1;
  }
  return count;
}
