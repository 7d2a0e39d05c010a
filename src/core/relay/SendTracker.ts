/** Tracks the sends of one request and enforces its limits: number of servers and shared retry budget. */
import type { RetryLimiter } from '../limits/RetryBudget.js';

export interface SendTrackerOptions {
  readonly maxServers: number;
  readonly service: string;
  readonly retryBudget: RetryLimiter;
}

export class SendTracker {
  private readonly servers = new Set<string>();

  private sends = 0;

  /** Whether the last send is in progress, so that its server may already be running the request. */
  private inFlight = false;

  private earlierSendMayHaveRun = false;

  public constructor(private readonly options: SendTrackerOptions) {}

  /** Number of sends so far. */
  public get sendCount(): number {
    return this.sends;
  }

  /** Whether any server may have run the request. */
  public get mayHaveRun(): boolean {
    return this.earlierSendMayHaveRun || this.inFlight;
  }

  /** Records that the last send is in progress. */
  public markInFlight(): void {
    this.inFlight = true;
  }

  /**
   * Records the result of the send in progress.
   * @param mayHaveRun - whether its server may have run the request
   */
  public recordResult(mayHaveRun: boolean): void {
    this.inFlight = false;
    this.earlierSendMayHaveRun ||= mayHaveRun;
  }

  /** Whether the request may be sent to `server`, given the servers already used. */
  public allowsServer(server: string): boolean {
    return this.servers.has(server) || this.servers.size < this.options.maxServers;
  }

  /** Whether the request may be sent only to servers already used. */
  public get isServerLimitReached(): boolean {
    return this.servers.size >= this.options.maxServers;
  }

  /** Whether the retry budget has a retry left. */
  public hasRetryBudget(now: number): boolean {
    return this.options.retryBudget.hasRetry(this.options.service, now);
  }

  /** Servers to which the request has been sent. */
  public get usedServers(): ReadonlySet<string> {
    return this.servers;
  }

  /**
   * Records a send; every send but the first consumes a retry from the budget.
   * @returns false if the budget is empty
   */
  public recordSend(server: string, now: number): boolean {
    const { retryBudget, service } = this.options;
    if (this.sends === 0) retryBudget.recordRequest(service, now);
    else if (!retryBudget.consumeRetry(service, now)) return false;
    this.sends += 1;
    this.servers.add(server);
    return true;
  }

  /** Stops counting a server towards the server limit, because nothing of the request reached it. */
  public releaseServer(server: string): void {
    this.servers.delete(server);
  }
}
