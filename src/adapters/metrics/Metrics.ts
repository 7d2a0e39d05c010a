/** Counters, gauges and histograms of one entry instance. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import { InvariantKind, type Invariants } from '../../core/Invariant.js';
import type { Outcome, RefusalReason, RetryReason } from '../../core/Outcome.js';
import type { StreamCounters } from '../../core/streams/StreamSession.js';
import { TokenVerdict } from '../../core/streams/TokenAssembler.js';

/** Durations that are recorded, in milliseconds; each value is part of a metric name. */
export enum Timing {
  FirstToken = 'first_token_ms',
  TokenGap = 'token_gap_ms',
  PlainCall = 'plain_call_ms',
}

const MAX_TRACKED_MS = 3_600_000;
const PERCENTILES = [50, 95, 99];

const newHistogram = (): Histogram =>
  build({ highestTrackableValue: MAX_TRACKED_MS, numberOfSignificantValueDigits: 2 });

export class Metrics implements StreamCounters {
  public readonly registry = new Registry();

  private readonly refusals = this.counter(
    'acaciadrum_refusals_total',
    'Requests refused or ended early.',
    ['reason', 'outcome'],
  );

  private readonly retries = this.counter(
    'acaciadrum_retries_total',
    'Streams and calls moved to another server.',
    ['reason'],
  );

  private readonly tokens = this.counter(
    'acaciadrum_tokens_total',
    'Tokens from engines by what became of them.',
    ['verdict'],
  );

  private readonly requests = this.counter(
    'acaciadrum_requests_total',
    'Requests answered whole.',
    ['kind'],
  );

  private readonly invariantViolations = new Gauge({
    name: 'acaciadrum_invariant_violations',
    help: 'Violations of invariants.',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  private readonly histograms = new Map<Timing, Histogram>();

  private readonly deliveredTokens = this.tokens.labels(TokenVerdict.Delivered);

  /** Adds a gauge whose value is read whenever the metrics are collected. */
  public addGauge(name: string, help: string, read: () => number): void {
    this.registry.registerMetric(
      new Gauge({
        name,
        help,
        registers: [],
        collect() {
          this.set(read());
        },
      }),
    );
  }

  public countRefusal(reason: RefusalReason, outcome: Outcome): void {
    this.refusals.labels(reason, outcome).inc();
  }

  public countRetry(reason: RetryReason): void {
    this.retries.labels(reason).inc();
  }

  public countToken(verdict: TokenVerdict): void {
    if (verdict === TokenVerdict.Delivered) this.deliveredTokens.inc();
    else this.tokens.labels(verdict).inc();
  }

  /** @param kind - `completion` or `plain` */
  public countCompleted(kind: string): void {
    this.requests.labels(kind).inc();
  }

  /** Records a duration in milliseconds. */
  public recordTime(timing: Timing, valueMs: number): void {
    let histogram = this.histograms.get(timing);
    if (histogram === undefined) {
      histogram = newHistogram();
      this.histograms.set(timing, histogram);
    }
    histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.max(0, Math.round(valueMs))));
  }

  /** Renders all metrics in the Prometheus text format. */
  public async text(invariants: Invariants): Promise<string> {
    for (const kind of Object.values(InvariantKind)) {
      this.invariantViolations.labels(kind).set(invariants.violations.get(kind) ?? 0);
    }
    return (await this.registry.metrics()) + this.histogramText();
  }

  private histogramText(): string {
    const lines: string[] = [];
    for (const [timing, histogram] of this.histograms) {
      lines.push(`# TYPE acaciadrum_${timing} summary`);
      for (const percentile of PERCENTILES) {
        lines.push(
          `acaciadrum_${timing}{quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile)}`,
        );
      }
      lines.push(`acaciadrum_${timing}_count ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private counter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name, help, labelNames, registers: [this.registry] });
  }
}
