/** Relays a request whose answer is passed on whole. */
import { RefusalReason, RetryReason } from '../Outcome.js';
import { RouteKind } from '../deployment/Types.js';
import { BaseRelay, type Target } from './BaseRelay.js';
import { RelayEnd } from './RelayParts.js';
import { CallFailure, type AnswerHead, type ServerCallListener } from './Types.js';

/** Answers of the server's own from here on are failures that another server may not have. */
const FIRST_FAILURE_STATUS = 500;

export class CallRelay extends BaseRelay {
  private head: AnswerHead | undefined;

  private chunks: Buffer[] = [];

  /** A server's own failure, kept for the case that no other server does better. */
  private failedAnswer: { head: AnswerHead; body: Buffer } | undefined;

  protected listener({ server }: Target): ServerCallListener {
    this.head = undefined;
    this.chunks = [];
    return {
      onHead: (head) => {
        this.head = head;
      },
      onData: (chunk) => this.chunks.push(chunk),
      onEnd: () => this.answered(server),
      onFailure: (failure) => this.failed(server, failure),
    };
  }

  private get isRepeatable(): boolean {
    return this.assigned.route.kind === RouteKind.Idempotent;
  }

  private answered(server: string): void {
    const head = this.head as AnswerHead;
    this.ledger.settle(!head.notExecuted);
    if (head.notExecuted) {
      this.parts.directory.turnedAway(server);
      if (this.isRepeatable && this.sendAgain(RetryReason.StageFailed, server)) return;
      this.failWith(RefusalReason.ServerLost);
      return;
    }
    if (!head.plain || !head.sealed) {
      this.failed(server, CallFailure.Foreign);
      return;
    }
    const body = Buffer.concat(this.chunks);
    if (head.status >= FIRST_FAILURE_STATUS && this.isRepeatable) {
      this.failedAnswer = { head, body };
      if (this.sendAgain(RetryReason.StageFailed, server)) return;
    }
    this.parts.directory.prove(server);
    this.parts.directory.tookWork(server);
    this.deliver(head, body);
  }

  private failed(server: string, failure: CallFailure): void {
    const notSent = failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout;
    this.ledger.settle(!notSent);
    if (notSent) this.ledger.untake(server);
    if (failure !== CallFailure.Foreign) this.parts.directory.suspect(server);
    if ((notSent || this.isRepeatable) && this.sendAgain(retryReason(failure), server)) return;
    if (this.failedAnswer !== undefined) {
      this.deliver(this.failedAnswer.head, this.failedAnswer.body);
      return;
    }
    this.failWith(RefusalReason.ServerLost);
  }

  private deliver(head: AnswerHead, body: Buffer): void {
    const { request, reply, route } = this.assigned;
    this.parts.counters.firstByte(route.kind, this.parts.clock.now() - request.arrivedAt);
    this.finish(RelayEnd.Complete);
    reply.head(head);
    reply.write(body);
    reply.end();
  }
}

/** Why a failed call is repeated. */
export function retryReason(failure: CallFailure): RetryReason {
  return failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout
    ? RetryReason.NotConnected
    : RetryReason.Reset;
}
