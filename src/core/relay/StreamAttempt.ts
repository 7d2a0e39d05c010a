import type { Disposable } from '../../ports/Types.js';
import type { RetryReason } from '../Outcome.js';
import { AnswerVerdict } from './AnswerGate.js';
import { Attempt, type AttemptOpening } from './Attempt.js';
import { EventSplitter, type EventBatch } from './EventSplitter.js';
import type { StreamRegistry, WatchedStream } from './RelayDependencies.js';

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

/** The request that an attempt belongs to. */
export interface AttemptOwner {
  readonly id: string;
  /** Tokens of prompt and answer for which memory is needed. */
  readonly reservedTokens: number;
  /** Whether the answer is not read, because the caller has not taken what was written to it. */
  readonly isUnread: boolean;
  /** Id of the last event that the caller has; NaN if it has none. */
  readonly lastId: number;
  rerouteAround(attempt: StreamAttempt, servers: ReadonlySet<string>, reason: RetryReason): void;
}

/** One send of a stream: its events, its pace and its reroutes. It is watched for silence until it is closed. */
export class StreamAttempt extends Attempt implements WatchedStream {
  /** Number of events that the caller has of this attempt. */
  public events = 0;

  public isRerouting = false;

  /** Reroutes that failed since the last accepted one. */
  public failedReroutes = 0;

  public nextRerouteAt = -Infinity;

  /** Average time between two events, in milliseconds; 0 before it is known. */
  public averageGapMs = 0;

  /** Time of the send. */
  public readonly sentAt: number;

  private readonly splitter: EventSplitter;

  private readonly registration: Disposable;

  /** Bytes of an incomplete event that are counted in the memory of the request. */
  private countedBytes = 0;

  /** @param lastEventAt - time of the last event, send or accepted reroute, whichever came last */
  public constructor(
    opening: AttemptOpening,
    private readonly owner: AttemptOwner,
    registry: StreamRegistry,
    public lastEventAt: number,
  ) {
    super(opening);
    this.sentAt = lastEventAt;
    this.splitter = new EventSplitter(owner.lastId);
    this.registration = registry.add(this);
  }

  public get id(): string {
    return this.owner.id;
  }

  public get silentAfterMs(): number {
    // Nothing is read meanwhile, so that the silence says nothing of the servers.
    if (this.owner.isUnread) return Infinity;
    if (this.averageGapMs > 0) return Math.max(MIN_SILENCE_MS, this.averageGapMs * SILENCE_FACTOR);
    return FIRST_EVENT_MS + this.owner.reservedTokens * FIRST_EVENT_TOKEN_MS;
  }

  /** Whether the answer is an event stream. */
  public get isStream(): boolean {
    return this.verdict === AnswerVerdict.ForwardEvents;
  }

  /** Id of the last event of the request, as far as this attempt knows; NaN if it has none. */
  public get lastId(): number {
    return this.splitter.lastId;
  }

  public get isInsideEvent(): boolean {
    return this.splitter.isInsideEvent;
  }

  /** Size of the incomplete event, in bytes. */
  public get incompleteBytes(): number {
    return this.splitter.incompleteBytes;
  }

  public rerouteAround(servers: ReadonlySet<string>, reason: RetryReason): void {
    this.owner.rerouteAround(this, servers, reason);
  }

  /** Adds a part of the event stream and returns the events that it completes. */
  public push(chunk: Buffer): EventBatch {
    const batch = this.splitter.push(chunk);
    this.countIncomplete(this.splitter.incompleteBytes);
    return batch;
  }

  /**
   * Records the arrival of events.
   * @param isPaced - whether the time since the last event tells the pace of the stream
   */
  public recordEvents(count: number, now: number, isPaced: boolean): void {
    this.events += count;
    if (isPaced) {
      const gap = now - this.lastEventAt;
      this.averageGapMs =
        this.averageGapMs === 0 ? gap : this.averageGapMs + SMOOTHING * (gap - this.averageGapMs);
    }
    this.lastEventAt = now;
  }

  public override close(): void {
    if (!this.isOpen) return;
    this.registration.dispose();
    this.countIncomplete(0);
    super.close();
  }

  private countIncomplete(bytes: number): void {
    if (bytes === this.countedBytes) return;
    if (this.countedBytes > 0) this.memory.remove(this.countedBytes);
    this.countedBytes = bytes;
    if (bytes > 0) this.memory.add(bytes);
  }
}
