/** Tracks the sends of one request and enforces its limits: number of servers and shared retry budget. */
import type { RetryLimiter } from '../limits/RetryBudget.js';
import type { ServerProcess } from '../limits/ServerLimits.js';

export interface SendTrackerOptions {
  readonly maxServers: number;
  readonly service: string;
  readonly retryBudget: RetryLimiter;
  /** Whether a process has ended, as far as known. */
  readonly hasEnded: (server: ServerProcess) => boolean;
}

/** A server to which the request was sent. */
interface UsedServer {
  readonly incarnation: number;
  sends: number;
}

export class SendTracker {
  private readonly servers = new Map<string, UsedServer>();

  private sends = 0;

  /** Number of sends in progress, whose servers may already be running the request. */
  private inFlight = 0;

  private earlierSendMayHaveRun = false;

  public constructor(private readonly options: SendTrackerOptions) {}

  /** Number of sends so far. */
  public get sendCount(): number {
    return this.sends;
  }

  /** Whether any server may have run the request. */
  public get mayHaveRun(): boolean {
    return this.earlierSendMayHaveRun || this.inFlight > 0;
  }

  /** Records that another send is in progress. */
  public markInFlight(): void {
    this.inFlight += 1;
  }

  /**
   * Records the result of a send in progress.
   * @param mayHaveRun - whether its server may have run the request
   */
  public recordResult(mayHaveRun: boolean): void {
    if (this.inFlight > 0) this.inFlight -= 1;
    this.earlierSendMayHaveRun ||= mayHaveRun;
  }

  /** Whether the request may be sent to `server`, given the servers already used. */
  public allowsServer(server: string): boolean {
    return this.servers.has(server) || !this.isServerLimitReached;
  }

  /** Whether the request may be sent only to servers already used. Servers that have ended do not count. */
  public get isServerLimitReached(): boolean {
    if (this.servers.size < this.options.maxServers) return false;
    let count = 0;
    for (const [id, { incarnation }] of this.servers)
      if (!this.options.hasEnded({ id, incarnation })) count += 1;
    return count >= this.options.maxServers;
  }

  /** Whether the retry budget has a retry left. */
  public hasRetryBudget(now: number): boolean {
    return this.options.retryBudget.hasRetry(this.options.service, now);
  }

  /** Servers to which the request has been sent. */
  public get usedServers(): ReadonlySet<string> {
    return new Set(this.servers.keys());
  }

  /**
   * Records a send; every send but the first consumes a retry from the budget.
   * @returns false if the budget is empty
   */
  public recordSend({ id, incarnation }: ServerProcess, now: number): boolean {
    const { retryBudget, service } = this.options;
    if (this.sends === 0) retryBudget.recordRequest(service, now);
    else if (!retryBudget.consumeRetry(service, now)) return false;
    this.sends += 1;
    const used = this.servers.get(id);
    if (used?.incarnation === incarnation) used.sends += 1;
    else this.servers.set(id, { incarnation, sends: 1 });
    return true;
  }

  /** Stops counting a send towards the server limit, because nothing of it reached the server. */
  public releaseServer(server: string): void {
    const used = this.servers.get(server);
    if (used === undefined) return;
    used.sends -= 1;
    if (used.sends === 0) this.servers.delete(server);
  }
}
