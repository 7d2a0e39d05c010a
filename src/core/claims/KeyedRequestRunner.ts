/** Runs requests that carry an idempotency key at most once. */
import type { ForwardedCall } from '../../ports/Peer.js';
import type { Clock } from '../../ports/Types.js';
import { Outcome, refusal, RefusalReason, type Refusal } from '../Outcome.js';
import { pause } from '../settle/SettleableWrite.js';
import { ClaimStore, type ClaimRequest, type HeldClaim } from './ClaimStore.js';
import { KeyMint, MintVerdict, parseKeyOrigin, type KeyOrigin } from './KeyMint.js';
import {
  ClaimState,
  ClaimVerdict,
  type ClaimResult,
  type ClaimRow,
  type StoredAnswer,
} from './Types.js';

/** Result of running a request. Exactly one of the two fields is set. */
export interface RunResult {
  readonly answer?: StoredAnswer;
  readonly refusal?: Refusal;
}

/** A request with its key, complete enough to be forwarded. */
export type KeyedRequest = ForwardedCall;

/**
 * Runs the request once. A refusal with the outcome `NotRun` guarantees that nothing was
 * dispatched.
 */
export type RunRequest = () => Promise<RunResult>;

/** Calls the instances that hold keys. */
export interface KeyHolderClient {
  /**
   * Whether the holder of a claim still runs the attempt; false when the holder is gone or does not
   * know it.
   */
  isRunning(holder: string, attempt: string): Promise<boolean>;
  /**
   * Forwards the request of a minted key to the instance that holds the key; undefined when that
   * instance is gone, does not answer in time, or returns that the key is not usable.
   */
  forward(origin: KeyOrigin, request: KeyedRequest): Promise<RunResult | undefined>;
}

/** Delay between reads of a claim that another instance holds, in milliseconds. */
const CLAIM_POLL_MS = 200;

/** Time limit for another instance to finish running a request, in milliseconds. */
const CLAIM_WAIT_TIMEOUT_MS = 30_000;

/** Delay between attempts to settle a claim whose outcome is unknown, in milliseconds. */
const SETTLE_RETRY_MS = 1000;

const unknownOutcome = (): RunResult => ({
  refusal: refusal(
    Outcome.Unknown,
    RefusalReason.ClaimHolderGone,
    'The result of the request with this key is not known, and the request may have run. Check whether it took effect before you use a new key.',
  ),
});

const mismatch = (): RunResult => ({
  refusal: refusal(
    Outcome.NotRun,
    RefusalReason.ClaimMismatch,
    'This Idempotency-Key was used for a different request. Use a new key for a new request.',
  ),
});

const unavailable = (): RunResult => ({
  refusal: refusal(
    Outcome.NotRun,
    RefusalReason.ClaimUnavailable,
    'The use of this key could not be recorded, so the request was not run. Send it again with the same key, ' +
      'or get a key that needs no store from POST /v1/request-keys.',
  ),
});

export class KeyedRequestRunner {
  /** Attempts that this instance is running. */
  private readonly attempts = new Set<string>();

  /** Attempts whose claims are being settled. */
  private readonly settling = new Set<string>();

  /**
   * Answers that are not stored yet, by account and key. Repeated requests are answered from here
   * until then.
   */
  private readonly unstoredAnswers = new Map<string, StoredAnswer>();

  private stopped = false;

  public constructor(
    private readonly claimStore: ClaimStore,
    private readonly keyMint: KeyMint,
    private readonly holders: KeyHolderClient,
    private readonly origin: KeyOrigin,
    private readonly clock: Clock,
    private readonly newAttempt: () => string,
  ) {}

  /** Number of claims that are running or not yet settled. */
  public get unsettled(): number {
    return this.attempts.size + this.settling.size;
  }

  /** Whether this instance is running or settling an attempt. */
  public isRunning(attempt: string): boolean {
    return this.attempts.has(attempt) || this.settling.has(attempt);
  }

  /** Stops settling in the background, when the process ends. */
  public dispose(): void {
    this.stopped = true;
  }

  /** Runs a request unless its key was used before. */
  public execute(request: KeyedRequest, run: RunRequest): Promise<RunResult> {
    const origin = parseKeyOrigin(request.key);
    return origin === undefined
      ? this.executeClaimed(request, run)
      : this.executeMinted(origin, request, run);
  }

  /**
   * Runs a request whose key this instance minted, or holds since a hand-over.
   * @returns undefined when the key is not usable on this instance ({@link MintVerdict.NotUsable})
   */
  public async executeLocally(
    request: KeyedRequest,
    run: RunRequest,
  ): Promise<RunResult | undefined> {
    const verdict = this.keyMint.use(request.key, request.account, request.digest);
    if (verdict === MintVerdict.NotUsable) return undefined;
    if (verdict === MintVerdict.Mismatch) return mismatch();
    if (verdict === MintVerdict.Stopping) return unavailable();
    if (verdict === MintVerdict.Running) {
      const answer = await this.keyMint.wait(request.key);
      return answer === undefined ? unknownOutcome() : { answer };
    }
    if (verdict === MintVerdict.Replay)
      return { answer: this.keyMint.answerOf(request.key) as StoredAnswer };
    return this.runMinted(request, run);
  }

  private async executeMinted(
    origin: KeyOrigin,
    request: KeyedRequest,
    run: RunRequest,
  ): Promise<RunResult> {
    const localResult = await this.executeLocally(request, run);
    if (localResult !== undefined) return localResult;
    if (origin.incarnation === this.origin.incarnation) return unknownOutcome();
    return (await this.holders.forward(origin, request)) ?? unknownOutcome();
  }

  private async runMinted(request: KeyedRequest, run: RunRequest): Promise<RunResult> {
    let result: RunResult;
    try {
      result = await run();
    } catch {
      result = unknownOutcome();
    }
    if (result.refusal?.outcome === Outcome.NotRun) this.keyMint.reset(request.key);
    else this.keyMint.finish(request.key, result.answer);
    return result;
  }

  private async executeClaimed(request: KeyedRequest, run: RunRequest): Promise<RunResult> {
    const claim: ClaimRequest = { ...request, attempt: this.newAttempt() };
    this.attempts.add(claim.attempt);
    const deadline = this.clock.now() + CLAIM_WAIT_TIMEOUT_MS;
    try {
      for (;;) {
        const claimResult = await this.claimStore.claim(claim);
        if (claimResult.verdict === ClaimVerdict.Held)
          return await this.runClaimed({ request: claim, version: claimResult.version }, run);
        const result = await this.handleVerdict(request, claim, claimResult);
        if (result !== undefined) return result;
        if (this.clock.now() > deadline) return unknownOutcome();
        await pause(this.clock, CLAIM_POLL_MS);
      }
    } finally {
      this.attempts.delete(claim.attempt);
    }
  }

  /** Handles a verdict other than `Held`; undefined when the claim has to be read again. */
  private async handleVerdict(
    request: KeyedRequest,
    claim: ClaimRequest,
    claimResult: ClaimResult,
  ): Promise<RunResult | undefined> {
    if (claimResult.verdict === ClaimVerdict.Mismatch) return mismatch();
    if (claimResult.verdict === ClaimVerdict.Replay && claimResult.row?.answer !== undefined)
      return { answer: claimResult.row.answer };
    if (claimResult.verdict === ClaimVerdict.Running)
      return this.checkHolder(request, claimResult.row as ClaimRow);
    if (claimResult.verdict === ClaimVerdict.Unknown) this.cancelUnknownClaim(claim);
    return unavailable();
  }

  private async checkHolder(request: KeyedRequest, row: ClaimRow): Promise<RunResult | undefined> {
    const answer = this.unstoredAnswers.get(`${request.account}/${request.key}`);
    if (answer !== undefined) return { answer };
    if (this.isRunning(row.attempt)) return undefined;
    if (await this.holders.isRunning(row.holder, row.attempt)) return undefined;
    return this.rereadClaim(request, row);
  }

  /**
   * Reads the row again: the holder may have finished between the first read and its answer to
   * `isRunning`.
   */
  private async rereadClaim(request: KeyedRequest, seen: ClaimRow): Promise<RunResult | undefined> {
    let row: ClaimRow | undefined;
    try {
      row = await this.claimStore.read({ ...request, attempt: '' });
    } catch {
      return unknownOutcome();
    }
    if (row?.state === ClaimState.Running && row.attempt === seen.attempt) return unknownOutcome();
    return undefined;
  }

  private async runClaimed(claim: HeldClaim, run: RunRequest): Promise<RunResult> {
    let result: RunResult;
    try {
      result = await run();
    } catch {
      result = unknownOutcome();
    }
    if (result.answer !== undefined) this.storeAnswer(claim, result.answer);
    else if (result.refusal?.outcome === Outcome.NotRun) await this.releaseClaim(claim);
    return result;
  }

  /**
   * Stores an answer, with retries until that succeeds; the caller gets its answer without waiting
   * for it.
   */
  private async storeAnswer(claim: HeldClaim, answer: StoredAnswer): Promise<void> {
    const rowKey = `${claim.request.account}/${claim.request.key}`;
    this.unstoredAnswers.set(rowKey, answer);
    await this.settleInBackground(claim.request.attempt, () =>
      this.claimStore.complete(claim, answer),
    );
    this.unstoredAnswers.delete(rowKey);
  }

  private async releaseClaim(claim: HeldClaim): Promise<void> {
    if (await this.claimStore.release(claim)) return;
    this.settleInBackground(claim.request.attempt, () => this.claimStore.release(claim));
  }

  /** Cancels a claim whose insert may still take effect; its request was never dispatched. */
  private cancelUnknownClaim(claim: ClaimRequest): void {
    this.settleInBackground(claim.attempt, async () => {
      const result = await this.claimStore.claim(claim);
      if (result.verdict === ClaimVerdict.Held)
        return this.claimStore.release({ request: claim, version: result.version });
      return result.verdict !== ClaimVerdict.Unknown && result.verdict !== ClaimVerdict.NotMade;
    });
  }

  /** Retries `trySettle` until it returns true or this object is disposed of. */
  private async settleInBackground(
    attempt: string,
    trySettle: () => Promise<boolean>,
  ): Promise<void> {
    this.settling.add(attempt);
    while (!this.stopped && !(await trySettle())) await pause(this.clock, SETTLE_RETRY_MS);
    this.settling.delete(attempt);
  }
}
