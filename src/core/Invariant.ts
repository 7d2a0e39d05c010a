/** Invariants that the program checks at run time, in tests and in production. */

import { InvariantViolationError } from './InvariantViolationError.js';

export enum InvariantKind {
  LayersOnce = 'layers-once',
  TokenOrder = 'token-order',
  WholeAnswer = 'whole-answer',
  AtMostOnce = 'at-most-once',
  NotRunIsFinal = 'not-run-is-final',
  TicketOrder = 'ticket-order',
  LeavingGetsNoWork = 'leaving-gets-no-work',
  StopCutsNothing = 'stop-cuts-nothing',
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
    const message = `Invariant ${kind} is violated: ${detail()}.`;
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
