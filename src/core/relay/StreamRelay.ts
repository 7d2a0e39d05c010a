/**
 * Relays an event stream.
 *
 * Only complete events are forwarded, so the caller never sees part of an event from a server that fails.
 * The response head is withheld until the first event: until then the request can be resent to another
 * server without the caller noticing. A stream that loses a later server on its route keeps its first
 * server and is rerouted; one that loses its first server resumes at another one, after the last event
 * that the caller has received.
 *
 * A first server that is only silent keeps the stream until another one has begun: both calls are read, and
 * the one that gives the next event goes on alone. An answer that has begun and has no server left waits for
 * one.
 */
import { RefusalReason, RetryReason } from '../Outcome.js';
import type { StartPlace } from '../limits/StartWindows.js';
import { AnswerVerdict, FIRST_FAILURE_STATUS, RepeatPolicy } from './AnswerGate.js';
import type { AttemptOpening } from './Attempt.js';
import { AvoidCause } from './AvoidedServers.js';
import { BaseRelay, lossReason, MAX_BUFFERED_BYTES, MIN_SEND_MS } from './BaseRelay.js';
import { retryReason } from './CallRelay.js';
import type { EventBatch } from './EventSplitter.js';
import { RelayEnd } from './RelayDependencies.js';
import { ResendPause } from './ResendPause.js';
import { RetryObstacle } from './RetryObstacle.js';
import { StreamAttempt, type AttemptOwner } from './StreamAttempt.js';
import { REROUTE_PAUSE_MS, StreamRerouter } from './StreamRerouter.js';
import { SuccessionEnd, SuccessionLog } from './SuccessionLog.js';
import { CallFailure, type AnswerHead, type ServerCallListener } from './Types.js';

/** Events after which a request is not what crashes its server: a crash may follow the first one. */
const PROVING_EVENTS = 2;

/** Maximum size of one event, in bytes; each open stream may hold this much. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Obstacles that may be gone a moment later. */
const PASSING_OBSTACLES: ReadonlySet<RetryObstacle> = new Set([
  RetryObstacle.RetryBudget,
  RetryObstacle.NoRoute,
  RetryObstacle.ServerLimit,
]);

/** An attempt that gave no answer. */
interface FailedAttempt {
  /** Whether no attempt has been made since. */
  readonly isLatest: boolean;
  readonly reason: RetryReason;
  /** The server that failed. */
  readonly server: string;
  readonly refusal: RefusalReason;
  /** Whether the request may be sent once more. */
  readonly isRepeatable: boolean;
  /** Whether the same servers may give an answer a moment later. */
  readonly mayPass: boolean;
}

export class StreamRelay extends BaseRelay<StreamAttempt> implements AttemptOwner {
  /** Id of the last event that the caller has; NaN if it has none. */
  public lastId = Number(this.assigned.request.resumeAfter ?? Number.NaN);

  private startPlace: StartPlace | undefined;

  private readonly pause = new ResendPause(this.dependencies.clock, this.dependencies.random);

  private readonly successions = new SuccessionLog(this.dependencies);

  private readonly rerouter = new StreamRerouter(this.dependencies, this.routes, () =>
    this.mayBeSent(),
  );

  public get id(): string {
    return this.assigned.request.id;
  }

  public get reservedTokens(): number {
    return this.routes.reservedTokens;
  }

  public get isUnread(): boolean {
    return this.isWaitingForCaller;
  }

  public override start(): void {
    const { route, service } = this.assigned;
    if (route.objectiveMs !== undefined) {
      this.startPlace = this.dependencies.startWindows.open(service.name, route.objectiveMs);
      if (this.startPlace === undefined) {
        this.guard(() => this.refuseNotRun(RefusalReason.Overloaded));
        return;
      }
    }
    super.start();
  }

  public rerouteAround(
    attempt: StreamAttempt,
    servers: ReadonlySet<string>,
    reason: RetryReason,
  ): void {
    if (!attempt.isOpen || attempt.isRerouting || attempt.stages.length === 0) return;
    const { clock, standstill } = this.dependencies;
    if (clock.now() < attempt.nextRerouteAt || standstill.isBehind()) return;
    this.guard(() => this.moveOff(attempt, servers, reason));
  }

  private moveOff(attempt: StreamAttempt, servers: ReadonlySet<string>, reason: RetryReason): void {
    for (const server of servers) this.routes.avoided.add(server, AvoidCause.Lost);
    if (!servers.has(attempt.server)) {
      this.reroute(attempt, reason).catch((error: Error) => this.endAfterError(error));
      return;
    }
    // A leaving first server keeps serving; the stream resumes elsewhere only once its connection is lost.
    if (reason !== RetryReason.Leaving) this.resumeElsewhere(attempt, reason);
  }

  private async reroute(attempt: StreamAttempt, reason: RetryReason): Promise<void> {
    if (await this.rerouter.reroute(attempt, this.attempts, reason))
      this.resumeElsewhere(attempt, RetryReason.Silence);
  }

  protected createAttempt(opening: AttemptOpening): StreamAttempt {
    const { streamRegistry, clock } = this.dependencies;
    return new StreamAttempt(opening, this, streamRegistry, clock.now());
  }

  protected listener(attempt: StreamAttempt): ServerCallListener {
    return {
      onHead: (head) => {
        this.recorder.judge(attempt, head, this.repeatPolicy);
        if (attempt.verdict === AnswerVerdict.Discard)
          this.handleFailure(attempt, CallFailure.MismatchedAnswer);
      },
      onData: (chunk) => this.handleChunk(attempt, chunk),
      onEnd: () => this.handleAnswer(attempt),
      onFailure: (failure) => this.handleFailure(attempt, failure),
    };
  }

  protected override resumeAnswer(): void {
    for (const attempt of this.attempts) attempt.lastEventAt = this.dependencies.clock.now();
    super.resumeAnswer();
  }

  protected override get resumeAfter(): string | undefined {
    return this.hasBegun && !Number.isNaN(this.lastId) ? String(this.lastId) : super.resumeAfter;
  }

  protected override finish(end: RelayEnd): void {
    this.pause.dispose();
    if (end === RelayEnd.CallerGone) this.startPlace?.recordAbandonment();
    this.startPlace?.dispose();
    super.finish(end);
  }

  protected override expire(): void {
    this.startPlace?.recordAbandonment();
    super.expire();
  }

  protected override finishRefused(sendRefusal: () => void): void {
    if (!this.hasBegun) {
      super.finishRefused(sendRefusal);
      return;
    }
    this.finish(RelayEnd.Aborted);
    this.assigned.reply.abort();
  }

  private get repeatPolicy(): RepeatPolicy {
    if (this.hasBegun) return RepeatPolicy.ResumedStream;
    return this.assigned.route.resumable
      ? RepeatPolicy.RepeatableStream
      : RepeatPolicy.SingleStream;
  }

  /**
   * Whether the connection alone ended a stream that has no events. One that resumes after the last event has
   * none either.
   */
  private hasEndedBeforeFirstEvent({ head, events }: StreamAttempt): boolean {
    return head?.isDelimited === false && events === 0 && this.resumeAfter === undefined;
  }

  private handleChunk(attempt: StreamAttempt, chunk: Buffer): void {
    if (!attempt.isStream) {
      if (attempt.keptBytes + chunk.length > MAX_BUFFERED_BYTES)
        this.handleFailure(attempt, CallFailure.TooLong);
      else attempt.keep(chunk);
      return;
    }
    const batch = attempt.push(chunk);
    // The memory that the event takes may end the request.
    if (this.ended) return;
    if (attempt.incompleteBytes > MAX_EVENT_BYTES) {
      this.handleFailure(attempt, CallFailure.TooLong);
      return;
    }
    this.forward(attempt, batch);
    if (batch.gap || batch.isCorrupt) this.handleFailure(attempt, CallFailure.MismatchedAnswer);
  }

  private forward(attempt: StreamAttempt, { bytes, events }: EventBatch): void {
    if (bytes === undefined) return;
    this.continueWith(attempt);
    const { clock, directory, slowStreamProbe } = this.dependencies;
    if (attempt.events === 0) this.recordBeginning(attempt);
    attempt.recordEvents(events, clock.now(), this.hasBegun);
    this.lastId = attempt.lastId;
    this.pause.recordEvent();
    this.obstacle = undefined;
    if (attempt.events >= PROVING_EVENTS) this.recorder.recordAnswer();
    if (this.hasBegun)
      slowStreamProbe?.observe(this.assigned.service, attempt.stages, attempt.averageGapMs);
    for (const { server } of attempt.stages) directory.noteAlive(server);
    if (!this.hasBegun) this.beginAnswer(attempt);
    this.writePart(bytes);
  }

  /** Closes all other attempts, because one goes on with the answer. */
  private continueWith(attempt: StreamAttempt): void {
    if (this.attempts.length === 1) return;
    const at = this.attempts.indexOf(attempt);
    for (const [index, other] of [...this.attempts].entries()) {
      if (other === attempt) continue;
      const end = index < at ? SuccessionEnd.TakenOver : SuccessionEnd.Kept;
      const [from, to] = index < at ? [other, attempt] : [attempt, other];
      this.successions.record(from, to, end);
      if (index > at) this.pause.extend();
      this.endAttempt(other, true);
    }
    for (const { server } of attempt.stages) this.routes.avoided.delete(server);
  }

  /** Records that the servers of an attempt run the request. */
  private recordBeginning(attempt: StreamAttempt): void {
    attempt.endPrefill();
    const servers = attempt.stages.map(({ server }) => server);
    // A resumed answer takes longer to begin than its servers are expected to take.
    this.recorder.recordAcceptance(attempt, servers, !this.hasBegun);
  }

  private beginAnswer(attempt: StreamAttempt): void {
    const { request, reply, route } = this.assigned;
    reply.writeHead(attempt.head as AnswerHead);
    this.hasBegun = true;
    this.startPlace?.recordFirstEvent();
    const ms = attempt.lastEventAt - request.arrivedAt;
    this.dependencies.counters.recordFirstByte(route.kind, ms);
  }

  private handleAnswer(attempt: StreamAttempt): void {
    if (!attempt.isStream) {
      this.handleOtherAnswer(attempt);
      return;
    }
    if (attempt.isInsideEvent || this.hasEndedBeforeFirstEvent(attempt)) {
      this.handleFailure(attempt, CallFailure.ConnectionLost);
      return;
    }
    this.continueWith(attempt);
    if (!this.hasBegun) {
      this.recordBeginning(attempt);
      this.beginAnswer(attempt);
    }
    // A server that crashes may end an undelimited stream after an event.
    if (attempt.head?.isDelimited === true) this.recorder.recordAnswer();
    this.finish(RelayEnd.Complete);
    this.assigned.reply.end();
  }

  /** Handles an answer that is not an event stream. */
  private handleOtherAnswer(attempt: StreamAttempt): void {
    const head = attempt.head as AnswerHead;
    if (head.notExecuted) {
      this.handleRejection(attempt, head);
      return;
    }
    // Another attempt may still give an answer.
    if (head.status >= FIRST_FAILURE_STATUS && this.attempts.length > 1) {
      this.recordFailure(attempt);
      this.endAttempt(attempt, true);
      this.avoid(RetryReason.StageFailed, attempt.server);
      this.pause.extend();
      return;
    }
    this.continueWith(attempt);
    const { reply, request } = this.assigned;
    reply.writeHead(head);
    const chunks = attempt.takeKept();
    this.finish(RelayEnd.Complete);
    reply.endWith(chunks, request.memory);
  }

  private handleRejection(attempt: StreamAttempt, head: AnswerHead): void {
    const blamed = this.recorder.blame(attempt, head, this.sendTracker.sendCount);
    this.goOnAfter(attempt, this.hasBegun, {
      isLatest: this.attempts.at(-1) === attempt,
      reason: RetryReason.StageFailed,
      server: blamed,
      refusal: RefusalReason.ServerLost,
      isRepeatable: true,
      mayPass: true,
    });
  }

  private handleFailure(attempt: StreamAttempt, failure: CallFailure): void {
    const { server } = attempt;
    const notSent = failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout;
    this.recordLoss(server, failure, attempt.events > 0);
    if (notSent) this.sendTracker.releaseServer(server);
    if (failure === CallFailure.MismatchedAnswer)
      this.routes.avoided.add(server, AvoidCause.Untrusted);
    else this.dependencies.directory.suspect(server);
    this.goOnAfter(attempt, !notSent || this.hasBegun, {
      isLatest: this.attempts.at(-1) === attempt,
      reason: retryReason(failure),
      server,
      refusal: lossReason(failure),
      isRepeatable: notSent || this.assigned.route.resumable,
      mayPass: failure !== CallFailure.TooLong,
    });
  }

  /**
   * Goes on after an attempt that gave no answer: with another send, with an attempt that is still open, or
   * after a pause.
   * @param mayHaveRun - whether the server may have run the request
   */
  private goOnAfter(attempt: StreamAttempt, mayHaveRun: boolean, failed: FailedAttempt): void {
    this.recordFailure(attempt);
    this.endAttempt(attempt, mayHaveRun);
    const { reason, server } = failed;
    if (!failed.isLatest) {
      this.avoid(reason, server);
      return;
    }
    let obstacle: RetryObstacle | undefined;
    if (!failed.isRepeatable)
      obstacle = this.noteObstacle(reason, server, RetryObstacle.NotRepeatable);
    else if (this.pause.isOver || !this.hasBegun) {
      obstacle = this.retry(reason, server);
      if (obstacle === undefined) return;
      this.pause.extend();
    } else this.avoid(reason, server);
    if (this.attempts.length === 0) this.waitOrFail(failed, obstacle);
  }

  /** Logs that one of several attempts gave no answer. */
  private recordFailure(attempt: StreamAttempt): void {
    const at = this.attempts.indexOf(attempt);
    if (at > 0) this.successions.record(this.attempts[at - 1], attempt, SuccessionEnd.NewerFailed);
    else if (this.attempts.length > 1)
      this.successions.record(attempt, this.attempts[1], SuccessionEnd.OlderFailed);
  }

  /**
   * Waits for a server that takes an answer that has begun, or ends the request.
   * @param obstacle - why the request was not sent once more; undefined if the pause is not over
   */
  private waitOrFail(failed: FailedAttempt, obstacle: RetryObstacle | undefined): void {
    const isPassing = obstacle === undefined || PASSING_OBSTACLES.has(obstacle);
    const mayGoOn = this.hasBegun && this.assigned.route.resumable && failed.mayPass;
    if (!isPassing || !mayGoOn || this.msLeft < MIN_SEND_MS) {
      this.failWith(failed.refusal);
      return;
    }
    const { standstill, streamRegistry } = this.dependencies;
    // A server that was lost may be the only one that can take the answer.
    for (const server of this.routes.avoided.withoutSign()) streamRegistry.askForReport(server);
    this.pause.onceOver(() =>
      standstill.whenInformed(() => {
        if (!this.ended && this.attempts.length === 0)
          this.guard(() => this.sendAfterPause(failed));
      }),
    );
  }

  private sendAfterPause(failed: FailedAttempt): void {
    this.routes.avoided.forgive();
    this.pause.extend();
    const obstacle = this.resend(failed.reason, failed.server);
    if (obstacle !== undefined) this.waitOrFail(failed, obstacle);
  }

  /** Resumes the stream at another first server, while its own may still go on. */
  private resumeElsewhere(attempt: StreamAttempt, reason: RetryReason): void {
    // While an attempt made since then may begin, no further one is made.
    if (!this.assigned.route.resumable || this.attempts.at(-1) !== attempt) return;
    if (!this.pause.isOver) return;
    const { isRepeated } = this.pause;
    if (isRepeated) this.routes.avoided.forgive();
    if (this.retry(reason, attempt.server) === undefined) {
      if (isRepeated) this.pause.extend();
      return;
    }
    // The request cannot be resent, for example because there is no other server, and this one may recover.
    this.routes.avoided.delete(attempt.server);
    attempt.nextRerouteAt = this.dependencies.clock.now() + REROUTE_PAUSE_MS;
  }
}
