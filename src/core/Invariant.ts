/** Invariants that the program checks at run time, in tests and in production. */

import { InvariantViolationError } from './InvariantViolationError.js';

export enum InvariantKind {
  /** Routes cover, and tokens run through, every layer exactly once. */
  LayersOnce = 'layers-once',
  /** A caller receives the tokens or events of a stream in order, without gaps or duplicates. */
  TokenOrder = 'token-order',
  /** Every request ends, and an answer reported as complete has its whole and correct content. */
  WholeAnswer = 'whole-answer',
  /** A request that must not be repeated runs at most once. */
  AtMostOnce = 'at-most-once',
  /** A request reported as not run has not run and never runs afterwards. */
  NotRunIsFinal = 'not-run-is-final',
  /** Tickets apply in ascending order, none is lost, and their reported outcomes are true. */
  TicketOrder = 'ticket-order',
  /** A leaving server gets no new work. */
  LeavingGetsNoWork = 'leaving-gets-no-work',
  /** A planned stop of an instance interrupts no request. */
  StopCutsNothing = 'stop-cuts-nothing',
  /** Orders take effect in ascending order of fencing numbers, and ask only for what tickets contain. */
  FenceOrder = 'fence-order',
  /** Servers reach the state that the tickets ask for once faults end. */
  OrdersLand = 'orders-land',
}

/** Counts checks and violations of invariants by kind; in tests a violation also throws. */
export class Invariants {
  public readonly checks = new Map<InvariantKind, number>();

  public readonly violations = new Map<InvariantKind, number>();

  /**
   * @param strict - whether a violation throws
   * @param report - receives the message of each violation
   */
  public constructor(
    private readonly strict: boolean,
    private readonly report: (message: string) => void = () => {},
  ) {}

  /**
   * Counts a check, and a violation when `holds` is false.
   * @param detail - describes the violation; called only when there is one
   * @throws InvariantViolationError on a violation when checks are strict
   */
  public check(kind: InvariantKind, holds: boolean, detail: () => string): void {
    this.checks.set(kind, (this.checks.get(kind) ?? 0) + 1);
    if (holds) return;
    this.violations.set(kind, (this.violations.get(kind) ?? 0) + 1);
    const message = `Invariant ${kind} is violated: ${detail()}. This is a defect; report it together with the preceding log.`;
    this.report(message);
    if (this.strict) throw new InvariantViolationError(message);
  }

  /** Total number of violations of all kinds. */
  public violationCount(): number {
    let sum = 0;
    for (const count of this.violations.values()) sum += count;
    return sum;
  }
}
