/** Enforces each account's rate and concurrency limits across all instances without a shared counter. */
import { RefusalReason } from '../Outcome.js';

/** An account's demand at one instance. */
export interface AccountDemand {
  readonly account: string;
  /** Requests per second that callers send, admitted or not. */
  readonly rate: number;
  /** Highest recent number of requests in progress, including one refused by the concurrency limit. */
  readonly inFlight: number;
}

/** The instances among which every limit is divided. */
export interface ShareContext {
  /** Number of failure domains that have instances, reachable or not. */
  readonly domains: number;
  /** Number of live instances in the local failure domain. */
  readonly localInstances: number;
}

/** Limits of one account across all instances. */
export interface AccountLimit {
  readonly requestsPerSecond: number;
  readonly concurrency: number;
}

interface PeerDemand {
  readonly reportedAt: number;
  readonly guarantee: number;
  readonly demands: ReadonlyMap<string, AccountDemand>;
}

interface AccountUse {
  /** Requests that the rate limit admits at once: the level of the token bucket. */
  admissions: number;
  refilledAt: number;
  inFlight: number;
  demandedRate: number;
  demandedInFlight: number;
  arrivals: number;
  windowStart: number;
}

/** A peer's unused guaranteed share may be borrowed for this time after its report, in milliseconds. */
export const LENT_SHARE_LIFETIME_MS = 3000;

/** Length of the window in which arriving requests are counted, in milliseconds. */
const WINDOW_MS = 500;

/** An instance keeps this multiple of its own demand; only the remainder of its guaranteed share is lent. */
const DEMAND_HEADROOM = 1.2;

/** An idle account is removed when its demand falls below this rate, in requests per second. */
const IDLE_RATE = 0.01;

/** Capacity of the token bucket, in seconds of this instance's share of the rate. */
const BURST_S = 1;

type Quantity = (demand: AccountDemand) => number;

const requestRate: Quantity = (demand) => demand.rate;
const requestsInFlight: Quantity = (demand) => demand.inFlight;

export class AccountLimiter {
  private readonly peers = new Map<string, PeerDemand>();

  private readonly uses = new Map<string, AccountUse>();

  public constructor(private context: ShareContext) {}

  public setContext(context: ShareContext): void {
    this.context = context;
  }

  /** Fraction of every limit that is guaranteed to this instance. */
  public get guarantee(): number {
    return 1 / (Math.max(1, this.context.domains) * Math.max(1, this.context.localInstances));
  }

  /**
   * Applies a peer's demand report, which replaces its previous one.
   * @param guarantee - fraction of every limit that is guaranteed to the peer
   */
  public applyPeerDemand(
    peer: string,
    guarantee: number,
    demands: readonly AccountDemand[],
    now: number,
  ): void {
    const byAccount = new Map(demands.map((demand) => [demand.account, demand]));
    this.peers.set(peer, { reportedAt: now, guarantee, demands: byAccount });
  }

  /** Discards the demand report of a peer that is gone. */
  public removePeer(peer: string): void {
    this.peers.delete(peer);
  }

  /**
   * Admits one request if the account's rate and concurrency limits allow it.
   * @returns the reason for the refusal, or undefined when the request is admitted
   */
  public acquire(account: string, limit: AccountLimit, now: number): RefusalReason | undefined {
    const use = this.useOf(account, limit, now);
    this.countArrival(use, now);
    const maxInFlight = Math.max(
      1,
      this.share(account, limit.concurrency, requestsInFlight, use.demandedInFlight, now),
    );
    if (use.inFlight + 1 > maxInFlight) {
      use.demandedInFlight = Math.max(use.demandedInFlight, use.inFlight + 1);
      return RefusalReason.ConcurrencyLimited;
    }
    const rate = this.share(account, limit.requestsPerSecond, requestRate, use.demandedRate, now);
    use.admissions = Math.min(
      Math.max(1, rate * BURST_S),
      use.admissions + ((now - use.refilledAt) / 1000) * rate,
    );
    use.refilledAt = now;
    if (use.admissions < 1) return RefusalReason.RateLimited;
    use.admissions -= 1;
    use.inFlight += 1;
    use.demandedInFlight = Math.max(use.demandedInFlight, use.inFlight);
    return undefined;
  }

  /** Ends a request that `acquire` admitted. */
  public release(account: string): void {
    const use = this.uses.get(account);
    if (use !== undefined) use.inFlight = Math.max(0, use.inFlight - 1);
  }

  /** Returns the demand of every account in use, to be reported to the peers. Removes idle accounts. */
  public demands(now: number): AccountDemand[] {
    const found: AccountDemand[] = [];
    for (const [account, use] of this.uses) {
      this.rollWindow(use, now);
      if (use.inFlight === 0 && use.arrivals === 0 && use.demandedRate < IDLE_RATE) {
        this.uses.delete(account);
        continue;
      }
      found.push({ account, rate: use.demandedRate, inFlight: use.demandedInFlight });
    }
    return found;
  }

  /** Returns this instance's share of a limit: the guaranteed share plus what it borrows if it needs more. */
  private share(
    account: string,
    limit: number,
    quantity: Quantity,
    demanded: number,
    now: number,
  ): number {
    const guaranteedShare = limit * this.guarantee;
    let spare = 0;
    let excess = 0;
    for (const peer of this.peers.values()) {
      if (now - peer.reportedAt > LENT_SHARE_LIFETIME_MS) continue;
      const peerShare = limit * peer.guarantee;
      const demand = peer.demands.get(account);
      const needed = demand === undefined ? 0 : quantity(demand) * DEMAND_HEADROOM;
      spare += Math.max(0, peerShare - needed);
      excess += Math.max(0, needed - peerShare);
    }
    const ownExcess = Math.max(0, demanded * DEMAND_HEADROOM - guaranteedShare);
    if (ownExcess === 0) return guaranteedShare;
    return guaranteedShare + spare * (ownExcess / (ownExcess + excess));
  }

  private useOf(account: string, limit: AccountLimit, now: number): AccountUse {
    let use = this.uses.get(account);
    if (use === undefined) {
      const admissions = Math.max(1, limit.requestsPerSecond * this.guarantee * BURST_S);
      use = {
        admissions,
        refilledAt: now,
        inFlight: 0,
        demandedRate: 0,
        demandedInFlight: 0,
        arrivals: 0,
        windowStart: now,
      };
      this.uses.set(account, use);
    }
    return use;
  }

  private countArrival(use: AccountUse, now: number): void {
    this.rollWindow(use, now);
    use.arrivals += 1;
  }

  private rollWindow(use: AccountUse, now: number): void {
    const elapsed = now - use.windowStart;
    if (elapsed < WINDOW_MS) return;
    use.demandedRate = (use.demandedRate + (use.arrivals * 1000) / elapsed) / 2;
    use.arrivals = 0;
    use.demandedInFlight = use.inFlight;
    use.windowStart = now;
  }
}
