/** Metrics of a router instance, served in the Prometheus text format. */
import { createServer, type Server } from 'node:http';
// The package's index also loads its log writer, which sets up number formats of the locale.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type { Histogram } from 'hdr-histogram-js';
import {
  ConnectionGuard,
  type ConnectionGuardDependencies,
} from '../adapters/http/ConnectionGuard.js';
import type { ConnectionEnd } from '../adapters/http/GuardedConnection.js';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import { PROBE_SERVER_OPTIONS } from '../adapters/http/ProbeServer.js';
import type { AdmissionCounters, AdmissionEnd } from '../core/admission/RankedAdmission.js';
import type { PaceReason } from '../core/pace/Types.js';
import type { RefusalReason, RetryReason } from '../core/Outcome.js';
import type { RelayCounters, RelayEnd } from '../core/relay/RelayDependencies.js';
import type { RetryObstacle } from '../core/relay/RetryObstacle.js';
import type { SuccessionEnd } from '../core/relay/SuccessionLog.js';
import type { StallCounters } from '../core/standstill/StallMonitor.js';

/** Longest recorded time in milliseconds; longer ones count as this. */
const MAX_TRACKED_MS = 600_000;

/** Times under one metric name and label. */
interface LabelledHistogram {
  readonly name: string;
  /** A label with its value, for example `rank="0"`. */
  readonly label: string;
  readonly histogram: Histogram;
}

const PERCENTILES = [50, 95, 99];

export class RouterMetrics implements RelayCounters, AdmissionCounters, StallCounters {
  private readonly counts = new Map<string, number>();

  private readonly histograms = new Map<string, LabelledHistogram>();

  private readonly gauges = new Map<string, () => number>();

  private guard: ConnectionGuard | undefined;

  private readonly server: Server = createServer(PROBE_SERVER_OPTIONS, (request, response) => {
    if (this.guard?.admit(request, response) === false) return;
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(this.text());
  });

  public countEnd(kind: string, end: RelayEnd): void {
    this.count(`acaciadrum_requests_total{kind="${kind}",end="${end}"}`);
  }

  public countRefusal(reason: RefusalReason): void {
    this.count(`acaciadrum_refusals_total{reason="${reason}"}`);
  }

  public countError(kind: string): void {
    this.count(`acaciadrum_request_errors_total{kind="${kind}"}`);
  }

  /** @param listener - name of the listener whose connection was closed */
  public countConnectionEnd(listener: string, end: ConnectionEnd): void {
    this.count(`acaciadrum_connections_closed_total{listener="${listener}",reason="${end}"}`);
  }

  public countRetry(reason: RetryReason): void {
    this.count(`acaciadrum_retries_total{reason="${reason}"}`);
  }

  public countCut(cause: RetryObstacle | RefusalReason): void {
    this.count(`acaciadrum_streams_cut_total{cause="${cause}"}`);
  }

  public countSuccession(end: SuccessionEnd): void {
    this.count(`acaciadrum_successions_total{end="${end}"}`);
  }

  public countAdmission(rank: number, end: AdmissionEnd): void {
    this.count(`acaciadrum_admissions_total{rank="${rank}",end="${end}"}`);
  }

  /** Counts a change of a server's pace as this instance sees it. */
  public countPaceChange(reason: PaceReason): void {
    this.count(`acaciadrum_pace_changes_total{reason="${reason}"}`);
  }

  public countStall(during: string): void {
    this.count(`acaciadrum_stalls_total{during="${during}"}`);
  }

  public recordLateness(ms: number): void {
    this.recordTime('acaciadrum_timer_lateness_ms', 'timer="standstill"', ms);
  }

  public recordFirstByte(kind: string, ms: number): void {
    this.recordTime('acaciadrum_first_byte_ms', `kind="${kind}"`, ms);
  }

  public recordWait(rank: number, ms: number): void {
    this.recordTime('acaciadrum_admission_wait_ms', `rank="${rank}"`, ms);
  }

  private recordTime(name: string, label: string, ms: number): void {
    const key = `${name}{${label}}`;
    let histogram = this.histograms.get(key)?.histogram;
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: MAX_TRACKED_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(key, { name, label, histogram });
    }
    histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.max(0, Math.round(ms))));
  }

  /** Adds a gauge whose value is read each time the metrics are served. */
  public addGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Keeps what clients of the metrics make the process hold within bounds. */
  public protect(dependencies: ConnectionGuardDependencies): void {
    this.guard = new ConnectionGuard(this.server, dependencies);
  }

  public listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(hostAndPort(address), () => resolve());
    });
  }

  public close(): void {
    this.guard?.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Formats every metric in the Prometheus text format. */
  public text(): string {
    const lines: string[] = [];
    for (const [name, value] of this.counts) lines.push(`${name} ${value}`);
    for (const [name, read] of this.gauges) lines.push(`${name} ${read()}`);
    for (const { name, label, histogram } of this.histograms.values()) {
      for (const percentile of PERCENTILES) {
        const labels = `${label},quantile="${percentile / 100}"`;
        lines.push(`${name}{${labels}} ${histogram.getValueAtPercentile(percentile)}`);
      }
      lines.push(`${name}_count{${label}} ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}
