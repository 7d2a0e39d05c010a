/** Relays a request whose answer is buffered and forwarded once it is complete. */
import { RefusalReason, RetryReason } from '../Outcome.js';
import { RouteKind } from '../deployment/Types.js';
import { AnswerVerdict, RepeatPolicy } from './AnswerGate.js';
import { BaseRelay, lossReason, MAX_BUFFERED_BYTES, type SendTarget } from './BaseRelay.js';
import { RelayEnd } from './RelayDependencies.js';
import { CallFailure, type AnswerHead, type ServerCallListener } from './Types.js';

export class CallRelay extends BaseRelay {
  private head: AnswerHead | undefined;

  /** What may be done with the answer to the last send; undefined before its head. */
  private verdict: AnswerVerdict | undefined;

  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  /** Failure answer of a server, forwarded if a later send is lost or its answer cannot be trusted. */
  private failedAnswer: { head: AnswerHead; chunks: readonly Buffer[] } | undefined;

  protected listener({ server }: SendTarget): ServerCallListener {
    this.head = undefined;
    this.verdict = undefined;
    if (this.failedAnswer?.chunks !== this.chunks) this.discard(this.chunks);
    this.chunks = [];
    this.bufferedBytes = 0;
    return {
      onHead: (head) => {
        this.recordHead(head);
        this.head = head;
        this.verdict = this.judge(server, head, this.repeatPolicy);
        if (this.verdict === AnswerVerdict.Discard)
          this.handleFailure(server, CallFailure.MismatchedAnswer);
      },
      onData: (chunk) => this.handleChunk(server, chunk),
      onEnd: () => this.handleAnswer(server),
      onFailure: (failure) => this.handleFailure(server, failure),
    };
  }

  /** Whether the request may run more than once. */
  private get isIdempotent(): boolean {
    return this.assigned.route.kind === RouteKind.Idempotent;
  }

  private get repeatPolicy(): RepeatPolicy {
    return this.isIdempotent ? RepeatPolicy.RepeatableCall : RepeatPolicy.SingleCall;
  }

  private handleChunk(server: string, chunk: Buffer): void {
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      this.handleFailure(server, CallFailure.TooLong);
      return;
    }
    this.chunks.push(chunk);
    this.assigned.request.memory.add(chunk.length);
  }

  /** Discards what is kept of an answer. */
  private discard(chunks: readonly Buffer[]): void {
    for (const { length } of chunks) this.assigned.request.memory.remove(length);
  }

  private handleAnswer(server: string): void {
    const head = this.head as AnswerHead;
    this.sendTracker.recordResult(!head.notExecuted);
    if (this.verdict === AnswerVerdict.NotRun) {
      this.recordRejection(server, true);
      // Rejections and failure statuses count as StageFailed, also for plain services, which have no stages.
      if (this.isIdempotent && this.isResent(RetryReason.StageFailed, server)) return;
      this.failWith(RefusalReason.ServerLost);
      return;
    }
    this.recordAnswer();
    if (this.verdict === AnswerVerdict.ForwardIfLast) {
      if (this.failedAnswer !== undefined) this.discard(this.failedAnswer.chunks);
      this.failedAnswer = { head, chunks: this.chunks };
      if (this.isResent(RetryReason.StageFailed, server)) return;
    }
    this.dependencies.directory.noteAlive(server);
    this.recordAcceptance([server], this.verdict === AnswerVerdict.Forward);
    this.deliver(head, this.chunks);
  }

  private handleFailure(server: string, failure: CallFailure): void {
    const notSent = failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout;
    this.recordLoss(server, failure, this.head !== undefined);
    this.sendTracker.recordResult(!notSent);
    if (notSent) this.sendTracker.releaseServer(server);
    if (failure !== CallFailure.MismatchedAnswer) this.dependencies.directory.suspect(server);
    if ((notSent || this.isIdempotent) && this.isResent(retryReason(failure), server)) return;
    if (this.failedAnswer !== undefined) {
      this.deliver(this.failedAnswer.head, this.failedAnswer.chunks);
      return;
    }
    this.failWith(lossReason(failure));
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
