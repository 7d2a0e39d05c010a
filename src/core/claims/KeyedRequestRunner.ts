/** Runs requests that carry an idempotency key at most once. */
import type { ForwardedCall } from '../../ports/Peer.js';
import type { Clock } from '../../ports/Types.js';
import { Outcome, refusal, RefusalReason, type Refusal } from '../Outcome.js';
import { pause } from '../settle/SettledWrite.js';
import { ClaimStore, type ClaimRequest, type HeldClaim } from './ClaimStore.js';
import { KeyMint, MintVerdict, parseKeyOrigin, type KeyOrigin } from './KeyMint.js';
import {
  ClaimState,
  ClaimVerdict,
  type ClaimResult,
  type ClaimRow,
  type StoredAnswer,
} from './Types.js';

/** What running a request came to. Exactly one of the two is set. */
export interface RunResult {
  readonly answer?: StoredAnswer;
  readonly refusal?: Refusal;
}

/** A request with its key, whole enough to be forwarded. */
export type KeyedRequest = ForwardedCall;

/** Runs the request once. A refusal of `NotRun` promises that nothing was dispatched. */
export type Run = () => Promise<RunResult>;

/** Asks other instances about keys. */
export interface KeyHolders {
  /** Whether the holder of a claim still runs the attempt; false when it is gone or does not know it. */
  isRunning(holder: string, attempt: string): Promise<boolean>;
  /** Passes a minted key's request to the instance that minted it; undefined when it is gone. */
  forward(origin: KeyOrigin, request: KeyedRequest): Promise<RunResult | undefined>;
}

/** Delay between looks at a claim that another instance runs, in milliseconds. */
const POLL_MS = 200;

/** Longest wait for another instance's run, in milliseconds. */
const MAX_WAIT_MS = 30_000;

/** Delay between attempts to settle a claim whose fate is unknown, in milliseconds. */
const SETTLE_AGAIN_MS = 1000;

const unknownFate = (): RunResult => ({
  refusal: refusal(
    Outcome.Unknown,
    RefusalReason.ClaimHolderGone,
    'The instance that ran this key is gone, so the request may have run. Look up its effect before you use a new key.',
  ),
});

const mismatch = (): RunResult => ({
  refusal: refusal(
    Outcome.NotRun,
    RefusalReason.ClaimMismatch,
    'This Idempotency-Key stands for another request. Use a new key for a new request.',
  ),
});

const unavailable = (): RunResult => ({
  refusal: refusal(
    Outcome.NotRun,
    RefusalReason.ClaimUnavailable,
    'The claim could not be recorded, so the request was not run. Send it again with the same key, ' +
      'or ask POST /v1/request-keys for a key that needs no store.',
  ),
});

export class KeyedRequestRunner {
  /** Attempts that this instance is running. */
  private readonly attempts = new Set<string>();

  /** Attempts whose record is being made final. */
  private readonly settling = new Set<string>();

  /** Answers not yet stored, by row key; they serve repeats until they are. */
  private readonly unstored = new Map<string, StoredAnswer>();

  private stopped = false;

  public constructor(
    private readonly driver: ClaimStore,
    private readonly mint: KeyMint,
    private readonly holders: KeyHolders,
    private readonly origin: KeyOrigin,
    private readonly clock: Clock,
    private readonly newAttempt: () => string,
  ) {}

  /** Claims whose record is not yet final. */
  public get unsettled(): number {
    return this.attempts.size + this.settling.size;
  }

  /** Whether this instance holds an attempt. */
  public isRunning(attempt: string): boolean {
    return this.attempts.has(attempt) || this.settling.has(attempt);
  }

  /** Ends background settling; for the end of the process. */
  public dispose(): void {
    this.stopped = true;
  }

  /** Runs a request unless its key was used before. */
  public execute(request: KeyedRequest, run: Run): Promise<RunResult> {
    const origin = parseKeyOrigin(request.key);
    return origin === undefined
      ? this.executeClaimed(request, run)
      : this.executeMinted(origin, request, run);
  }

  /** Runs a forwarded request whose key was minted here or inherited. */
  public async executeLocally(request: KeyedRequest, run: Run): Promise<RunResult | undefined> {
    const verdict = this.mint.use(request.key, request.account, request.digest);
    if (verdict === MintVerdict.Foreign) return undefined;
    if (verdict === MintVerdict.Mismatch) return mismatch();
    if (verdict === MintVerdict.Stopping) return unavailable();
    if (verdict === MintVerdict.Running) {
      const answer = await this.mint.wait(request.key);
      return answer === undefined ? unknownFate() : { answer };
    }
    if (verdict === MintVerdict.Replay)
      return { answer: this.mint.answerOf(request.key) as StoredAnswer };
    return this.runMinted(request, run);
  }

  private async executeMinted(
    origin: KeyOrigin,
    request: KeyedRequest,
    run: Run,
  ): Promise<RunResult> {
    const here = await this.executeLocally(request, run);
    if (here !== undefined) return here;
    if (origin.incarnation === this.origin.incarnation) return unknownFate();
    return (await this.holders.forward(origin, request)) ?? unknownFate();
  }

  private async runMinted(request: KeyedRequest, run: Run): Promise<RunResult> {
    let result: RunResult;
    try {
      result = await run();
    } catch {
      result = unknownFate();
    }
    if (result.refusal?.outcome === Outcome.NotRun) this.mint.reset(request.key);
    else this.mint.finish(request.key, result.answer);
    return result;
  }

  private async executeClaimed(request: KeyedRequest, run: Run): Promise<RunResult> {
    const claim: ClaimRequest = { ...request, attempt: this.newAttempt() };
    this.attempts.add(claim.attempt);
    const deadline = this.clock.now() + MAX_WAIT_MS;
    try {
      for (;;) {
        const answer = await this.driver.claim(claim);
        if (answer.verdict === ClaimVerdict.Held)
          return await this.runHeld({ request: claim, version: answer.version }, run);
        const result = await this.read(request, claim, answer);
        if (result !== undefined) return result;
        if (this.clock.now() > deadline) return unknownFate();
        await pause(this.clock, POLL_MS);
      }
    } finally {
      this.attempts.delete(claim.attempt);
    }
  }

  /** Reads a verdict other than `Held`; undefined to look again. */
  private async read(
    request: KeyedRequest,
    claim: ClaimRequest,
    answer: ClaimResult,
  ): Promise<RunResult | undefined> {
    if (answer.verdict === ClaimVerdict.Mismatch) return mismatch();
    if (answer.verdict === ClaimVerdict.Replay && answer.row?.answer !== undefined)
      return { answer: answer.row.answer };
    if (answer.verdict === ClaimVerdict.Running)
      return this.waitFor(request, answer.row as ClaimRow);
    if (answer.verdict === ClaimVerdict.Silent) this.abandon(claim);
    return unavailable();
  }

  private async waitFor(request: KeyedRequest, row: ClaimRow): Promise<RunResult | undefined> {
    const answer = this.unstored.get(`${request.account}/${request.key}`);
    if (answer !== undefined) return { answer };
    if (this.isRunning(row.attempt)) return undefined;
    if (await this.holders.isRunning(row.holder, row.attempt)) return undefined;
    return this.lastLook(request, row);
  }

  /** Reads the row once more: the holder may have finished between the first look and its answer. */
  private async lastLook(request: KeyedRequest, seen: ClaimRow): Promise<RunResult | undefined> {
    let row: ClaimRow | undefined;
    try {
      row = await this.driver.look({ ...request, attempt: '' });
    } catch {
      return unknownFate();
    }
    if (row?.state === ClaimState.Running && row.attempt === seen.attempt) return unknownFate();
    return undefined;
  }

  private async runHeld(claim: HeldClaim, run: Run): Promise<RunResult> {
    let result: RunResult;
    try {
      result = await run();
    } catch {
      result = unknownFate();
    }
    if (result.answer !== undefined) this.store(claim, result.answer);
    else if (result.refusal?.outcome === Outcome.NotRun) await this.release(claim);
    return result;
  }

  /** Stores an answer for as long as it takes; the waiting caller does not wait for it. */
  private async store(claim: HeldClaim, answer: StoredAnswer): Promise<void> {
    const rowKey = `${claim.request.account}/${claim.request.key}`;
    this.unstored.set(rowKey, answer);
    await this.untilTrue(claim.request.attempt, () => this.driver.complete(claim, answer));
    this.unstored.delete(rowKey);
  }

  private async release(claim: HeldClaim): Promise<void> {
    if (await this.driver.release(claim)) return;
    this.untilTrue(claim.request.attempt, () => this.driver.release(claim));
  }

  /** Cancels a claim whose insert may still land; it was never dispatched. */
  private abandon(claim: ClaimRequest): void {
    this.untilTrue(claim.attempt, async () => {
      const answer = await this.driver.claim(claim);
      if (answer.verdict === ClaimVerdict.Held)
        return this.driver.release({ request: claim, version: answer.version });
      return answer.verdict !== ClaimVerdict.Silent && answer.verdict !== ClaimVerdict.NotMade;
    });
  }

  private async untilTrue(attempt: string, step: () => Promise<boolean>): Promise<void> {
    this.settling.add(attempt);
    while (!this.stopped && !(await step())) await pause(this.clock, SETTLE_AGAIN_MS);
    this.settling.delete(attempt);
  }
}
