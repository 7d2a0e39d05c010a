/** Invariants that the program asserts about itself, in tests and in service. */

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
  /** What the tickets ask of servers comes about once faults end. */
  OrdersLand = 'orders-land',
}

/** Counts checks and violations by kind; in tests a violation also throws. */
export class Invariants {
  public readonly checks = new Map<InvariantKind, number>();

  public readonly violations = new Map<InvariantKind, number>();

  public constructor(
    private readonly strict: boolean,
    private readonly report: (message: string) => void = () => {},
  ) {}

  /**
   * Asserts `holds`.
   * @param detail - called only on a violation
   * @throws BrokenInvariant when strict
   */
  public check(kind: InvariantKind, holds: boolean, detail: () => string): void {
    this.checks.set(kind, (this.checks.get(kind) ?? 0) + 1);
    if (holds) return;
    this.violations.set(kind, (this.violations.get(kind) ?? 0) + 1);
    const message = `Invariant ${kind} is broken: ${detail()}.`;
    this.report(message);
    if (this.strict) throw new InvariantViolationError(message);
  }

  /** Sum of violations over all kinds. */
  public violationCount(): number {
    let sum = 0;
    for (const count of this.violations.values()) sum += count;
    return sum;
  }
}
