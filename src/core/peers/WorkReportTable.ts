/** Stores the work reports of peers, and adds up reports. */
import type { RetryUse } from '../limits/SharedRetryBudget.js';
import type { OutstandingWork } from '../routing/ServerLoad.js';
import type { WorkReport, ServerWork } from './Types.js';

/** A report is counted for this time after its receipt, in milliseconds. */
const REPORT_LIFETIME_MS = 2500;

interface ReceivedReport {
  readonly report: WorkReport;
  readonly receivedAt: number;
}

/** Outstanding work at each server, with the number of instances that it covers. */
export interface WorkTotal {
  readonly instances: number;
  readonly work: ReadonlyMap<string, OutstandingWork>;
  readonly retries: readonly RetryUse[];
}

/** Adds up the work, retries and instance counts of reports. */
export function sumWork(reports: readonly WorkReport[]): WorkTotal {
  const work = new Map<string, OutstandingWork>();
  let instances = 0;
  for (const report of reports) {
    instances += report.instances;
    for (const { server, requests, readingTokens, tokenLayers } of report.shares) {
      const sum = work.get(server);
      if (sum === undefined) {
        work.set(server, { requests, readingTokens, tokenLayers });
        continue;
      }
      sum.requests += requests;
      sum.readingTokens += readingTokens;
      sum.tokenLayers += tokenLayers;
    }
  }
  return { instances, work, retries: sumRetries(reports) };
}

function sumRetries(reports: readonly WorkReport[]): RetryUse[] {
  const sums = new Map<string, RetryUse>();
  for (const { retries } of reports) {
    for (const use of retries) {
      const sum = sums.get(use.service);
      sums.set(use.service, {
        service: use.service,
        requests: use.requests + (sum?.requests ?? 0),
        retries: use.retries + (sum?.retries ?? 0),
      });
    }
  }
  return [...sums.values()];
}

/** Converts outstanding work by server into the entries of a report. */
export function toServerWork(
  work: Iterable<readonly [string, Readonly<OutstandingWork>]>,
): ServerWork[] {
  const entries: ServerWork[] = [];
  for (const [server, outstanding] of work) entries.push({ server, ...outstanding });
  return entries;
}

export class WorkReportTable {
  private readonly received = new Map<string, ReceivedReport>();

  public put(source: string, report: WorkReport, now: number): void {
    this.received.set(source, { report, receivedAt: now });
  }

  public delete(source: string): void {
    this.received.delete(source);
  }

  /** Removes reports that are too old to be counted. */
  public expire(now: number): void {
    for (const [source, { receivedAt }] of this.received) {
      if (now - receivedAt > REPORT_LIFETIME_MS) this.received.delete(source);
    }
  }

  /** Returns the ages of all reports, in milliseconds. */
  public ages(now: number): number[] {
    return [...this.received.values()].map(({ receivedAt }) => now - receivedAt);
  }

  /** Returns the reports of all sources, optionally except one. */
  public reports(excluded?: string): WorkReport[] {
    const reports: WorkReport[] = [];
    for (const [source, { report }] of this.received) if (source !== excluded) reports.push(report);
    return reports;
  }
}
