/** Adds up the outstanding work and retries of all instances, from the reports of peers. */
import type { RetryUse } from '../limits/SharedRetryBudget.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import { WorkScope, type PeerIdentity, type WorkReport } from './Types.js';
import { toServerWork, sumWork, WorkReportTable, type WorkTotal } from './WorkReportTable.js';

/** The work of all other instances. */
export interface PeerTotal extends WorkTotal {
  /** Mean time since the reports arrived here, in milliseconds. */
  readonly ageMs: number;
}

export class WorkAggregator {
  /** Reports of instances in the local failure domain, by instance. */
  private readonly localReports = new WorkReportTable();

  /** Reports of the hubs of remote failure domains, by failure domain. */
  private readonly remoteReports = new WorkReportTable();

  /** Report of the local hub about all other instances. */
  private readonly hubReports = new WorkReportTable();

  /** @param retryUse - returns this instance's requests and retries in the last window */
  public constructor(
    private readonly load: ServerLoad,
    private readonly retryUse: () => RetryUse[],
  ) {}

  /** Stores a peer's report, which replaces its previous one. */
  public put(from: PeerIdentity, work: WorkReport, now: number): void {
    if (work.scope === WorkScope.Others) this.hubReports.put('hub', work, now);
    // A report of a new hub replaces that of the previous hub of its failure domain.
    else if (work.scope === WorkScope.FailureDomain)
      this.remoteReports.put(from.failureDomain, work, now);
    else this.localReports.put(from.instance, work, now);
  }

  /**
   * Adds up the work of all other instances.
   * @returns either the total collected here or the local hub's, whichever covers more instances: after a
   * change of the hub, one of them is still incomplete
   */
  public totalOfPeers(now: number): PeerTotal {
    for (const table of [this.localReports, this.remoteReports, this.hubReports]) table.expire(now);
    const collected = sumWork([...this.localReports.reports(), ...this.remoteReports.reports()]);
    const fromHub = sumWork(this.hubReports.reports());
    const isFromHub = fromHub.instances > collected.instances;
    const sources = isFromHub ? [this.hubReports] : [this.localReports, this.remoteReports];
    const ages = sources.flatMap((table) => table.ages(now));
    const ageMs = ages.length === 0 ? 0 : ages.reduce((sum, age) => sum + age) / ages.length;
    return { ...(isFromHub ? fromHub : collected), ageMs };
  }

  /** Returns the work of this instance. */
  public ownWork(): WorkReport {
    const shares = toServerWork(this.load.listOwnWork());
    return { scope: WorkScope.Instance, instances: 1, shares, retries: this.retryUse() };
  }

  /** Returns the work of all instances except one in the local failure domain. */
  public workExcept(instance: string): WorkReport {
    const local = this.localReports.reports(instance);
    return toReport(
      WorkScope.Others,
      sumWork([this.ownWork(), ...local, ...this.remoteReports.reports()]),
    );
  }

  /** Returns the work of all instances in the local failure domain. */
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
