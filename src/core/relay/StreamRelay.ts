/**
 * Relays an event stream.
 *
 * Only complete events are forwarded, so the caller never sees part of an event from a server that fails.
 * The response head is withheld until the first event: until then the request can be resent to another
 * server without the caller noticing. A stream that loses a later server on its route keeps its first
 * server and is rerouted; one that loses its first server resumes at another one, after the last event
 * that the caller has received.
 */
import type { Disposable } from '../../ports/Types.js';
import { RefusalReason, RetryReason } from '../Outcome.js';
import type { StartPlace } from '../limits/StartWindows.js';
import { WorkReservation } from '../routing/WorkReservation.js';
import { describeStages } from '../routing/StageText.js';
import type { Stage } from '../routing/Types.js';
import { AnswerVerdict, RepeatPolicy } from './AnswerGate.js';
import { BaseRelay, lossReason, MAX_BUFFERED_BYTES, type SendTarget } from './BaseRelay.js';
import { retryReason } from './CallRelay.js';
import { EventSplitter } from './EventSplitter.js';
import { RetryObstacle } from './RetryObstacle.js';
import { RelayEnd, type WatchedStream } from './RelayDependencies.js';
import {
  CallFailure,
  RerouteStatus,
  type AnswerHead,
  type RerouteAnswer,
  type ServerCallListener,
} from './Types.js';

/** Minimum wait for the first event before the stream is considered silent, in milliseconds. */
const FIRST_EVENT_MS = 220;

/**
 * Additional wait for the first event because of prefill, in milliseconds per reserved token of prompt and
 * answer.
 */
const FIRST_EVENT_TOKEN_MS = 0.1;

/** Minimum gap between events before the stream is considered silent, in milliseconds. */
const MIN_SILENCE_MS = 70;

/** A gap of this many times the average gap is considered silence. */
const SILENCE_FACTOR = 2;

/** Weight of the newest gap in the moving average. */
const SMOOTHING = 0.2;

/** Timeout of a reroute request, in milliseconds; its answer takes only link delays. */
const REROUTE_TIMEOUT_MS = 250;

/**
 * Delay before the next reroute, in milliseconds. After failed reroutes it is multiplied by their number in a
 * row; after a failed attempt to resume at another first server it is not.
 */
const REROUTE_PAUSE_MS = 100;

/** After more than this many failed reroutes in a row, a stalled stream resumes at another first server. */
const MAX_FAILED_REROUTES = 2;

/** Events after which a request is not what crashes its server: a crash may follow the first one. */
const PROVING_EVENTS = 2;

/** Maximum size of one event, in bytes; each open stream may hold this much. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Stages of a new route on servers that are not on the old one. */
function addedStages(before: readonly Stage[], after: readonly Stage[]): Stage[] {
  return after.filter(({ server }) => !before.some((stage) => stage.server === server));
}

export class StreamRelay extends BaseRelay implements WatchedStream {
  public lastEventAt = this.dependencies.clock.now();

  public stages: readonly Stage[] = [];

  private readonly splitter = new EventSplitter(
    Number(this.assigned.request.resumeAfter ?? Number.NaN),
  );

  private head: AnswerHead | undefined;

  /** What may be done with the answer to the last send; undefined before its head. */
  private verdict: AnswerVerdict | undefined;

  /** Events of the last send. */
  private eventsOfSend = 0;

  private averageGapMs = 0;

  private rerouting = false;

  /** Reroutes that failed since the last accepted one. */
  private failedReroutes = 0;

  private nextRerouteAt = -Infinity;

  /** Incremented with each send, so that reroute answers for an earlier send can be ignored. */
  private epoch = 0;

  /** Body of an answer that is not an event stream. */
  private chunks: Buffer[] = [];

  /** Bytes of an incomplete event that are counted in the memory of the request. */
  private countedEventBytes = 0;

  private bufferedBytes = 0;

  private startPlace: StartPlace | undefined;

  private readonly registration: Disposable = this.dependencies.streamRegistry.add(this);

  public get id(): string {
    return this.assigned.request.id;
  }

  public get silentAfterMs(): number {
    // Nothing is read meanwhile, so that the silence says nothing of the servers.
    if (this.isWaitingForCaller) return Infinity;
    if (this.averageGapMs > 0) return Math.max(MIN_SILENCE_MS, this.averageGapMs * SILENCE_FACTOR);
    return FIRST_EVENT_MS + this.reservedTokens * FIRST_EVENT_TOKEN_MS;
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

  public rerouteAround(servers: ReadonlySet<string>, reason: RetryReason): void {
    if (this.ended || this.rerouting || this.stages.length === 0) return;
    const { clock, standstill } = this.dependencies;
    if (clock.now() < this.nextRerouteAt || standstill.isBehind()) return;
    this.guard(() => this.moveOff(servers, reason));
  }

  private moveOff(servers: ReadonlySet<string>, reason: RetryReason): void {
    for (const server of servers) this.avoidedServers.add(server);
    const first = this.stages[0];
    if (!servers.has(first.server)) {
      this.reroute(reason).catch((error: Error) => this.endAfterError(error));
      return;
    }
    // A leaving first server keeps serving; the stream resumes elsewhere only once its connection is lost.
    if (reason === RetryReason.Leaving) return;
    this.resumeElsewhere(reason, first.server);
  }

  protected listener(target: SendTarget): ServerCallListener {
    this.splitter.restart();
    for (const { length } of this.chunks) this.assigned.request.memory.remove(length);
    this.chunks = [];
    this.countIncompleteEvent();
    this.bufferedBytes = 0;
    this.head = undefined;
    this.verdict = undefined;
    this.averageGapMs = 0;
    this.eventsOfSend = 0;
    this.epoch += 1;
    this.stages = target.stages;
    this.lastEventAt = this.dependencies.clock.now();
    return {
      onHead: (head) => {
        this.recordHead(head);
        this.head = head;
        this.verdict = this.judge(target.server, head, this.repeatPolicy);
        if (this.verdict === AnswerVerdict.Discard)
          this.handleFailure(target, CallFailure.MismatchedAnswer);
      },
      onData: (chunk) => this.handleChunk(target, chunk),
      onEnd: () => this.handleAnswer(target),
      onFailure: (failure) => this.handleFailure(target, failure),
    };
  }

  protected override resumeAnswer(): void {
    this.lastEventAt = this.dependencies.clock.now();
    super.resumeAnswer();
  }

  protected override get resumeAfter(): string | undefined {
    const { lastId } = this.splitter;
    return this.hasBegun && !Number.isNaN(lastId) ? String(lastId) : super.resumeAfter;
  }

  protected override finish(end: RelayEnd): void {
    this.registration.dispose();
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

  private get isStream(): boolean {
    return this.verdict === AnswerVerdict.ForwardEvents;
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
  private get hasEndedBeforeFirstEvent(): boolean {
    return (
      this.head?.isDelimited === false && this.eventsOfSend === 0 && this.resumeAfter === undefined
    );
  }

  private handleChunk(target: SendTarget, chunk: Buffer): void {
    if (!this.isStream) {
      this.bufferedBytes += chunk.length;
      if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
        this.handleFailure(target, CallFailure.TooLong);
        return;
      }
      this.chunks.push(chunk);
      this.assigned.request.memory.add(chunk.length);
      return;
    }
    const batch = this.splitter.push(chunk);
    this.countIncompleteEvent();
    if (this.ended) return;
    if (this.splitter.incompleteBytes > MAX_EVENT_BYTES) {
      this.handleFailure(target, CallFailure.TooLong);
      return;
    }
    if (batch.bytes !== undefined) this.forward(batch.bytes, batch.events);
    if (batch.gap || batch.isCorrupt) this.handleFailure(target, CallFailure.MismatchedAnswer);
  }

  private countIncompleteEvent(): void {
    const { memory } = this.assigned.request;
    const bytes = this.splitter.incompleteBytes;
    if (bytes === this.countedEventBytes) return;
    if (this.countedEventBytes > 0) memory.remove(this.countedEventBytes);
    this.countedEventBytes = bytes;
    if (bytes > 0) memory.add(bytes);
  }

  private forward(bytes: Buffer, events: number): void {
    this.eventsOfSend += events;
    if (this.eventsOfSend >= PROVING_EVENTS) this.recordAnswer();
    this.recordEvent();
    if (!this.hasBegun) this.beginAnswer();
    this.writePart(bytes);
  }

  private recordEvent(): void {
    const { clock, directory, slowStreamProbe } = this.dependencies;
    const now = clock.now();
    if (this.hasBegun) {
      const gap = now - this.lastEventAt;
      this.averageGapMs =
        this.averageGapMs === 0 ? gap : this.averageGapMs + SMOOTHING * (gap - this.averageGapMs);
      slowStreamProbe?.observe(this.assigned.service, this.stages, this.averageGapMs);
    }
    this.lastEventAt = now;
    for (const { server } of this.stages) directory.noteAlive(server);
  }

  private beginAnswer(): void {
    const { request, reply, route } = this.assigned;
    reply.writeHead(this.head as AnswerHead);
    this.hasBegun = true;
    this.startPlace?.recordFirstEvent();
    this.endPrefill();
    this.recordAcceptance(this.stages.map(({ server }) => server));
    this.dependencies.counters.recordFirstByte(route.kind, this.lastEventAt - request.arrivedAt);
  }

  private handleAnswer(target: SendTarget): void {
    if (!this.isStream) {
      this.handleOtherAnswer(target);
      return;
    }
    if (this.splitter.isInsideEvent || this.hasEndedBeforeFirstEvent) {
      this.handleFailure(target, CallFailure.ConnectionLost);
      return;
    }
    if (!this.hasBegun) this.beginAnswer();
    // A server that crashes may end an undelimited stream after an event.
    if (this.head?.isDelimited === true) this.recordAnswer();
    this.finish(RelayEnd.Complete);
    this.assigned.reply.end();
  }

  /** Handles an answer that is not an event stream. */
  private handleOtherAnswer(target: SendTarget): void {
    const head = this.head as AnswerHead;
    this.sendTracker.recordResult(!head.notExecuted || this.hasBegun);
    if (head.notExecuted) {
      const blamed = this.blameServer(target, head);
      if (this.retry(RetryReason.StageFailed, blamed) === undefined) return;
      this.failWith(RefusalReason.ServerLost);
      return;
    }
    const { reply } = this.assigned;
    reply.writeHead(head);
    this.finish(RelayEnd.Complete);
    reply.endWith(this.chunks, this.assigned.request.memory);
  }

  /**
   * Finds the server at an address. The route is searched before the directory, because the address may
   * belong to another server by now.
   */
  private serverAt(address: string | undefined): string | undefined {
    if (address === undefined) return undefined;
    const stage = this.stages.find((known) => known.address === address);
    return stage?.server ?? this.dependencies.directory.findByAddress(address)?.record.id;
  }

  /**
   * Finds the server that an answer blames and withholds new work from it: for a short time, or, if it is
   * not the expected one or does not hold its layers, until its entry shows layers again.
   */
  private blameServer(target: SendTarget, head: AnswerHead): string {
    const { directory, decisions } = this.dependencies;
    const blamed = this.serverAt(head.blamedAddress) ?? target.server;
    if (head.misdirected) directory.clearSpan(blamed);
    else this.recordRejection(blamed, head.blamedAddress !== undefined || this.stages.length <= 1);
    decisions.record('turned-away', {
      id: this.id,
      server: target.server,
      blamed,
      status: head.status,
      sends: this.sendTracker.sendCount,
    });
    return blamed;
  }

  private handleFailure(target: SendTarget, failure: CallFailure): void {
    const { server } = target;
    const notSent = failure === CallFailure.NotSent || failure === CallFailure.ConnectTimeout;
    this.recordLoss(server, failure, this.eventsOfSend > 0);
    this.sendTracker.recordResult(!notSent || this.hasBegun);
    if (notSent) this.sendTracker.releaseServer(server);
    if (failure !== CallFailure.MismatchedAnswer) this.dependencies.directory.suspect(server);
    const reason = retryReason(failure);
    const mayResend = notSent || this.assigned.route.resumable;
    if (!mayResend) this.noteObstacle(reason, server, RetryObstacle.NotRepeatable);
    else if (this.retry(reason, server) === undefined) return;
    this.failWith(lossReason(failure));
  }

  /** Resumes the stream at another first server. */
  private resumeElsewhere(reason: RetryReason, failed: string): void {
    if (!this.assigned.route.resumable) return;
    this.sendTracker.recordResult(true);
    if (this.retry(reason, failed) === undefined) return;
    // The request cannot be resent, for example because there is no other server, and the failed one may
    // still recover.
    this.avoidedServers.delete(failed);
    this.nextRerouteAt = this.dependencies.clock.now() + REROUTE_PAUSE_MS;
  }

  /** Asks the first server to continue the stream over other servers. */
  private async reroute(reason: RetryReason): Promise<void> {
    const { service } = this.assigned;
    const [first] = this.stages;
    const server = this.dependencies.directory.get(first.server);
    if (service.engine === undefined || server === undefined) return;
    const requirements = { ...this.routeRequirements(service.engine), kept: this.stages };
    const stages = this.dependencies.routes.planReroute(requirements, first);
    if (stages === undefined || !this.mayBeSent()) return;
    this.rerouting = true;
    this.recordTransfers(stages, this.stages);
    const { epoch } = this;
    // Reserved from now on, so that streams rerouted together do not all choose the same servers.
    const reservation = new WorkReservation(
      this.dependencies.load,
      addedStages(this.stages, stages),
      this.reservedTokens,
      0,
    );
    const sentAt = this.dependencies.clock.now();
    const answer = await this.dependencies.port.reroute(
      first.server,
      server.record.address,
      this.id,
      stages,
      REROUTE_TIMEOUT_MS,
    );
    reservation.dispose();
    this.rerouting = false;
    this.logReroute(reason, stages, answer, sentAt);
    if (!this.ended && epoch === this.epoch) this.handleRerouteAnswer(reason, stages, answer);
  }

  private handleRerouteAnswer(
    reason: RetryReason,
    stages: readonly Stage[],
    answer: RerouteAnswer,
  ): void {
    if (answer.status === RerouteStatus.Accepted) {
      this.failedReroutes = 0;
      this.stages = stages;
      this.moveReservation(stages);
      this.lastEventAt = this.dependencies.clock.now();
      return;
    }
    this.failedReroutes += 1;
    this.nextRerouteAt = this.dependencies.clock.now() + REROUTE_PAUSE_MS * this.failedReroutes;
    const stage = stages.find(({ address }) => address === answer.blamedAddress);
    if (stage !== undefined) this.avoidedServers.add(stage.server);
    // A stream that still runs over a leaving server stays there; it may end before the server stops.
    // A first server that does not know the request has not read it yet or has ended it; the open call
    // will show which.
    if (reason === RetryReason.Leaving || answer.status === RerouteStatus.UnknownRequest) return;
    if (answer.status === RerouteStatus.NoAnswer || this.failedReroutes > MAX_FAILED_REROUTES)
      this.resumeElsewhere(RetryReason.Silence, this.stages[0].server);
  }

  private logReroute(
    reason: RetryReason,
    stages: readonly Stage[],
    answer: RerouteAnswer,
    sentAt: number,
  ): void {
    this.dependencies.counters.countRetry(reason);
    this.dependencies.decisions.record('reroute', {
      id: this.id,
      reason,
      answer: answer.status,
      blamed: answer.blamedAddress,
      avoided: [...this.avoidedServers].join(','),
      route: describeStages(stages),
      silentMs: Math.round(sentAt - this.lastEventAt),
      ms: Math.round(this.dependencies.clock.now() - sentAt),
    });
  }
}
