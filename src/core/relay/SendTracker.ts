/** Keeps to what one request may use: servers of its route, time, and the shared retry budget. */
import type { RetryLimiter } from '../limits/RetryBudget.js';

export interface SendTrackerOptions {
  readonly maxServers: number;
  readonly service: string;
  readonly retryBudget: RetryLimiter;
}

export class SendTracker {
  private readonly servers = new Set<string>();

  private sends = 0;

  /** Whether a call is under way that its server may already run. */
  private inFlight = false;

  private earlierCallMayHaveRun = false;

  public constructor(private readonly options: SendTrackerOptions) {}

  /** Sends so far. */
  public get sendCount(): number {
    return this.sends;
  }

  /** Whether some server may have run the request. */
  public get mayHaveRun(): boolean {
    return this.earlierCallMayHaveRun || this.inFlight;
  }

  /** Records that a call goes out. */
  public startCall(): void {
    this.inFlight = true;
  }

  /**
   * Records what became of the call under way.
   * @param mayHaveRun - whether its server may have run the request
   */
  public endCall(mayHaveRun: boolean): void {
    this.inFlight = false;
    this.earlierCallMayHaveRun ||= mayHaveRun;
  }

  /** Whether the request may be sent to a server besides those before it. */
  public allowsServer(server: string): boolean {
    return this.servers.has(server) || this.servers.size < this.options.maxServers;
  }

  /** Whether no server besides those before may get the request. */
  public get isServerLimitReached(): boolean {
    return this.servers.size >= this.options.maxServers;
  }

  /** Whether the budget has a retry left. */
  public hasRetryBudget(now: number): boolean {
    return this.options.retryBudget.hasRetry(this.options.service, now);
  }

  /** Servers that have had the request. */
  public get usedServers(): ReadonlySet<string> {
    return this.servers;
  }

  /** Records a send; every one but the first draws on the budget. @returns false when it is empty */
  public recordSend(server: string, now: number): boolean {
    const { retryBudget, service } = this.options;
    if (this.sends === 0) retryBudget.recordRequest(service, now);
    else if (!retryBudget.consumeRetry(service, now)) return false;
    this.sends += 1;
    this.servers.add(server);
    return true;
  }

  /** Takes back a send of which nothing reached the server. */
  public releaseServer(server: string): void {
    this.servers.delete(server);
  }
}
