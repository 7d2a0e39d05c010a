/** Sends mixed requests through real sockets and checks every answer. */
import { build, type Histogram } from 'hdr-histogram-js';
import { request as httpRequest, Agent, type IncomingMessage } from 'node:http';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import { Outcome } from '../core/Outcome.js';
import { answerText } from '../fakes/TokenText.js';
import { DEMO_KEYS, DEMO_PIPELINE, DEMO_SERVICE, type DemoFleet } from '../fakes/DemoFleet.js';

/** Percentiles of a time, in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Result of a demo run. */
export interface DemoReport {
  readonly requests: number;
  readonly complete: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Number of answers that were incomplete or wrong. */
  readonly broken: number;
  /** Number of invariant violations at the instances and of repeated layer runs at the servers. */
  readonly layerViolations: number;
  /** Number of runs of plain calls beyond the first run of each call. */
  readonly doubleRuns: number;
  readonly tokens: number;
  readonly ttftMs: Percentiles;
  readonly tokenGapMs: Percentiles;
  readonly seconds: number;
}

/** One answer as its caller received it. */
interface CheckedAnswer {
  readonly outcome: Outcome;
  readonly whole: boolean;
  /** Number of tokens requested, also if fewer arrived; 0 for a plain call. */
  readonly tokens: number;
}

type SendRequest = (index: number) => Promise<CheckedAnswer>;

const CONCURRENCY = 32;
const TOKENS = 24;
const US_PER_MS = 1000;
const KEY = DEMO_KEYS.workshop;

/** Creates a histogram of times in microseconds. */
const newHistogram = (): Histogram =>
  build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });

/** Converts microseconds to milliseconds, rounded to two decimals. */
function percentiles(histogram: Histogram): Percentiles {
  const at = (percentile: number) =>
    Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
  return { p50: at(50), p95: at(95), p99: at(99) };
}

export class DemoRun {
  private readonly agent = new Agent({ keepAlive: true });

  private readonly ttft = newHistogram();

  private readonly tokenGaps = newHistogram();

  public constructor(private readonly fleet: DemoFleet) {}

  /** Sends `count` requests, with the kinds of request in rotation. */
  public async send(count: number): Promise<DemoReport> {
    const startedAt = performance.now();
    const senders: readonly SendRequest[] = [
      (index) => this.sendStreamed(index),
      (index) => this.sendUnstreamed(index),
      (index) => this.sendPlainRead(index),
      (index) => this.sendBookingTwice(index),
    ];
    const results: CheckedAnswer[] = [];
    let next = 0;
    const worker = async (): Promise<void> => {
      while (next < count) {
        const index = next;
        next += 1;
        results.push(await senders[index % senders.length](index));
      }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, worker));
    this.agent.destroy();
    return this.report(results, (performance.now() - startedAt) / 1000);
  }

  private report(results: readonly CheckedAnswer[], seconds: number): DemoReport {
    const countOf = (outcome: Outcome) =>
      results.filter((result) => result.outcome === outcome).length;
    let doubleRuns = 0;
    for (const { daemon } of this.fleet.servers) {
      for (const runs of daemon.plainRunsByCall.values()) doubleRuns += runs - 1;
    }
    return {
      requests: results.length,
      complete: countOf(Outcome.Complete),
      notRun: countOf(Outcome.NotRun),
      unknown: countOf(Outcome.Unknown),
      broken: results.filter((result) => !result.whole).length,
      layerViolations: this.fleet.countViolations(),
      doubleRuns,
      tokens: results.reduce((sum, result) => sum + result.tokens, 0),
      ttftMs: percentiles(this.ttft),
      tokenGapMs: percentiles(this.tokenGaps),
      seconds: Math.round(seconds * 100) / 100,
    };
  }

  private entryAddress(index: number): string {
    const { entries } = this.fleet;
    return entries[index % entries.length].addresses.callers;
  }

  private async sendStreamed(index: number): Promise<CheckedAnswer> {
    const prompt = `Draft the glue schedule of frame ${index}.`;
    const startedAt = performance.now();
    const message = await this.openRequest(index, 'POST', '/v1/completions', {
      model: DEMO_PIPELINE,
      prompt,
      max_tokens: TOKENS,
      stream: true,
    });
    let text = '';
    let buffered = '';
    let lastAt = 0;
    let done = false;
    for await (const chunk of message) {
      const now = performance.now();
      buffered += String(chunk);
      const events = buffered.split('\n\n');
      buffered = events.pop() as string;
      for (const event of events) {
        if (event === 'data: [DONE]') done = true;
        else if (event.startsWith('data: ')) {
          const { choices } = JSON.parse(event.slice('data: '.length)) as {
            choices?: { text: string; finish_reason: string | null }[];
          };
          const [choice] = choices ?? [];
          if (choice === undefined || choice.finish_reason !== null) continue;
          text += choice.text;
          if (lastAt === 0) this.ttft.recordValue(Math.round((now - startedAt) * US_PER_MS));
          else this.tokenGaps.recordValue(Math.round((now - lastAt) * US_PER_MS));
          lastAt = now;
        }
      }
    }
    const whole = done && text === answerText(prompt, TOKENS);
    return { outcome: whole ? Outcome.Complete : Outcome.Unknown, whole, tokens: TOKENS };
  }

  private async sendUnstreamed(index: number): Promise<CheckedAnswer> {
    const content = `Where is order ${index}?`;
    const message = await this.openRequest(index, 'POST', '/v1/chat/completions', {
      model: DEMO_PIPELINE,
      max_tokens: TOKENS,
      messages: [{ role: 'user', content }],
    });
    const body = JSON.parse(await readText(message)) as {
      choices?: { message: { content: string } }[];
    };
    const whole = body.choices?.[0]?.message.content === answerText(`user: ${content}`, TOKENS);
    return { outcome: readOutcome(message), whole, tokens: TOKENS };
  }

  private async sendPlainRead(index: number): Promise<CheckedAnswer> {
    const message = await this.openRequest(
      index,
      'GET',
      `/services/${DEMO_SERVICE}/stock/${index}`,
      undefined,
      { 'x-call-id': `read-${index}` },
    );
    const body = JSON.parse(await readText(message)) as { call?: string };
    return { outcome: readOutcome(message), whole: body.call === `read-${index}`, tokens: 0 };
  }

  private async sendBookingTwice(index: number): Promise<CheckedAnswer> {
    const call = `booking-${index}`;
    const headers = { 'x-call-id': call, 'idempotency-key': `demo-${call}` };
    const message = await this.openRequest(
      index,
      'POST',
      `/services/${DEMO_SERVICE}/bookings`,
      { lids: index },
      headers,
    );
    const first = await readText(message);
    const again = await this.openRequest(
      index + 1,
      'POST',
      `/services/${DEMO_SERVICE}/bookings`,
      { lids: index },
      headers,
    );
    const second = await readText(again);
    const whole = first === second && (JSON.parse(first) as { call?: string }).call === call;
    return { outcome: readOutcome(message), whole, tokens: 0 };
  }

  private openRequest(
    index: number,
    method: string,
    path: string,
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const outgoing = httpRequest(
        {
          ...hostAndPort(this.entryAddress(index)),
          method,
          path,
          agent: this.agent,
          headers: {
            authorization: `Bearer ${KEY}`,
            'content-type': 'application/json',
            ...headers,
          },
        },
        resolve,
      );
      outgoing.on('error', reject);
      outgoing.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }
}

async function readText(message: IncomingMessage): Promise<string> {
  let all = '';
  for await (const chunk of message) all += String(chunk);
  return all;
}

function readOutcome(message: IncomingMessage): Outcome {
  return (message.headers['acaciadrum-outcome'] as Outcome | undefined) ?? Outcome.Unknown;
}
