/** Accepts callers' requests: resolves route, account and service, and starts a relay. */
import type { Disposable } from '../../ports/Types.js';
import type { Refusal } from '../Outcome.js';
import { Outcome, refusal, RefusalReason } from '../Outcome.js';
import type { RouteTable } from '../deployment/RouteTable.js';
import {
  RouteKind,
  type ClientAccount,
  type RequestRoute,
  type ServiceShare,
} from '../deployment/Types.js';
import { fingerprintOf } from '../quarantine/RequestFingerprint.js';
import type { BaseRelay } from './BaseRelay.js';
import { CallRelay } from './CallRelay.js';
import type { AssignedRequest, RelayDependencies } from './RelayDependencies.js';
import { StreamRelay } from './StreamRelay.js';
import type { CallerReply, CallerRequest, Relay } from './Types.js';

const RELAYS: Readonly<
  Record<RouteKind, new (dependencies: RelayDependencies, assigned: AssignedRequest) => BaseRelay>
> = {
  [RouteKind.Idempotent]: CallRelay,
  [RouteKind.NonIdempotent]: CallRelay,
  [RouteKind.Streaming]: StreamRelay,
};

const NOTHING_TO_CANCEL: Relay = { cancel: () => {}, evict: () => {} };

/** What the head of a request decides. */
interface Destination {
  readonly table: RouteTable;
  readonly route: RequestRoute;
  readonly account: ClientAccount | undefined;
}

function notRunRefusal(reason: RefusalReason, message: string): Refusal {
  return refusal(Outcome.NotRun, reason, message);
}

export class RelayDispatcher {
  private readonly running = new Set<BaseRelay>();

  private closesAt = Infinity;

  private readonly subscription: Disposable;

  public constructor(private readonly dependencies: RelayDependencies) {
    this.subscription = dependencies.quarantine.onChange(({ isHeld }) => {
      if (isHeld) for (const relay of [...this.running]) relay.withdrawIfQuarantined();
    });
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  /**
   * Refuses all requests from a moment on, whenever the process gets to them.
   * @param time - clock time, in milliseconds
   */
  public closeAt(time: number): void {
    this.closesAt = time;
  }

  /** Number of requests in progress. */
  public get active(): number {
    return this.running.size;
  }

  /** Relays a request; its answer or refusal is sent to `reply`. */
  public accept(request: CallerRequest, reply: CallerReply): Relay {
    const destination = this.findDestination(request);
    if ('reason' in destination) return this.refuse(request, reply, destination);
    const assigned = this.assign(destination, request, reply);
    if ('reason' in assigned) return this.refuse(request, reply, assigned);
    const relay = new RELAYS[assigned.route.kind](this.dependencies, assigned);
    this.running.add(relay);
    relay.onEnd((ended) => this.running.delete(ended));
    this.dependencies.standstill.whenInformed(() => {
      // Its caller may have gone while it waited.
      if (this.running.has(relay)) relay.start();
    });
    return relay;
  }

  /** Refuses a request that no server has received. */
  public refuse(request: CallerRequest, reply: CallerReply, refused: Refusal): Relay {
    this.dependencies.counters.countRefusal(refused.reason);
    this.dependencies.decisions.record('refuse', {
      id: request.id,
      reason: refused.reason,
      outcome: refused.outcome,
      ticket: this.dependencies.deployments.ticket,
    });
    reply.refuse(refused);
    return NOTHING_TO_CANCEL;
  }

  /**
   * Decides what the head of a request decides, before its body is kept.
   * @returns the refusal, if there is one
   */
  public judgeHead(request: CallerRequest): Refusal | undefined {
    const destination = this.findDestination(request);
    return 'reason' in destination ? destination : undefined;
  }

  /** Finds the route and the account of a request, or the reason why there is none. */
  private findDestination(request: CallerRequest): Destination | Refusal {
    if (this.dependencies.clock.now() >= this.closesAt) {
      return notRunRefusal(
        RefusalReason.Stopping,
        'This instance is shutting down. Retry the request at another instance.',
      );
    }
    const table = this.dependencies.deployments.currentTable;
    if (table === undefined || !this.dependencies.isPrepared()) {
      return notRunRefusal(
        RefusalReason.NotReady,
        'This instance has not loaded its configuration, or what is known of crashes, yet. Retry after the delay given in Retry-After.',
      );
    }
    const route = table.routeFor(request.host, request.path);
    if (route === undefined) {
      return notRunRefusal(
        RefusalReason.UnknownService,
        `No route matches ${request.host}${request.path}. Use the host and path of a configured route.`,
      );
    }
    const account = request.apiKey === undefined ? undefined : table.accountOf(request.apiKey);
    if (table.needsKeys && !route.isPublic && account === undefined) {
      return notRunRefusal(
        RefusalReason.Unauthorized,
        'The API key is missing or unknown. Send "Authorization: Token KEY" with a valid key.',
      );
    }
    return { table, route, account };
  }

  private assign(
    { table, route, account }: Destination,
    request: CallerRequest,
    reply: CallerReply,
  ): AssignedRequest | Refusal {
    const service = table.deployment.services.get(this.pickService(route));
    if (service === undefined) {
      return notRunRefusal(
        RefusalReason.NoRoute,
        `Route ${route.name} refers to a service that does not exist. Report this to the operators.`,
      );
    }
    const endsAt = request.arrivedAt + Math.min(route.timeoutMs, request.deadlineMs);
    const fingerprint = fingerprintOf(request, account?.name);
    const inputs = [...request.sharedPromptParts, fingerprint];
    return {
      request,
      reply,
      route,
      service,
      account: account?.name,
      rank: table.rankFor(service.name, route, account),
      competes: table.hasRanks(service.name),
      inputs,
      endsAt,
    };
  }

  private pickService(route: RequestRoute): string {
    let total = 0;
    for (const { weight } of route.shares) total += weight;
    let remaining = this.dependencies.random.next() * total;
    for (const { service, weight } of route.shares) {
      remaining -= weight;
      if (remaining < 0) return service;
    }
    return (route.shares.at(-1) as ServiceShare).service;
  }
}
