/** Runs one request through a pipeline, over as many routes as necessary. */
import type { Clock, Disposable } from '../../ports/Types.js';
import { InvariantKind, type Invariants } from '../Invariant.js';
import { Outcome, refusal, RefusalReason, RetryReason, type Refusal } from '../Outcome.js';
import { coversOnce } from '../routing/RoutePlanner.js';
import type { Route, Stage } from '../routing/Types.js';
import type { PromptQuarantine } from './PromptQuarantine.js';
import { PaceTracker } from './PaceTracker.js';
import { ranEachLayerOnce, TokenAssembler, TokenVerdict } from './TokenAssembler.js';
import {
  EngineFailureKind,
  type Engine,
  type EngineFailure,
  type FinishReason,
  type TokenFrame,
} from './Types.js';

/** A request as run by a stream session. */
export interface StreamRequest {
  readonly id: string;
  readonly account: string;
  readonly pipeline: string;
  readonly layers: number;
  readonly idempotent: boolean;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** Clock time by which the answer must be complete, in milliseconds. */
  readonly deadline: number;
}

/** Receives the answer. Exactly one of `onEnd` and `onRefusal` is called, after all tokens. */
export interface AnswerListener {
  onToken(text: string, index: number): void;
  onEnd(finish: FinishReason, tokens: number): void;
  onRefusal(refusal: Refusal): void;
}

/** Chooses routes and tracks the load that they put on servers. */
export interface StreamRouting {
  /**
   * Chooses a route; undefined if no usable servers cover all layers.
   * @param kept - stages of the last route whose KV caches can be reused
   */
  plan(request: StreamRequest, kept: readonly Stage[]): Route | undefined;
  /** Adds the load of a stream to the servers of its route. */
  begin(request: StreamRequest, route: Route): void;
  /** Removes the load that `begin` added. */
  end(request: StreamRequest, route: Route): void;
  /** Records that a server failed. */
  markSuspect(server: string): void;
  /** Records that a server announced that it is leaving. */
  markLeaving(server: string): void;
  /** Records that a server has not loaded its layers yet. */
  markLoading(server: string): void;
  /** Returns the servers that do not answer a probe. */
  findSilent(stages: readonly Stage[]): Promise<readonly string[]>;
  /** Consumes a retry from the budget of the request; false if none is left. */
  consumeRetry(request: StreamRequest): boolean;
  /** Predicted time to the first token on a route, in milliseconds. */
  firstTokenMs(request: StreamRequest, route: Route): number;
}

/** Counts the retries and tokens of streams. */
export interface StreamCounters {
  countRetry(reason: RetryReason): void;
  countToken(verdict: TokenVerdict): void;
}

export interface SessionDependencies {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly routing: StreamRouting;
  readonly counters: StreamCounters;
  readonly quarantine: PromptQuarantine;
  readonly invariants: Invariants;
}

/** Tokens after which a request is not what crashes its server: a crash may follow the first one. */
const PROVING_TOKENS = 2;

/** Delay before the next search for a route, in milliseconds. */
const NO_ROUTE_RETRY_MS = 200;

/** Delay before the retry budget is checked again, in milliseconds. */
const BUDGET_WAIT_MS = 100;

/** Maximum time for which a request waits for a route, in milliseconds. */
const MAX_NO_ROUTE_MS = 15_000;

const RETRY_REASON: Readonly<Record<EngineFailureKind, RetryReason>> = {
  [EngineFailureKind.NotConnected]: RetryReason.NotConnected,
  [EngineFailureKind.ConnectionLost]: RetryReason.ConnectionLost,
  [EngineFailureKind.StageFailed]: RetryReason.StageFailed,
  [EngineFailureKind.Leaving]: RetryReason.Leaving,
  [EngineFailureKind.Loading]: RetryReason.Loading,
  [EngineFailureKind.StaleEpoch]: RetryReason.StageFailed,
};

/** Failures after which nothing of the attempt ran. */
const NOTHING_RAN: ReadonlySet<EngineFailureKind> = new Set([EngineFailureKind.NotConnected]);

/** Failures that a crash of the named server shows as. */
const CRASH_LIKE: ReadonlySet<EngineFailureKind> = new Set([
  EngineFailureKind.ConnectionLost,
  EngineFailureKind.StageFailed,
]);

/** Failures that say nothing about load, so the next attempt consumes no retry from the budget. */
const BUDGET_FREE: ReadonlySet<EngineFailureKind> = new Set([
  EngineFailureKind.Leaving,
  EngineFailureKind.Loading,
]);

export class StreamSession {
  private readonly assembler: TokenAssembler;

  private readonly pace: PaceTracker;

  private route: Route | undefined;

  private engineStream: Disposable | undefined;

  private timer: Disposable | undefined;

  private answerText = '';

  private mayHaveRun = false;

  private ended = false;

  private noRouteSince = -1;

  private silenceExtended = false;

  public constructor(
    private readonly dependencies: SessionDependencies,
    private readonly request: StreamRequest,
    private readonly listener: AnswerListener,
  ) {
    this.pace = new PaceTracker(dependencies.clock.now(), 0);
    this.assembler = new TokenAssembler((text, index) => this.deliver(text, index));
  }

  /** Starts the first attempt. */
  public start(): void {
    this.attempt([]);
  }

  /** Ends the session because its caller has disconnected. The engine stream is cancelled. */
  public cancel(): void {
    this.refuse(
      refusal(
        this.outcomeSoFar(),
        RefusalReason.CallerGone,
        'The caller disconnected. If the outcome is unknown, check the effect of the request before sending it again.',
      ),
    );
  }

  /** Stages of the current route. */
  public get stages(): readonly Stage[] {
    return this.route?.stages ?? [];
  }

  /** Reroutes the stream around a leaving or degraded server, if its route passes through that server. */
  public rerouteFrom(server: string, reason: RetryReason): void {
    if (this.ended || !this.request.idempotent) return;
    if (!this.stages.some((stage) => stage.server === server)) return;
    this.retry(reason, [server], reason !== RetryReason.Leaving);
  }

  /** Whether a server has answered the request. */
  private get isProven(): boolean {
    return this.assembler.next >= PROVING_TOKENS;
  }

  private attempt(kept: readonly Stage[]): void {
    if (this.ended || this.refuseIfPastDeadline()) return;
    const { clock, routing, quarantine } = this.dependencies;
    const refused = this.isProven
      ? undefined
      : quarantine.refuseSend(this.request, this.outcomeSoFar());
    if (refused !== undefined) {
      this.refuse(refused);
      return;
    }
    const route = routing.plan(this.request, kept);
    if (route === undefined) {
      this.waitForRoute(kept);
      return;
    }
    this.noRouteSince = -1;
    this.dependencies.invariants.check(
      InvariantKind.LayersOnce,
      coversOnce(route.stages, this.request.layers),
      () => `route of ${this.request.id} does not cover ${this.request.layers} layers once`,
    );
    this.route = route;
    routing.begin(this.request, route);
    this.pace.restart(clock.now(), routing.firstTokenMs(this.request, route));
    this.mayHaveRun = true;
    this.open(route);
    this.watchSilence();
  }

  private open(route: Route): void {
    const { epoch } = this.assembler;
    const opening = {
      request: this.request.id,
      epoch,
      pipeline: this.request.pipeline,
      stages: route.stages,
      prompt: this.request.prompt,
      resumeAt: this.assembler.next,
      answered: this.answerText,
      maxTokens: this.request.maxTokens,
      priority: this.request.priority,
    };
    this.engineStream = this.dependencies.engine.open(opening, {
      onToken: (frame) => this.handleToken(frame),
      onEnd: (finish, tokens) => this.finish(epoch, finish, tokens),
      onFailure: (failure) => this.handleFailure(epoch, failure),
    });
  }

  private handleToken(frame: TokenFrame): void {
    if (this.ended) return;
    this.dependencies.invariants.check(
      InvariantKind.LayersOnce,
      ranEachLayerOnce(frame, this.request.layers),
      () => `token ${frame.index} of ${this.request.id} did not run each layer once`,
    );
    const isCurrent = frame.epoch === this.assembler.epoch;
    const verdict = this.assembler.accept(frame.epoch, frame.index, frame.text);
    this.dependencies.invariants.check(
      InvariantKind.TokenOrder,
      isCurrent || verdict === TokenVerdict.StaleEpoch,
      () => `token ${frame.index} of ${this.request.id} arrived under old epoch ${frame.epoch}`,
    );
    this.dependencies.counters.countToken(verdict);
    if (verdict !== TokenVerdict.StaleEpoch) this.pace.recordToken(this.dependencies.clock.now());
  }

  private deliver(text: string, index: number): void {
    this.answerText += text;
    if (index === PROVING_TOKENS - 1) this.dependencies.quarantine.recordAnswer(this.request);
    this.listener.onToken(text, index);
  }

  private finish(epoch: number, finish: FinishReason, tokens: number): void {
    if (this.ended || epoch !== this.assembler.epoch) return;
    if (tokens !== this.assembler.next) {
      this.handleFailure(epoch, {
        kind: EngineFailureKind.ConnectionLost,
        server: this.stages[0]?.server ?? '',
      });
      return;
    }
    this.close();
    if (!this.isProven) this.dependencies.quarantine.recordAnswer(this.request);
    this.listener.onEnd(finish, tokens);
  }

  private handleFailure(epoch: number, failure: EngineFailure): void {
    if (this.ended || epoch !== this.assembler.epoch) return;
    if (NOTHING_RAN.has(failure.kind) && this.assembler.epoch === 1) this.mayHaveRun = false;
    this.markFailedServer(failure);
    if (CRASH_LIKE.has(failure.kind) && !this.isProven)
      this.dependencies.quarantine.examineLoss(this.request, failure.server);
    this.retry(RETRY_REASON[failure.kind], [failure.server], !BUDGET_FREE.has(failure.kind));
  }

  private markFailedServer(failure: EngineFailure): void {
    const { routing } = this.dependencies;
    if (failure.kind === EngineFailureKind.Leaving) routing.markLeaving(failure.server);
    else if (failure.kind === EngineFailureKind.Loading) routing.markLoading(failure.server);
    else if (failure.kind !== EngineFailureKind.StaleEpoch) routing.markSuspect(failure.server);
  }

  private retry(reason: RetryReason, lostServers: readonly string[], needsBudget: boolean): void {
    this.dependencies.counters.countRetry(reason);
    if (this.mayHaveRun && !this.request.idempotent) {
      this.refuse(
        refusal(
          Outcome.Unknown,
          RefusalReason.ServerLost,
          `The request was interrupted while it was running. Check its effect before retrying it. Servers that interrupted it, if known: ${lostServers.join(', ')}`,
        ),
      );
      return;
    }
    const kept = this.stages.filter((stage) => !lostServers.includes(stage.server));
    this.release();
    this.assembler.raiseEpoch();
    this.silenceExtended = false;
    if (needsBudget) this.attemptWithinBudget(kept);
    else this.attempt(kept);
  }

  /** Waits until the retry budget allows the next attempt. */
  private attemptWithinBudget(kept: readonly Stage[]): void {
    if (this.ended || this.refuseIfPastDeadline()) return;
    if (this.dependencies.routing.consumeRetry(this.request)) {
      this.attempt(kept);
      return;
    }
    this.dependencies.counters.countRetry(RetryReason.BudgetWait);
    this.timer = this.dependencies.clock.schedule(BUDGET_WAIT_MS, () =>
      this.attemptWithinBudget(kept),
    );
  }

  private waitForRoute(kept: readonly Stage[]): void {
    const now = this.dependencies.clock.now();
    if (this.noRouteSince < 0) this.noRouteSince = now;
    if (now - this.noRouteSince >= MAX_NO_ROUTE_MS) {
      this.refuse(
        refusal(
          this.outcomeSoFar(),
          RefusalReason.NoRoute,
          `No usable servers cover all layers of pipeline ${this.request.pipeline}. Retry after the delay given in Retry-After.`,
        ),
      );
      return;
    }
    this.timer?.dispose();
    this.timer = this.dependencies.clock.schedule(NO_ROUTE_RETRY_MS, () => this.attempt(kept));
  }

  private watchSilence(): void {
    this.timer?.dispose();
    const now = this.dependencies.clock.now();
    const at = Math.min(this.pace.silentAt(), this.request.deadline);
    this.timer = this.dependencies.clock.schedule(Math.max(1, at - now), () => this.checkSilence());
  }

  private checkSilence(): void {
    if (this.ended || this.refuseIfPastDeadline()) return;
    if (this.dependencies.clock.now() < this.pace.silentAt()) {
      this.watchSilence();
      return;
    }
    const { epoch } = this.assembler;
    const { next } = this.assembler;
    const { stages } = this;
    this.dependencies.routing.findSilent(stages).then((silent) => {
      if (this.ended || epoch !== this.assembler.epoch) return;
      if (next !== this.assembler.next) this.watchSilence();
      else this.handleSilence(silent);
    });
  }

  /** If no server can be blamed, the wait is extended once per attempt: the silence may be due to load. */
  private handleSilence(silent: readonly string[]): void {
    if (silent.length === 0 && !this.silenceExtended) {
      this.silenceExtended = true;
      this.pace.extend();
      this.watchSilence();
      return;
    }
    for (const server of silent) this.dependencies.routing.markSuspect(server);
    this.retry(RetryReason.Silence, silent, true);
  }

  private refuseIfPastDeadline(): boolean {
    if (this.dependencies.clock.now() < this.request.deadline) return false;
    this.refuse(
      refusal(
        this.outcomeSoFar(),
        RefusalReason.DeadlinePassed,
        'The answer was not complete by the deadline of the pipeline. Request fewer tokens, or ask the operators to raise its deadlineMs by ticket.',
      ),
    );
    return true;
  }

  private outcomeSoFar(): Outcome {
    return this.mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
  }

  private refuse(refused: Refusal): void {
    if (this.ended) return;
    this.close();
    this.listener.onRefusal(refused);
  }

  private close(): void {
    this.ended = true;
    this.release();
  }

  private release(): void {
    this.timer?.dispose();
    this.engineStream?.dispose();
    this.engineStream = undefined;
    if (this.route !== undefined) this.dependencies.routing.end(this.request, this.route);
    this.route = undefined;
  }
}
