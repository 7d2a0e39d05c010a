/** Relays a request whose answer is buffered and forwarded once it is complete. */
import { RefusalReason, RetryReason, type Outcome } from '../Outcome.js';
import { RouteKind } from '../deployment/Types.js';
import { AnswerVerdict, RepeatPolicy } from './AnswerGate.js';
import { Attempt, type AttemptOpening } from './Attempt.js';
import { BaseRelay, lossReason, MAX_BUFFERED_BYTES } from './BaseRelay.js';
import { RelayEnd } from './RelayDependencies.js';
import { CallFailure, type AnswerHead, type ServerCallListener } from './Types.js';

export class CallRelay extends BaseRelay {
  /** Failure answer of a server, forwarded if a later send brings no better one. */
  private failedAnswer: { head: AnswerHead; chunks: readonly Buffer[] } | undefined;

  protected createAttempt(opening: AttemptOpening): Attempt {
    return new Attempt(opening);
  }

  protected listener(attempt: Attempt): ServerCallListener {
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

  /** Whether the request may run more than once. */
  private get isIdempotent(): boolean {
    return this.assigned.route.kind === RouteKind.Idempotent;
  }

  private get repeatPolicy(): RepeatPolicy {
    return this.isIdempotent ? RepeatPolicy.RepeatableCall : RepeatPolicy.SingleCall;
  }

  private handleChunk(attempt: Attempt, chunk: Buffer): void {
    if (attempt.keptBytes + chunk.length > MAX_BUFFERED_BYTES)
      this.handleFailure(attempt, CallFailure.TooLong);
    else attempt.keep(chunk);
  }

  private handleAnswer(attempt: Attempt): void {
    const { server, verdict } = attempt;
    const head = attempt.head as AnswerHead;
    if (verdict === AnswerVerdict.NotRun) {
      this.recorder.recordRejection(attempt, server, true);
      this.endAttempt(attempt, !head.notExecuted);
      // Rejections and failure statuses count as StageFailed, also for plain services, which have no stages.
      if (this.isIdempotent && this.isResent(RetryReason.StageFailed, server)) return;
      this.failWith(RefusalReason.ServerLost);
      return;
    }
    this.recorder.recordAnswer();
    const chunks = attempt.takeKept();
    if (verdict === AnswerVerdict.ForwardIfLast) {
      this.discardFailedAnswer();
      this.failedAnswer = { head, chunks };
      this.endAttempt(attempt, true);
      if (this.isResent(RetryReason.StageFailed, server)) return;
      this.failedAnswer = undefined;
      this.accept(attempt, head, chunks);
      return;
    }
    this.discardFailedAnswer();
    this.accept(attempt, head, chunks);
  }

  /** Discards what is kept of a failure answer. */
  private discardFailedAnswer(): void {
    if (this.failedAnswer === undefined) return;
    for (const { length } of this.failedAnswer.chunks) this.assigned.request.memory.remove(length);
    this.failedAnswer = undefined;
  }

  private accept(attempt: Attempt, head: AnswerHead, chunks: readonly Buffer[]): void {
    const { server, verdict } = attempt;
    this.dependencies.directory.noteAlive(server);
    this.recorder.recordAcceptance(attempt, [server], verdict === AnswerVerdict.Forward);
    this.deliver(head, chunks);
  }

  private handleFailure(attempt: Attempt, failure: CallFailure): void {
    const { server, head } = attempt;
    const notSent = failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout;
    this.recordLoss(server, failure, head !== undefined);
    this.endAttempt(attempt, !notSent);
    if (notSent) this.sendTracker.releaseServer(server);
    if (failure !== CallFailure.MismatchedAnswer) this.dependencies.directory.suspect(server);
    if ((notSent || this.isIdempotent) && this.isResent(retryReason(failure), server)) return;
    this.failWith(lossReason(failure));
  }

  /** Forwards the failure answer of an earlier send in place of a refusal, which would tell the caller less. */
  protected override refuse(reason: RefusalReason, outcome: Outcome, retryAfterMs: number): void {
    const { failedAnswer } = this;
    // An evicted request must not keep an answer.
    if (this.ended || failedAnswer === undefined || reason === RefusalReason.Evicted) {
      super.refuse(reason, outcome, retryAfterMs);
      return;
    }
    this.failedAnswer = undefined;
    this.deliver(failedAnswer.head, failedAnswer.chunks);
  }

  /** Resends the request if it may be. */
  private isResent(reason: RetryReason, failed: string): boolean {
    return this.retry(reason, failed) === undefined;
  }

  private deliver(head: AnswerHead, chunks: readonly Buffer[]): void {
    const { request, reply, route } = this.assigned;
    this.dependencies.counters.recordFirstByte(
      route.kind,
      this.dependencies.clock.now() - request.arrivedAt,
    );
    reply.writeHead(head);
    this.finish(RelayEnd.Complete);
    reply.endWith(chunks, request.memory);
  }
}

/** Maps the failure of a call to the reason recorded for its retry. */
export function retryReason(failure: CallFailure): RetryReason {
  return failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout
    ? RetryReason.NotConnected
    : RetryReason.ConnectionLost;
}
