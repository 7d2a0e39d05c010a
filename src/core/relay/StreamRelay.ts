/**
 * Relays a series of events.
 *
 * Only whole events are passed on, so a server that stops inside an event leaves no trace at the caller.
 * The head is held back until the first event: until then the request can still go elsewhere unseen.
 */
import { InvariantKind } from '../Invariant.js';
import { RefusalReason, RetryReason } from '../Outcome.js';
import { BaseRelay, type Target } from './BaseRelay.js';
import { retryReason } from './CallRelay.js';
import { EventSplitter } from './EventSplitter.js';
import { RelayEnd } from './RelayParts.js';
import { CallFailure, type AnswerHead, type ServerCallListener } from './Types.js';

export class StreamRelay extends BaseRelay {
  private readonly splitter = new EventSplitter(
    Number(this.assigned.request.resumeAfter ?? Number.NaN),
  );

  private head: AnswerHead | undefined;

  private begun = false;

  /** Body of an answer that is no stream. */
  private readonly chunks: Buffer[] = [];

  private lastEventAt = this.parts.clock.now();

  protected listener(target: Target): ServerCallListener {
    this.splitter.restart();
    this.head = undefined;
    this.lastEventAt = this.parts.clock.now();
    return {
      onHead: (head) => {
        this.head = head;
      },
      onData: (chunk) => this.take(chunk),
      onEnd: () => this.answered(target),
      onFailure: (failure) => this.failed(target, failure),
    };
  }

  protected override get resumeAfter(): string | undefined {
    const { lastNumber } = this.splitter;
    return this.begun && !Number.isNaN(lastNumber) ? String(lastNumber) : super.resumeAfter;
  }

  protected override finishRefused(tell: () => void): void {
    if (!this.begun) {
      super.finishRefused(tell);
      return;
    }
    this.finish(RelayEnd.Cut);
    this.assigned.reply.cut();
  }

  private get isStream(): boolean {
    const { head } = this;
    return head !== undefined && head.status === 200 && head.sealed && head.plain;
  }

  private take(chunk: Buffer): void {
    if (!this.isStream) {
      this.chunks.push(chunk);
      return;
    }
    const batch = this.splitter.push(chunk);
    if (batch.bytes === undefined) return;
    this.parts.invariants.check(
      InvariantKind.TokenOrder,
      !batch.gap,
      () => `request ${this.assigned.request.id} misses an event`,
    );
    this.lastEventAt = this.parts.clock.now();
    if (!this.begun) this.begin();
    this.assigned.reply.write(batch.bytes);
  }

  private begin(): void {
    const { request, reply, route } = this.assigned;
    this.begun = true;
    this.endReading();
    this.parts.counters.firstByte(route.kind, this.lastEventAt - request.arrivedAt);
    reply.head(this.head as AnswerHead);
  }

  private answered(target: Target): void {
    if (!this.isStream) {
      this.turnedAway(target);
      return;
    }
    if (this.splitter.isInsideEvent) {
      this.failed(target, CallFailure.Lost);
      return;
    }
    if (!this.begun) this.begin();
    for (const { server } of target.stages) this.parts.directory.praise(server);
    this.finish(RelayEnd.Complete);
    this.assigned.reply.end();
  }

  /** The server answered with something other than a stream. */
  private turnedAway(target: Target): void {
    const head = this.head as AnswerHead;
    this.ledger.settle(!head.notExecuted || this.begun);
    if (head.notExecuted) {
      const blamed = this.blame(target, head);
      if (this.sendAgain(RetryReason.StageFailed, blamed)) return;
      this.failWith(RefusalReason.ServerLost);
      return;
    }
    if (this.begun || !head.sealed || !head.plain) {
      this.failed(target, CallFailure.Foreign);
      return;
    }
    this.finish(RelayEnd.Complete);
    const { reply } = this.assigned;
    reply.head(head);
    reply.write(Buffer.concat(this.chunks));
    reply.end();
  }

  /** Finds the server that an answer blames, and suspects it. */
  private blame(target: Target, head: AnswerHead): string {
    const { directory, decisions } = this.parts;
    const at = head.faultAddress === undefined ? undefined : directory.at(head.faultAddress);
    const blamed = at?.record.id ?? target.server;
    const forMs = directory.suspect(blamed);
    decisions.note('suspect', {
      id: this.assigned.request.id,
      server: blamed,
      status: head.status,
      forMs,
    });
    return blamed;
  }

  private failed(target: Target, failure: CallFailure): void {
    const { server } = target;
    const notSent = failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout;
    this.ledger.settle(!notSent || this.begun);
    if (notSent) this.ledger.untake(server);
    if (failure !== CallFailure.Foreign) this.parts.directory.suspect(server);
    const mayRepeat = notSent || this.assigned.route.resumable;
    if (mayRepeat && this.sendAgain(retryReason(failure), server)) return;
    this.failWith(RefusalReason.ServerLost);
  }
}
