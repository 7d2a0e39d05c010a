/** Typed failures. Each message names the remedy. */

export enum FailureKind {
  PlatformUnavailable = 'platform-unavailable',
  BadSettings = 'bad-settings',
  BadTicket = 'bad-ticket',
  PeerUnavailable = 'peer-unavailable',
  NotConnected = 'not-connected',
  ConnectionLost = 'connection-lost',
  OrderRefused = 'order-refused',
}

/** An expected failure, told apart by its kind. */
export class Failure extends Error {
  public constructor(
    public readonly kind: FailureKind,
    message: string,
  ) {
    super(message);
    this.name = kind;
  }
}

/** One fault of a settings file or a ticket. */
export interface ValidationFault {
  /** Line in the file, from 1; 0 when it belongs to no line. */
  readonly line: number;
  /** Dotted path to the value at fault. */
  readonly path: string;
  /** What is wrong. */
  readonly problem: string;
  /** What to write instead. */
  readonly remedy: string;
}

/** Renders faults one a line. */
export function describeFaults(faults: readonly ValidationFault[]): string {
  const lines: string[] = [];
  for (const fault of faults) {
    lines.push(
      `line ${fault.line}: ${fault.path || '(document)'}: ${fault.problem}. ${fault.remedy}`,
    );
  }
  return lines.join('\n');
}
