/** Keeps account of all instances' work and retries, from what peers report. */
import type { RetryUse } from '../limits/SharedRetryBudget.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import { WorkScope, type PeerAddress, type WorkReport } from './Types.js';
import { listShares, sumWork, WorkReportTable, type WorkSum } from './WorkReportTable.js';

export class WorkAggregator {
  /** Work of instances at home, by instance. */
  private readonly home = new WorkReportTable();

  /** Work of other failure domains, as their hubs count it. */
  private readonly away = new WorkReportTable();

  /** Work of all others, as the hub of the own failure domain counts it. */
  private readonly told = new WorkReportTable();

  /** @param retryUse - this instance's requests and retries of the last window */
  public constructor(
    private readonly load: ServerLoad,
    private readonly retryUse: () => RetryUse[],
  ) {}

  /** Takes in a peer's report. */
  public put(from: PeerAddress, work: WorkReport, now: number): void {
    if (work.scope === WorkScope.Others) this.told.put('hub', work, now);
    // The hubs of a failure domain replace each other.
    else if (work.scope === WorkScope.FailureDomain) this.away.put(from.failureDomain, work, now);
    else this.home.put(from.instance, work, now);
  }

  /**
   * Adds up the work of all others.
   * @returns the fuller of both accounts: after a change of the hub, one of them is in the making
   */
  public count(now: number): WorkSum {
    for (const table of [this.home, this.away, this.told]) table.expire(now);
    const heard = sumWork([...this.home.reports(), ...this.away.reports()]);
    const told = sumWork(this.told.reports());
    return told.instances > heard.instances ? told : heard;
  }

  /** Work of this instance. */
  public ownWork(): WorkReport {
    const shares = listShares(this.load.listOwnWork());
    return { scope: WorkScope.Instance, instances: 1, shares, retries: this.retryUse() };
  }

  /** Work of all instances but one at home. */
  public workForAllBut(instance: string): WorkReport {
    const home = this.home.reports(instance);
    return toReport(WorkScope.Others, sumWork([this.ownWork(), ...home, ...this.away.reports()]));
  }

  /** Work of all instances at home. */
  public workOfDomain(): WorkReport {
    return toReport(WorkScope.FailureDomain, sumWork([this.ownWork(), ...this.home.reports()]));
  }
}

function toReport(scope: WorkScope, { instances, work, retries }: WorkSum): WorkReport {
  return { scope, instances, shares: listShares(work), retries };
}
