/** Simulated callers of the soak runs. Each retries its request only if the outcome allows it. */
import { PlainRequestHandler } from '../../adapters/http/PlainRequestHandler.js';
import type { RunResult } from '../../core/claims/KeyedRequestRunner.js';
import { InvariantKind } from '../../core/Invariant.js';
import { Outcome, type Refusal } from '../../core/Outcome.js';
import { answerText } from '../TokenText.js';
import { ATTEMPT_HEADER, CALL_HEADER } from './SoakPlainTransport.js';
import {
  ACCOUNT,
  PIPELINE,
  SERVICE,
  type SoakInstance,
  type SoakEnvironment,
} from './SoakEnvironment.js';

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 400;
const DISCONNECT_CHANCE = 0.05;
const MAX_DISCONNECT_DELAY_MS = 300;
const MAX_TOKENS = 60;
const DUPLICATE_CHANCE = 0.3;
const BOOKING_PATH = `/services/${SERVICE}/bookings`;

/** Number of requests in total and by outcome. */
export interface CallerCounts {
  /** All requests. */
  requests: number;
  complete: number;
  notRun: number;
  unknown: number;
  /** Requests without an outcome: no instance was in rotation, or the connection to it was lost. */
  cutOff: number;
}

interface Job {
  readonly name: string;
  readonly run: (index: number) => Promise<Outcome | undefined>;
}

export class Callers {
  public readonly counts: CallerCounts = {
    requests: 0,
    complete: 0,
    notRun: 0,
    unknown: 0,
    cutOff: 0,
  };

  private readonly open = new Set<string>();

  private readonly jobs: readonly Job[] = [
    { name: 'completion', run: (index) => this.completion(index) },
    { name: 'completion', run: (index) => this.completion(index) },
    { name: 'keyed', run: (index) => this.keyedBooking(index) },
    { name: 'minted', run: (index) => this.mintedBooking(index) },
    { name: 'unkeyed', run: (index) => this.unkeyedBooking(index) },
  ];

  public constructor(private readonly environment: SoakEnvironment) {}

  /** Number of requests whose callers are still waiting. */
  public get openCount(): number {
    return this.open.size;
  }

  /** Names of the requests whose callers are still waiting, separated by commas. */
  public get openNames(): string {
    return [...this.open].join(', ');
  }

  /**
   * Sends `count` requests at random times between `fromMs` and `untilMs`, in milliseconds of virtual
   * time.
   */
  public schedule(count: number, fromMs: number, untilMs: number): void {
    for (let index = 0; index < count; index += 1) {
      const at = this.environment.random.between(fromMs, untilMs);
      this.environment.clock.schedule(at - this.environment.clock.now(), () => this.run(index));
    }
  }

  private async run(index: number): Promise<void> {
    const job = this.jobs[index % this.jobs.length];
    const name = `${job.name} ${index}`;
    this.open.add(name);
    this.counts.requests += 1;
    const outcome = await job.run(index);
    this.open.delete(name);
    if (outcome === Outcome.Complete) this.counts.complete += 1;
    else if (outcome === Outcome.NotRun) this.counts.notRun += 1;
    else if (outcome === Outcome.Unknown) this.counts.unknown += 1;
    else this.counts.cutOff += 1;
  }

  /**
   * Runs an action against a random instance in rotation.
   * @returns undefined if there is no instance, or if it crashes or stops and the caller loses its connection
   */
  private async withInstance<T>(
    action: (instance: SoakInstance) => Promise<T>,
  ): Promise<T | undefined> {
    const live = this.environment.instancesInRotation(true);
    if (live.length === 0) return undefined;
    const instance = this.environment.random.pick(live);
    const stopped = instance.host.waitUntilStopped();
    return Promise.race([stopped, action(instance)]);
  }

  private async completion(index: number): Promise<Outcome | undefined> {
    const prompt = `prompt ${index}`;
    const tokens = 1 + Math.floor(this.environment.random.next() * MAX_TOKENS);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const id = `completion-${index}-${attempt}`;
      const outcome = await this.withInstance((instance) =>
        this.submitCompletion(instance, id, prompt, tokens),
      );
      if (outcome === Outcome.Complete || outcome === Outcome.Unknown || outcome === undefined)
        return outcome;
      await this.environment.clock.sleep(RETRY_DELAY_MS);
    }
    return Outcome.NotRun;
  }

  private submitCompletion(
    instance: SoakInstance,
    id: string,
    prompt: string,
    tokens: number,
  ): Promise<Outcome> {
    const { environment } = this;
    return new Promise((resolve) => {
      let text = '';
      let next = 0;
      const handle = instance.core.completions.submit(
        {
          id,
          account: ACCOUNT,
          pipeline: PIPELINE,
          prompt,
          maxTokens: tokens,
          priority: 0,
          bytes: prompt.length,
        },
        {
          onToken: (token, index) => {
            environment.invariants.check(
              InvariantKind.TokenOrder,
              index === next,
              () => `${id} received token ${index} instead of ${next}`,
            );
            next += 1;
            text += token;
          },
          onEnd: (_finish, count) => {
            const whole = count === tokens && text === answerText(prompt, tokens);
            environment.invariants.check(
              InvariantKind.WholeAnswer,
              whole,
              () => `${id} ended with an incomplete or wrong answer`,
            );
            resolve(Outcome.Complete);
          },
          onRefusal: (refused: Refusal) => {
            if (refused.outcome === Outcome.NotRun) environment.recordNotRun(id);
            resolve(refused.outcome);
          },
        },
      );
      if (!environment.random.chance(DISCONNECT_CHANCE)) return;
      environment.clock.schedule(environment.random.between(0, MAX_DISCONNECT_DELAY_MS), () =>
        handle.dispose(),
      );
    });
  }

  private headers(call: string, attempt: string): Record<string, string> {
    return { [CALL_HEADER]: call, [ATTEMPT_HEADER]: attempt };
  }

  private async unkeyedBooking(index: number): Promise<Outcome | undefined> {
    const call = `unkeyed-${index}`;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const name = `${call}-${attempt}`;
      const result = await this.withInstance((instance) => this.send(instance, call, name));
      const outcome = this.checkResult(result, call, name);
      if (outcome !== Outcome.NotRun) return outcome;
      await this.environment.clock.sleep(RETRY_DELAY_MS);
    }
    return Outcome.NotRun;
  }

  private send(instance: SoakInstance, call: string, attempt: string): Promise<RunResult> {
    const requestHandler = new PlainRequestHandler({
      plainCalls: instance.core.plainCalls,
      metrics: { countCompleted: () => {} },
    });
    return requestHandler.runBuffered(
      ACCOUNT,
      'POST',
      BOOKING_PATH,
      this.headers(call, attempt),
      Buffer.from(call),
    );
  }

  private async keyedBooking(index: number): Promise<Outcome | undefined> {
    const call = `keyed-${index}`;
    const first = this.sendKeyedWithRetries(call, call, '');
    if (this.environment.random.chance(DUPLICATE_CHANCE))
      await this.sendKeyedWithRetries(call, call, '-again');
    return first;
  }

  private async mintedBooking(index: number): Promise<Outcome | undefined> {
    const call = `minted-${index}`;
    const minted = await this.withInstance(async ({ core }) =>
      core.keyMint.mint(ACCOUNT, this.environment.clock.now()),
    );
    if (minted === undefined) return Outcome.NotRun;
    return this.sendKeyedWithRetries(call, minted, '');
  }

  /** Retries with the same key after not-run and unknown, and when the connection is lost. */
  private async sendKeyedWithRetries(
    call: string,
    key: string,
    suffix: string,
  ): Promise<Outcome | undefined> {
    let last: Outcome | undefined = Outcome.NotRun;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const name = `${call}-${attempt}${suffix}`;
      const result = await this.withInstance((instance) =>
        this.executeKeyed(instance, call, key, name),
      );
      last = this.checkResult(result, call, name);
      if (last === Outcome.Complete) return last;
      await this.environment.clock.sleep(RETRY_DELAY_MS);
    }
    return last;
  }

  private executeKeyed(
    instance: SoakInstance,
    call: string,
    key: string,
    attempt: string,
  ): Promise<RunResult> {
    const request = {
      account: ACCOUNT,
      key,
      digest: call,
      path: BOOKING_PATH,
      method: 'POST',
      headers: this.headers(call, attempt),
      body: Buffer.from(call).toString('base64'),
    };
    return instance.core.keyedRequests.execute(request, () => this.send(instance, call, attempt));
  }

  private checkResult(
    result: RunResult | undefined,
    call: string,
    attempt: string,
  ): Outcome | undefined {
    if (result === undefined) return undefined;
    if (result.refusal?.outcome === Outcome.NotRun) this.environment.recordNotRun(attempt);
    if (result.refusal !== undefined) return result.refusal.outcome;
    const body = Buffer.from(result.answer?.body ?? '', 'base64').toString();
    this.environment.invariants.check(
      InvariantKind.WholeAnswer,
      body === `ran ${call}` && this.environment.plainRunsOf(call) === 1,
      () => `${call} was answered "${body}" after ${this.environment.plainRunsOf(call)} runs`,
    );
    return Outcome.Complete;
  }
}
