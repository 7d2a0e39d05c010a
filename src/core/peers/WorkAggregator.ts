/** Keeps account of all instances' work and retries, from what peers report. */
import type { RetryUse } from '../limits/SharedRetryBudget.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import { WorkScope, type PeerAddress, type WorkReport } from './Types.js';
import { toServerWork, sumWork, WorkReportTable, type WorkTotal } from './WorkReportTable.js';

export class WorkAggregator {
  /** Work of instances at home, by instance. */
  private readonly localReports = new WorkReportTable();

  /** Work of other failure domains, as their hubs count it. */
  private readonly remoteReports = new WorkReportTable();

  /** Work of all others, as the hub of the own failure domain counts it. */
  private readonly hubReports = new WorkReportTable();

  /** @param retryUse - this instance's requests and retries of the last window */
  public constructor(
    private readonly load: ServerLoad,
    private readonly retryUse: () => RetryUse[],
  ) {}

  /** Takes in a peer's report. */
  public put(from: PeerAddress, work: WorkReport, now: number): void {
    if (work.scope === WorkScope.Others) this.hubReports.put('hub', work, now);
    // The hubs of a failure domain replace each other.
    else if (work.scope === WorkScope.FailureDomain)
      this.remoteReports.put(from.failureDomain, work, now);
    else this.localReports.put(from.instance, work, now);
  }

  /**
   * Adds up the work of all others.
   * @returns the fuller of both accounts: after a change of the hub, one of them is in the making
   */
  public totalOfPeers(now: number): WorkTotal {
    for (const table of [this.localReports, this.remoteReports, this.hubReports]) table.expire(now);
    const collected = sumWork([...this.localReports.reports(), ...this.remoteReports.reports()]);
    const fromHub = sumWork(this.hubReports.reports());
    return fromHub.instances > collected.instances ? fromHub : collected;
  }

  /** Work of this instance. */
  public ownWork(): WorkReport {
    const shares = toServerWork(this.load.listOwnWork());
    return { scope: WorkScope.Instance, instances: 1, shares, retries: this.retryUse() };
  }

  /** Work of all instances but one at home. */
  public workExcept(instance: string): WorkReport {
    const local = this.localReports.reports(instance);
    return toReport(
      WorkScope.Others,
      sumWork([this.ownWork(), ...local, ...this.remoteReports.reports()]),
    );
  }

  /** Work of all instances at home. */
  public domainWork(): WorkReport {
    return toReport(
      WorkScope.FailureDomain,
      sumWork([this.ownWork(), ...this.localReports.reports()]),
    );
  }
}

function toReport(scope: WorkScope, { instances, work, retries }: WorkTotal): WorkReport {
  return { scope, instances, shares: toServerWork(work), retries };
}
