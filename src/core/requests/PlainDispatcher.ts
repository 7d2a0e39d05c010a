/** Sends calls to plain services; a call that may have run is retried only if it is repeatable. */
import { Failure, FailureKind } from '../Failure.js';
import type { Clock, Random } from '../../ports/Types.js';
import type { AccountLimiter } from '../limits/AccountLimiter.js';
import type { RetryBudget } from '../limits/RetryBudget.js';
import { ServerMark, type ServerHealth } from '../membership/ServerHealth.js';
import { Outcome, refusal, RefusalReason, RetryReason, type Refusal } from '../Outcome.js';
import type { Configuration } from '../tickets/Configuration.js';
import {
  ObjectKind,
  type BackendServer,
  type ObjectInForce,
  type PlainService,
} from '../tickets/Types.js';
import { acquireAccountSlot } from './AccountSlot.js';
import type { PlainCall, PlainResponse, PlainTransport } from './PlainTransport.js';

/** A call as sent by a caller. */
export interface PlainRequest {
  readonly account: string;
  readonly service: string;
  readonly call: Omit<PlainCall, 'timeoutMs'>;
  /** Path relative to the service, without the query. */
  readonly servicePath: string;
}

/** Result of a call. Exactly one of `response` and `refusal` is set. */
export interface PlainResult {
  readonly response?: PlainResponse;
  readonly refusal?: Refusal;
  readonly server?: string;
}

export interface PlainDispatcherDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration;
  readonly transport: PlainTransport;
  readonly limiter: AccountLimiter;
  readonly retryBudget: RetryBudget;
  readonly health: ServerHealth;
  readonly localDomain: string;
  readonly countRetry: (reason: RetryReason) => void;
}

type Server = ObjectInForce<ObjectKind.BackendServer>;

/** Marks under which a server gets no calls; the others are about the layers of engines. */
const UNUSABLE: ReadonlySet<ServerMark | undefined> = new Set([
  ServerMark.Suspect,
  ServerMark.Leaving,
]);

/** Whether a call may be repeated. Calls that match no rule may not. */
export function isRepeatable(service: PlainService, method: string, path: string): boolean {
  for (const rule of service.rules) {
    if (rule.method === method && path.startsWith(rule.path)) return rule.repeatable;
  }
  return false;
}

export class PlainDispatcher {
  private readonly inFlight = new Map<string, number>();

  private openCalls = 0;

  public constructor(private readonly dependencies: PlainDispatcherDependencies) {}

  /** Number of calls in progress. */
  public get active(): number {
    return this.openCalls;
  }

  /**
   * Sends a call within the limits of its account.
   * @param handleResult - reads the response while the call still counts as in progress
   */
  public async send(
    request: PlainRequest,
    handleResult: (result: PlainResult) => Promise<void>,
  ): Promise<void> {
    const refused = this.admit(request);
    if (refused !== undefined) {
      await handleResult({ refusal: refused });
      return;
    }
    this.openCalls += 1;
    try {
      await handleResult(await this.sendWithRetries(request));
    } finally {
      this.openCalls -= 1;
      this.dependencies.limiter.release(request.account);
    }
  }

  private admit(request: PlainRequest): Refusal | undefined {
    const { configuration, limiter, clock } = this.dependencies;
    if (configuration.state(ObjectKind.PlainService, request.service) === undefined) {
      return refusal(
        Outcome.NotRun,
        RefusalReason.UnknownService,
        `Service ${request.service} does not exist. Check the path.`,
      );
    }
    const account = configuration.state(ObjectKind.ClientAccount, request.account);
    return acquireAccountSlot(limiter, request.account, account, clock.now());
  }

  private async sendWithRetries(request: PlainRequest): Promise<PlainResult> {
    const service = this.dependencies.configuration.state(
      ObjectKind.PlainService,
      request.service,
    ) as PlainService;
    const repeatable =
      isRepeatable(service, request.call.method, request.servicePath) &&
      request.call.body instanceof Uint8Array;
    const triedServers = new Set<string>();
    let lastLost: string | undefined;
    for (;;) {
      const server = this.chooseServer(request.service, triedServers);
      if (server === undefined) return { refusal: this.exhaustedRefusal(request, lastLost) };
      triedServers.add(server.name);
      const result = await this.sendTo(server, request, service);
      if (result instanceof Failure) {
        this.dependencies.health.mark(
          server.name,
          ServerMark.Suspect,
          this.dependencies.clock.now(),
        );
        if (result.kind === FailureKind.NotConnected) {
          this.dependencies.countRetry(RetryReason.NotConnected);
          continue;
        }
        lastLost = server.name;
        if (
          !repeatable ||
          !this.dependencies.retryBudget.consumeRetry(
            `${request.account}/${request.service}`,
            this.dependencies.clock.now(),
          )
        ) {
          return { refusal: this.serverLostRefusal(server.name) };
        }
        this.dependencies.countRetry(RetryReason.ConnectionLost);
        continue;
      }
      // A rejection by a plain service's server is taken to mean that the server is leaving.
      if (result.notRun && request.call.body instanceof Uint8Array) {
        this.dependencies.health.mark(
          server.name,
          ServerMark.Leaving,
          this.dependencies.clock.now(),
        );
        this.dependencies.countRetry(RetryReason.Leaving);
        continue;
      }
      this.dependencies.retryBudget.recordRequest(
        `${request.account}/${request.service}`,
        this.dependencies.clock.now(),
      );
      return { response: result, server: server.name };
    }
  }

  private async sendTo(
    server: Server,
    request: PlainRequest,
    service: PlainService,
  ): Promise<PlainResponse | Failure> {
    this.inFlight.set(server.name, (this.inFlight.get(server.name) ?? 0) + 1);
    try {
      return await this.dependencies.transport.send(server.state.address, {
        ...request.call,
        timeoutMs: service.timeoutMs,
      });
    } catch (error) {
      if (error instanceof Failure) return error;
      return new Failure(FailureKind.ConnectionLost, String(error));
    } finally {
      this.inFlight.set(server.name, (this.inFlight.get(server.name) ?? 1) - 1);
    }
  }

  /**
   * Chooses the less loaded of two random servers, from the local domain if it has usable ones. A degraded server
   * is used only if there is no other.
   */
  private chooseServer(service: string, triedServers: ReadonlySet<string>): Server | undefined {
    const now = this.dependencies.clock.now();
    const { configuration, health } = this.dependencies;
    const all = configuration
      .list(ObjectKind.BackendServer)
      .filter((server) => this.isUsable(server, service, triedServers, now));
    const sound = all.filter(({ name }) => health.markOf(name, now) !== ServerMark.Degraded);
    const usable = sound.length > 0 ? sound : all;
    const local = usable.filter(
      (server) => server.state.failureDomain === this.dependencies.localDomain,
    );
    const pool = local.length > 0 ? local : usable;
    const first = this.sample(pool);
    const second = this.sample(pool);
    if (first === undefined || second === undefined) return first;
    return this.callsInFlight(second.name) < this.callsInFlight(first.name) ? second : first;
  }

  private isUsable(
    server: Server,
    service: string,
    triedServers: ReadonlySet<string>,
    now: number,
  ): boolean {
    const state: BackendServer = server.state;
    if (!state.services.includes(service) || state.leaving || triedServers.has(server.name))
      return false;
    return !UNUSABLE.has(this.dependencies.health.markOf(server.name, now));
  }

  private sample(pool: readonly Server[]): Server | undefined {
    return pool[Math.floor(this.dependencies.random.next() * pool.length)];
  }

  private callsInFlight(server: string): number {
    return this.inFlight.get(server) ?? 0;
  }

  private exhaustedRefusal(request: PlainRequest, lastLost: string | undefined): Refusal {
    if (lastLost !== undefined) return this.serverLostRefusal(lastLost);
    return refusal(
      Outcome.NotRun,
      RefusalReason.NoRoute,
      `No server of service ${request.service} can be reached (${this.describeServers(request.service)}). Retry after the delay given in Retry-After.`,
    );
  }

  /** Lists the servers of a service with what keeps them from being used. */
  private describeServers(service: string): string {
    const { configuration, health, clock } = this.dependencies;
    const servers = configuration
      .list(ObjectKind.BackendServer)
      .filter(({ state }) => state.services.includes(service))
      .map(
        ({ name }) => `${name}: ${health.markOf(name, clock.now()) ?? 'not connected or leaving'}`,
      );
    return servers.join(', ') || 'it has none';
  }

  private serverLostRefusal(server: string): Refusal {
    return refusal(
      Outcome.Unknown,
      RefusalReason.ServerLost,
      `Server ${server} failed while the call was running. Check the effect of the call, or use an Idempotency-Key, before retrying it.`,
    );
  }
}
