/** Callers of the random runs. Each repeats its request only as the outcome allows. */
import { PlainExchange } from '../../adapters/http/PlainExchange.js';
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
const RETRY_PAUSE_MS = 400;
const HANG_UP_CHANCE = 0.05;
const MAX_HANG_UP_MS = 300;
const MAX_TOKENS = 60;
const TWICE_CHANCE = 0.3;
const BOOKING_PATH = `/services/${SERVICE}/bookings`;

/** Counts of outcomes. */
export interface CallerCounts {
  requests: number;
  complete: number;
  notRun: number;
  unknown: number;
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

  public constructor(private readonly world: SoakEnvironment) {}

  /** Requests whose callers still wait. */
  public get openCount(): number {
    return this.open.size;
  }

  /** Names of requests whose callers still wait. */
  public get openNames(): string {
    return [...this.open].join(', ');
  }

  /** Sends requests at random times. */
  public schedule(count: number, from: number, to: number): void {
    for (let index = 0; index < count; index += 1) {
      const at = this.world.random.between(from, to);
      this.world.clock.schedule(at - this.world.clock.now(), () => this.run(index));
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

  /** Picks an instance; the caller loses its connection when that instance dies. */
  private async at<T>(action: (instance: SoakInstance) => Promise<T>): Promise<T | undefined> {
    const live = this.world.instancesInRotation(true);
    if (live.length === 0) return undefined;
    const instance = this.world.random.pick(live);
    const died = instance.host.waitUntilDead();
    return Promise.race([died, action(instance)]);
  }

  private async completion(index: number): Promise<Outcome | undefined> {
    const prompt = `prompt ${index}`;
    const tokens = 1 + Math.floor(this.world.random.next() * MAX_TOKENS);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const id = `completion-${index}-${attempt}`;
      const outcome = await this.at((instance) => this.complete(instance, id, prompt, tokens));
      if (outcome === Outcome.Complete || outcome === Outcome.Unknown || outcome === undefined)
        return outcome;
      await this.world.clock.sleep(RETRY_PAUSE_MS);
    }
    return Outcome.NotRun;
  }

  private complete(
    instance: SoakInstance,
    id: string,
    prompt: string,
    tokens: number,
  ): Promise<Outcome> {
    const { world } = this;
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
            world.invariants.check(
              InvariantKind.TokenOrder,
              index === next,
              () => `${id} got token ${index} for ${next}`,
            );
            next += 1;
            text += token;
          },
          onEnd: (_finish, count) => {
            const whole = count === tokens && text === answerText(prompt, tokens);
            world.invariants.check(
              InvariantKind.WholeAnswer,
              whole,
              () => `${id} ended short or wrong`,
            );
            resolve(Outcome.Complete);
          },
          onRefusal: (refused: Refusal) => {
            if (refused.outcome === Outcome.NotRun) world.recordNotRun(id);
            resolve(refused.outcome);
          },
        },
      );
      if (!world.random.chance(HANG_UP_CHANCE)) return;
      world.clock.schedule(world.random.between(0, MAX_HANG_UP_MS), () => handle.dispose());
    });
  }

  private headers(call: string, attempt: string): Record<string, string> {
    return { [CALL_HEADER]: call, [ATTEMPT_HEADER]: attempt };
  }

  private async unkeyedBooking(index: number): Promise<Outcome | undefined> {
    const call = `unkeyed-${index}`;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const name = `${call}-${attempt}`;
      const result = await this.at((instance) => this.send(instance, call, name));
      const outcome = this.judge(result, call, name);
      if (outcome !== Outcome.NotRun) return outcome;
      await this.world.clock.sleep(RETRY_PAUSE_MS);
    }
    return Outcome.NotRun;
  }

  private send(instance: SoakInstance, call: string, attempt: string): Promise<RunResult> {
    const exchange = new PlainExchange({
      plainCalls: instance.core.plainCalls,
      metrics: { countCompleted: () => {} },
    });
    return exchange.runBuffered(
      ACCOUNT,
      'POST',
      BOOKING_PATH,
      this.headers(call, attempt),
      Buffer.from(call),
    );
  }

  private async keyedBooking(index: number): Promise<Outcome | undefined> {
    const call = `keyed-${index}`;
    const first = this.repeatKeyed(call, call, '');
    if (this.world.random.chance(TWICE_CHANCE)) await this.repeatKeyed(call, call, '-again');
    return first;
  }

  private async mintedBooking(index: number): Promise<Outcome | undefined> {
    const call = `minted-${index}`;
    const minted = await this.at(async ({ core }) =>
      core.keyMint.mint(ACCOUNT, this.world.clock.now()),
    );
    if (minted === undefined) return Outcome.NotRun;
    return this.repeatKeyed(call, minted, '');
  }

  /** Repeats with the same key after not-run and unknown, and when the connection is lost. */
  private async repeatKeyed(
    call: string,
    key: string,
    suffix: string,
  ): Promise<Outcome | undefined> {
    let last: Outcome | undefined = Outcome.NotRun;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const name = `${call}-${attempt}${suffix}`;
      const result = await this.at((instance) => this.executeKeyed(instance, call, key, name));
      last = this.judge(result, call, name);
      if (last === Outcome.Complete) return last;
      await this.world.clock.sleep(RETRY_PAUSE_MS);
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

  private judge(result: RunResult | undefined, call: string, attempt: string): Outcome | undefined {
    if (result === undefined) return undefined;
    if (result.refusal?.outcome === Outcome.NotRun) this.world.recordNotRun(attempt);
    if (result.refusal !== undefined) return result.refusal.outcome;
    const body = Buffer.from(result.answer?.body ?? '', 'base64').toString();
    this.world.invariants.check(
      InvariantKind.WholeAnswer,
      body === `ran ${call}` && this.world.plainRunsOf(call) === 1,
      () => `${call} was answered "${body}" after ${this.world.plainRunsOf(call)} runs`,
    );
    return Outcome.Complete;
  }
}
