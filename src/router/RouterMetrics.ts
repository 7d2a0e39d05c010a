/** Metrics of a router instance, served in the Prometheus text format. */
import { createServer, type Server } from 'node:http';
// The package's index also loads its log writer, which sets up number formats of the locale.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type { Histogram } from 'hdr-histogram-js';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import type { PaceReason } from '../core/pace/Types.js';
import type { RefusalReason, RetryReason } from '../core/Outcome.js';
import type { RelayCounters, RelayEnd } from '../core/relay/RelayDependencies.js';

/** Longest recorded time in milliseconds; longer ones count as this. */
const MAX_TRACKED_MS = 600_000;

const PERCENTILES = [50, 95, 99];

export class RouterMetrics implements RelayCounters {
  private readonly counts = new Map<string, number>();

  private readonly histograms = new Map<string, Histogram>();

  private readonly gauges = new Map<string, () => number>();

  private readonly server: Server = createServer((_request, response) => {
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

  public countRetry(reason: RetryReason): void {
    this.count(`acaciadrum_retries_total{reason="${reason}"}`);
  }

  /** Counts a change of a server's pace as this instance sees it. */
  public countPaceChange(reason: PaceReason): void {
    this.count(`acaciadrum_pace_changes_total{reason="${reason}"}`);
  }

  public recordFirstByte(kind: string, ms: number): void {
    let histogram = this.histograms.get(kind);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: MAX_TRACKED_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(kind, histogram);
    }
    histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.max(0, Math.round(ms))));
  }

  /** Adds a gauge whose value is read each time the metrics are served. */
  public addGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  public listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(hostAndPort(address), () => resolve());
    });
  }

  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Formats every metric in the Prometheus text format. */
  public text(): string {
    const lines: string[] = [];
    for (const [name, value] of this.counts) lines.push(`${name} ${value}`);
    for (const [name, read] of this.gauges) lines.push(`${name} ${read()}`);
    for (const [kind, histogram] of this.histograms) {
      for (const percentile of PERCENTILES) {
        const labels = `kind="${kind}",quantile="${percentile / 100}"`;
        lines.push(
          `acaciadrum_first_byte_ms{${labels}} ${histogram.getValueAtPercentile(percentile)}`,
        );
      }
      lines.push(`acaciadrum_first_byte_ms_count{kind="${kind}"} ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}
