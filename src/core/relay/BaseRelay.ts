/** What every relay does: one final answer, one timer, one log line at the end. */
import type { Disposable } from '../../ports/Types.js';
import { InvariantKind } from '../Invariant.js';
import { Outcome, refusal, RefusalReason, type RetryReason } from '../Outcome.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile } from '../deployment/Types.js';
import type { RouteWish } from '../routing/EngineRoutes.js';
import { describeStages } from '../routing/StageText.js';
import type { Stage } from '../routing/Types.js';
import { choosePlainServer } from '../routing/PlainChoice.js';
import { Claim } from '../routing/Claim.js';
import { RelayEnd, type Assigned, type RelayParts } from './RelayParts.js';
import { RequestLedger } from './RequestLedger.js';
import type { Relay, ServerCallListener } from './Types.js';

/** A server and the route that begins there; no stages for plain services. */
export interface Target {
  readonly server: string;
  readonly stages: readonly Stage[];
}

/** An answer takes at least this long; a send with less time left is pointless, in milliseconds. */
const MIN_SEND_MS = 15;

const MESSAGES: Partial<Record<RefusalReason, string>> = {
  [RefusalReason.NoRoute]: 'No server can take the request now. Send it again after Retry-After.',
  [RefusalReason.ServerLost]: 'The server broke off. Repeat the request only if it may run twice.',
  [RefusalReason.DeadlinePassed]: 'The time is over and the request may have run.',
  [RefusalReason.DeadlineUnreachable]: 'No server took the request in time. Send it again.',
};

export abstract class BaseRelay implements Relay {
  protected readonly ledger: RequestLedger;

  /** Servers that failed this request. */
  protected readonly avoid = new Set<string>();

  protected ended = false;

  private readonly timer: Disposable;

  private call: Disposable | undefined;

  private claim: Claim | undefined;

  private readonly closers: ((relay: BaseRelay) => void)[] = [];

  public constructor(
    protected readonly parts: RelayParts,
    protected readonly assigned: Assigned,
  ) {
    const { route, service, endsAt } = assigned;
    this.ledger = new RequestLedger({
      maxServers: route.maxServers,
      service: service.name,
      budget: parts.budget,
    });
    this.timer = parts.clock.schedule(Math.max(0, endsAt - parts.clock.now()), () => this.giveUp());
  }

  /** Calls `listener` once the request has ended. */
  public onEnd(listener: (relay: BaseRelay) => void): void {
    this.closers.push(listener);
  }

  /** Sends the request for the first time. */
  public start(): void {
    const target = this.chooseTarget();
    if (target === undefined) this.refuseNotRun(RefusalReason.NoRoute);
    else this.send(target);
  }

  public cancel(): void {
    this.finish(RelayEnd.CallerGone);
  }

  protected get msLeft(): number {
    return this.assigned.endsAt - this.parts.clock.now();
  }

  protected abstract listener(target: Target): ServerCallListener;

  /** Tokens for which the request needs memory. */
  protected get tokens(): number {
    const { prompt } = this.assigned.request;
    const { engine } = this.assigned.service;
    if (prompt === undefined) return engine?.usualPromptTokens ?? 0;
    return prompt.promptTokens + Math.min(prompt.maxAnswerTokens, engine?.usualAnswerTokens ?? 0);
  }

  /** Last event that the next server need not send. */
  protected get resumeAfter(): string | undefined {
    return this.assigned.request.resumeAfter;
  }

  protected chooseTarget(): Target | undefined {
    const { service } = this.assigned;
    if (service.engine === undefined) return this.choosePlain();
    const stages = this.parts.routes.plan(this.wishFor(service.engine));
    return stages && { server: stages[0].server, stages };
  }

  protected send(target: Target): void {
    const { clock, directory, port, load, invariants } = this.parts;
    const server = directory.get(target.server);
    if (server === undefined || !this.ledger.take(target.server, clock.now())) {
      this.failWith(RefusalReason.ServerLost);
      return;
    }
    invariants.check(
      InvariantKind.LeavingGetsNoWork,
      !server.leaving,
      () => `request ${this.assigned.request.id} to leaving server ${target.server}`,
    );
    this.release();
    this.ledger.begin();
    const { request, account } = this.assigned;
    const { stages } = target;
    const charged =
      stages.length > 0 ? stages : [{ server: target.server, address: '', from: 0, to: 0 }];
    this.claim = new Claim(load, charged, this.tokens, request.prompt?.promptTokens ?? 0);
    this.parts.decisions.note('send', {
      id: request.id,
      server: target.server,
      revision: server.revision,
      route: describeStages(stages),
      msLeft: Math.round(this.msLeft),
    });
    this.call = port.call(
      {
        request,
        server: server.record,
        stages,
        deadlineMs: Math.max(1, Math.floor(this.msLeft)),
        account,
        resumeAfter: this.resumeAfter,
      },
      this.listener(target),
    );
  }

  /**
   * Sends the request again if the route, the budget and the time allow it.
   * @returns false when it may not be sent
   */
  protected sendAgain(reason: RetryReason, failed: string): boolean {
    const { clock, counters, decisions } = this.parts;
    this.avoid.add(failed);
    if (this.ended || this.msLeft < MIN_SEND_MS) return false;
    if (!this.ledger.hasRetry(clock.now())) return false;
    const target = this.chooseTarget();
    if (target === undefined || !this.ledger.allows(target.server)) return false;
    counters.retry(reason);
    decisions.note('retry', {
      id: this.assigned.request.id,
      reason,
      failed,
      next: target.server,
      sends: this.ledger.count,
      ageMs: Math.round(clock.now() - this.assigned.request.arrivedAt),
    });
    this.send(target);
    return true;
  }

  protected moveClaim(stages: readonly Stage[]): void {
    this.claim?.move(stages);
  }

  protected endReading(): void {
    this.claim?.endReading();
  }

  /** Ends a request that cannot be answered, saying what is known of its fate. */
  protected failWith(reason: RefusalReason): void {
    if (this.ledger.mayHaveRun) {
      this.refuse(reason, Outcome.Unknown, 0);
      return;
    }
    this.refuseNotRun(RefusalReason.NoRoute);
  }

  protected refuseNotRun(reason: RefusalReason): void {
    const { clock, returns } = this.parts;
    const now = clock.now();
    returns.note(true, now);
    const { request } = this.assigned;
    const msLeft = request.arrivedAt + request.deadlineMs - now;
    this.refuse(reason, Outcome.NotRun, returns.waitMs(msLeft, now));
  }

  /** Drops the call and the claim of the last send. */
  protected release(): void {
    this.call?.dispose();
    this.call = undefined;
    this.claim?.dispose();
    this.claim = undefined;
  }

  protected finish(end: RelayEnd): void {
    if (this.ended) return;
    this.ended = true;
    this.timer.dispose();
    this.release();
    const { counters, decisions, clock } = this.parts;
    const { request, route, service } = this.assigned;
    if (end === RelayEnd.Complete) this.parts.returns.note(false, clock.now());
    counters.end(route.kind, end);
    decisions.note('end', {
      id: request.id,
      route: route.name,
      service: service.name,
      end,
      sends: this.ledger.count,
      servers: [...this.ledger.used].join(','),
      ms: Math.round(clock.now() - request.arrivedAt),
    });
    for (const closer of this.closers) closer(this);
  }

  /** Gives the request up: its time is over. */
  protected giveUp(): void {
    if (this.ledger.mayHaveRun) this.refuse(RefusalReason.DeadlinePassed, Outcome.Unknown, 0);
    else this.refuseNotRun(RefusalReason.DeadlineUnreachable);
  }

  protected refuse(reason: RefusalReason, outcome: Outcome, retryAfterMs: number): void {
    if (this.ended) return;
    const { counters, decisions, directory, deployments } = this.parts;
    const { request, reply, service } = this.assigned;
    counters.refusal(reason);
    decisions.note('refuse', {
      id: request.id,
      reason,
      outcome,
      service: service.name,
      sends: this.ledger.count,
      avoided: [...this.avoid].join(','),
      servers: countUsable(directory, service.name),
      retryAfterMs: Math.round(retryAfterMs),
      ...this.explainRoutes(),
      ticket: deployments.ticket,
    });
    this.finishRefused(() =>
      reply.refuse(refusal(outcome, reason, MESSAGES[reason] ?? reason, retryAfterMs)),
    );
  }

  /** How a refusal reaches the caller; relays that have begun an answer cut it instead. */
  protected finishRefused(tell: () => void): void {
    this.finish(RelayEnd.Refused);
    tell();
  }

  private explainRoutes(): { missing?: string; full?: string } {
    const { service } = this.assigned;
    return service.engine === undefined
      ? {}
      : this.parts.routes.explain(this.wishFor(service.engine));
  }

  protected wishFor(engine: EngineProfile): RouteWish {
    const { service } = this.assigned;
    const wish = { service, engine, tokens: this.tokens, avoid: this.avoid, kept: [] };
    return this.ledger.isSpent ? { ...wish, firsts: this.ledger.used } : wish;
  }

  private choosePlain(): Target | undefined {
    const { directory, load, homeDomain } = this.parts;
    const { name } = this.assigned.service;
    const server = choosePlainServer(directory, load, name, homeDomain, this.avoid);
    return server && { server: server.record.id, stages: [] };
  }
}

function countUsable(directory: ServerDirectory, service: string): number {
  let count = 0;
  for (const server of directory.all()) {
    if (server.record.service === service && directory.doubt(server) === undefined) count += 1;
  }
  return count;
}
