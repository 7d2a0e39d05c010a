/** Commits each change ticket in one conditional transaction. */
import {
  SettleOutcome,
  writeAndSettle,
  settleLostWrite,
  type SettleDependencies,
  type SettleableWrite,
} from '../settle/SettleableWrite.js';
import type { Row, Transaction } from '../../ports/Types.js';
import { objectKey } from './Configuration.js';
import { externalReferences } from './TicketCheck.js';
import type { ChangeTicket, CommittedTicket, ObjectState } from './Types.js';

export const HEAD_KEY = 'head';

/** Key of the row that holds a committed ticket. */
export const ticketKey = (number: number): string => `ticket/${number}`;

/** Key of the row that decides the outcome of a submission. */
export const submissionKey = (submission: string): string => `submission/${submission}`;

const objectRowKey = (key: string): string => `object/${key}`;

/** Row `head`. */
export interface HeadRow {
  readonly number: number;
}

/** Row `object/<kind>/<name>`. */
export interface ObjectRow {
  readonly ticket: number;
  /** Absent once the object is removed. */
  readonly state?: ObjectState;
}

/** Row `submission/<id>`; number 0 means that the submission was cancelled. */
export interface SubmissionRow {
  readonly number: number;
}

export enum FilingStatus {
  Accepted = 'accepted',
  Refused = 'refused',
  Unknown = 'unknown',
}

/** Result of filing a ticket. */
export interface FilingResult {
  readonly status: FilingStatus;
  /** Number of the accepted ticket; 0 otherwise. */
  readonly number: number;
  /** What happened, with the remedy. */
  readonly message: string;
}

/** Attempts to commit a ticket; a submission that still conflicts with other tickets is then cancelled. */
const MAX_COMMIT_ATTEMPTS = 40;

const filingResult = (status: FilingStatus, message: string, number = 0): FilingResult => ({
  status,
  number,
  message,
});

const numberOf = (row: Row | undefined): number => (row?.value as HeadRow | undefined)?.number ?? 0;

/** Files change tickets through the table service. */
export class TicketCommitter {
  public constructor(
    private readonly dependencies: SettleDependencies,
    private readonly wallClock: () => string,
    private readonly settleTimeoutMs: number,
  ) {}

  /**
   * Files a ticket.
   * @param submission - identifier chosen by the client; filing a ticket twice under it commits it once
   */
  public async file(ticket: ChangeTicket, submission: string): Promise<FilingResult> {
    try {
      for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
        const result = await this.attempt(ticket, submission);
        if (result !== undefined) return result;
      }
    } catch {
      return this.settle(submission);
    }
    return this.settle(submission);
  }

  /** Settles a submission whose outcome is unknown, and cancels it if it was not committed. */
  public async settle(submission: string): Promise<FilingResult> {
    const settled = await settleLostWrite(
      this.dependencies,
      this.cancellationWrite(submission),
      this.settleTimeoutMs,
    );
    return this.describeOutcome(settled.outcome, submission);
  }

  private async attempt(
    ticket: ChangeTicket,
    submission: string,
  ): Promise<FilingResult | undefined> {
    const rows = await this.readRows(ticket, submission);
    if (rows.submission !== undefined)
      return this.describeOutcome(SettleOutcome.Committed, submission);
    const stale = this.findStale(ticket, rows.objects);
    if (stale !== undefined) return stale;
    const missing = this.findMissing(ticket, rows.references);
    if (missing !== undefined) return missing;
    const number = numberOf(rows.head) + 1;
    const committed: CommittedTicket = { ...ticket, number, submission, at: this.wallClock() };
    const write = this.commitWrite(committed, rows);
    const settled = await writeAndSettle(this.dependencies, write, this.settleTimeoutMs);
    if (settled.outcome === SettleOutcome.Conflict) return undefined;
    return this.describeOutcome(settled.outcome, submission);
  }

  private async readRows(ticket: ChangeTicket, submission: string) {
    const objectKeys = ticket.changes.map((change) =>
      objectRowKey(objectKey(change.kind, change.name)),
    );
    const referenceKeys = externalReferences(ticket).map((key) => objectRowKey(key));
    const keys = [HEAD_KEY, submissionKey(submission), ...objectKeys, ...referenceKeys];
    const [head, submissionRow, ...rest] = await this.dependencies.table.read(keys);
    return {
      head,
      submission: submissionRow,
      objectKeys,
      referenceKeys,
      objects: rest.slice(0, objectKeys.length),
      references: rest.slice(objectKeys.length),
    };
  }

  private findStale(ticket: ChangeTicket, rows: (Row | undefined)[]): FilingResult | undefined {
    for (const [index, change] of ticket.changes.entries()) {
      const last = (rows[index]?.value as ObjectRow | undefined)?.ticket ?? 0;
      if (last !== change.base) {
        return filingResult(
          FilingStatus.Refused,
          `${change.kind} ${change.name} was last changed by ticket ${last}, but base is ${change.base}. ` +
            `Read it with "acaciadrum ticket explain ${change.kind} ${change.name}", ` +
            `merge your change into that state, set base: ${last} and file again.`,
        );
      }
    }
    return undefined;
  }

  private findMissing(ticket: ChangeTicket, rows: (Row | undefined)[]): FilingResult | undefined {
    for (const [index, key] of externalReferences(ticket).entries()) {
      if ((rows[index]?.value as ObjectRow | undefined)?.state === undefined) {
        return filingResult(
          FilingStatus.Refused,
          `The ticket refers to ${key}, which is not in force. Add it to the ticket or file it first.`,
        );
      }
    }
    return undefined;
  }

  private commitWrite(
    ticket: CommittedTicket,
    rows: Awaited<ReturnType<TicketCommitter['readRows']>>,
  ): SettleableWrite {
    const marker = submissionKey(ticket.submission);
    const versioned = (keys: string[], found: (Row | undefined)[]) =>
      keys.map((key, index) => ({ key, version: found[index]?.version ?? 0 }));
    const transaction: Transaction = {
      conditions: [
        { key: HEAD_KEY, version: rows.head?.version ?? 0 },
        { key: marker, version: 0 },
        ...versioned(rows.objectKeys, rows.objects),
        ...versioned(rows.referenceKeys, rows.references),
      ],
      writes: [
        { key: HEAD_KEY, value: { number: ticket.number } satisfies HeadRow },
        { key: marker, value: { number: ticket.number } satisfies SubmissionRow },
        { key: ticketKey(ticket.number), value: ticket },
        ...ticket.changes.map((change, index) => ({
          key: rows.objectKeys[index],
          value: { ticket: ticket.number, state: change.state } satisfies ObjectRow,
        })),
      ],
    };
    return { ...this.cancellationWrite(ticket.submission), transaction };
  }

  private cancellationWrite(submission: string): SettleableWrite {
    return {
      transaction: { conditions: [], writes: [] },
      marker: submissionKey(submission),
      expectedVersion: 0,
      // Only this submission writes the row; describeOutcome tells a commit from a cancellation by number.
      isOurs: () => true,
      cancelValue: { number: 0 } satisfies SubmissionRow,
    };
  }

  private async describeOutcome(outcome: SettleOutcome, submission: string): Promise<FilingResult> {
    if (outcome === SettleOutcome.Cancelled) {
      return filingResult(
        FilingStatus.Refused,
        'The ticket was not committed and its submission was cancelled, because the table service did not answer or other tickets were committed first each time. File it again under a new submission id.',
      );
    }
    if (outcome === SettleOutcome.Committed) {
      const [row] = await this.dependencies.table
        .read([submissionKey(submission)])
        .catch(() => [undefined]);
      const number = numberOf(row);
      if (number > 0)
        return filingResult(FilingStatus.Accepted, `Ticket ${number} is accepted.`, number);
      if (row !== undefined) {
        return filingResult(
          FilingStatus.Refused,
          'This submission was cancelled. File the ticket again under a new submission id.',
        );
      }
    }
    return filingResult(
      FilingStatus.Unknown,
      'The table service does not answer, so it is unknown whether the ticket was accepted. ' +
        `Settle it later with "acaciadrum ticket settle ${submission}".`,
    );
  }
}
