/** Expected errors, each with a kind. Every message names the remedy. */

export enum FailureKind {
  PlatformUnavailable = 'platform-unavailable',
  BadSettings = 'bad-settings',
  BadTicket = 'bad-ticket',
  PeerUnavailable = 'peer-unavailable',
  NotConnected = 'not-connected',
  ConnectionLost = 'connection-lost',
  OrderRejected = 'order-refused',
  AddressTaken = 'address-taken',
}

/** An expected error; `kind` says which. */
export class Failure extends Error {
  public constructor(
    public readonly kind: FailureKind,
    message: string,
  ) {
    super(message);
    this.name = kind;
  }
}

/** One fault in a settings file or a ticket. */
export interface ValidationFault {
  /** Line in the file, counted from 1; 0 when the fault belongs to no line. */
  readonly line: number;
  /** Dotted path of the invalid value; empty for the document as a whole. */
  readonly path: string;
  /** What is wrong. */
  readonly problem: string;
  /** How to correct it. */
  readonly remedy: string;
}

/** Formats faults as text, one per line. */
export function describeFaults(faults: readonly ValidationFault[]): string {
  const lines: string[] = [];
  for (const fault of faults) {
    lines.push(
      `line ${fault.line}: ${fault.path || '(document)'}: ${fault.problem}. ${fault.remedy}`,
    );
  }
  return lines.join('\n');
}
