/** What is known of the pace of one process of a server. */
import type { BackendServer, LayerSpan } from '../deployment/Types.js';
import { seatOffset } from './Seats.js';
import { PaceCause, type SharedPace } from './Types.js';

/** A sound answer allows this multiple of the requests that were in progress when it was sent. */
const GROWTH = 2;

/** Growth of the window with each sound answer while it is not used in full, as it seldom is by many instances. */
const STEADY_GROWTH = 1.25;

/** Such growth ends at this multiple of the requests in progress: little work proves little. */
const MAX_GROWTH = 4;

/** Factor on the window after a rejection, a slow answer, or a failure during the pace. */
const SHRINKAGE = 0.5;

/** Smallest window: a server without any request could never show that it is sound. */
const MIN_WINDOW = 1;

/** Slow answers in a row after which a window shrinks: a single one may be late for the stall of this process. */
const SLOW_ANSWERS = 2;

/** Whether a span has layers that an earlier one has not. */
function hasNewLayers(span: LayerSpan, before: LayerSpan): boolean {
  return span.from < before.from || span.to > before.to;
}

export class PacedServer {
  public readonly offset: number;

  /** 0 before the first pace. */
  public generation = 0;

  /** Requests in progress over all instances; Infinity without a pace. */
  public window = Infinity;

  /** Window at which the pace began. */
  public initial = Infinity;

  public cause = PaceCause.Started;

  /** Time of the last change of the window by more than a step, or of the end of the pace. */
  public changedAt = -Infinity;

  /** Window that was last reported as a change. */
  public reportedWindow = Infinity;

  /** Whether it is suspected, so that its first window is still to be decided. */
  public isSuspected = false;

  /** Cause of the pace that begins once the server can take work, such as when it holds layers. */
  public pendingCause: PaceCause | undefined;

  private slowAnswers = 0;

  public readonly id: string;

  public incarnation: number;

  /** Layers that it last held; undefined if it held none yet. */
  private span: LayerSpan | undefined;

  public constructor({ id, incarnation, span }: BackendServer) {
    this.id = id;
    this.incarnation = incarnation;
    this.span = span;
    this.offset = seatOffset(id);
    this.pendingCause = PaceCause.Started;
  }

  /**
   * Applies an entry of the server.
   * @returns whether it is of a new process, of which nothing is known
   */
  public applyEntry({ incarnation, span }: BackendServer): boolean {
    const isRestarted = incarnation !== this.incarnation;
    if (isRestarted) {
      this.incarnation = incarnation;
      this.generation = 0;
      this.window = Infinity;
      this.span = undefined;
      this.isSuspected = false;
      this.pendingCause = PaceCause.Restarted;
    } else if (span !== undefined && this.span !== undefined && hasNewLayers(span, this.span)) {
      this.pendingCause ??= PaceCause.Refilled;
    }
    this.span = span ?? this.span;
    return isRestarted;
  }

  public get isPaced(): boolean {
    return this.window < Infinity;
  }

  public begin(cause: PaceCause, window: number, now: number): void {
    // A server that failed under a pace starts below it.
    const failedAt =
      cause === PaceCause.Recovered && this.isPaced ? this.window * SHRINKAGE : Infinity;
    this.generation += 1;
    this.cause = cause;
    this.initial = window;
    this.setWindow(Math.max(MIN_WINDOW, Math.floor(Math.min(failedAt, window))), now);
  }

  /**
   * Grows the window as far as a sound answer supports.
   * @param inProgress - requests of all instances when it was sent, with itself
   */
  public grow(inProgress: number, now: number): void {
    this.slowAnswers = 0;
    const steady = Math.min(this.window * STEADY_GROWTH, inProgress * MAX_GROWTH);
    const proven = inProgress * GROWTH;
    if (proven > this.window) this.setWindow(Math.max(proven, steady), now);
    // Seats that are lent meanwhile stay lent.
    else if (steady > this.window) this.window = steady;
  }

  /** @returns whether a slow answer is the one after which the window shrinks */
  public countSlowAnswer(): boolean {
    this.slowAnswers += 1;
    return this.slowAnswers >= SLOW_ANSWERS;
  }

  public shrink(now: number): void {
    this.generation += 1;
    this.setWindow(Math.max(MIN_WINDOW, Math.floor(this.window * SHRINKAGE)), now);
  }

  public setWindow(window: number, now: number): void {
    this.window = window;
    this.changedAt = now;
    this.slowAnswers = 0;
  }

  /** Window from which a server carries as much as one with `usual` requests. */
  public completeWindow(usual: number): number {
    return GROWTH * Math.max(usual, this.initial);
  }

  public share(): SharedPace {
    const { id, incarnation, generation, window, cause } = this;
    const shared = { server: id, incarnation, generation, cause };
    // JSON has no infinity.
    return this.isPaced ? { ...shared, window } : { ...shared, window: 0, isEnded: true };
  }
}
