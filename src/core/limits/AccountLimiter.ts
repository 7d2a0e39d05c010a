/** Holds an account's rate and concurrency over all instances without a shared counter. */
import { RefusalReason } from '../Outcome.js';

/** An account's use at one instance. */
export interface AccountDemand {
  readonly account: string;
  /** Requests a second that callers want. */
  readonly rate: number;
  /** Requests in progress and refused for concurrency lately. */
  readonly inFlight: number;
}

/** An instance's place among those that share a limit. */
export interface ShareContext {
  /** Failure domains that have instances, cut off or not. */
  readonly domains: number;
  /** Live instances in the own failure domain. */
  readonly localInstances: number;
}

/** Limits over all instances. */
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
  tokens: number;
  refilledAt: number;
  inFlight: number;
  wantedRate: number;
  wantedInFlight: number;
  arrivals: number;
  windowStart: number;
}

/** A peer's demand report lends its spare share for this long, in milliseconds. */
export const LENT_SHARE_LIFETIME_MS = 3000;

/** Window over which arrivals are counted, in milliseconds. */
const WINDOW_MS = 500;

/** Spare that an owner keeps for itself, as a multiple of its demand. */
const OWNER_HEADROOM = 1.2;

/** An account that wants fewer requests a second is forgotten. */
const IDLE_RATE = 0.01;

/** Rate tokens that may be saved up, in seconds of the share. */
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

  /** Fraction of every limit that this instance owns. */
  public get guarantee(): number {
    return 1 / (Math.max(1, this.context.domains) * Math.max(1, this.context.localInstances));
  }

  /** Takes a peer's demand report. */
  public applyPeerDemand(
    peer: string,
    guarantee: number,
    demands: readonly AccountDemand[],
    now: number,
  ): void {
    const byAccount = new Map(demands.map((demand) => [demand.account, demand]));
    this.peers.set(peer, { reportedAt: now, guarantee, demands: byAccount });
  }

  /** Forgets a peer that is gone. */
  public removePeer(peer: string): void {
    this.peers.delete(peer);
  }

  /**
   * Takes a place for one request.
   * @returns why the request is refused, or undefined when it has its place
   */
  public acquire(account: string, limit: AccountLimit, now: number): RefusalReason | undefined {
    const use = this.usageOf(account, limit, now);
    this.countArrival(use, now);
    const slots = Math.max(
      1,
      this.share(account, limit.concurrency, requestsInFlight, use.wantedInFlight, now),
    );
    if (use.inFlight + 1 > slots) {
      use.wantedInFlight = Math.max(use.wantedInFlight, use.inFlight + 1);
      return RefusalReason.ConcurrencyLimited;
    }
    const rate = this.share(account, limit.requestsPerSecond, requestRate, use.wantedRate, now);
    use.tokens = Math.min(
      Math.max(1, rate * BURST_S),
      use.tokens + ((now - use.refilledAt) / 1000) * rate,
    );
    use.refilledAt = now;
    if (use.tokens < 1) return RefusalReason.RateLimited;
    use.tokens -= 1;
    use.inFlight += 1;
    use.wantedInFlight = Math.max(use.wantedInFlight, use.inFlight);
    return undefined;
  }

  /** Frees the place of a request that `enter` let in. */
  public release(account: string): void {
    const use = this.uses.get(account);
    if (use !== undefined) use.inFlight = Math.max(0, use.inFlight - 1);
  }

  /** Demand of every account in use, for the peers. Idle accounts are forgotten. */
  public demands(now: number): AccountDemand[] {
    const found: AccountDemand[] = [];
    for (const [account, use] of this.uses) {
      this.rollWindow(use, now);
      if (use.inFlight === 0 && use.arrivals === 0 && use.wantedRate < IDLE_RATE) {
        this.uses.delete(account);
        continue;
      }
      found.push({ account, rate: use.wantedRate, inFlight: use.wantedInFlight });
    }
    return found;
  }

  /** This instance's part of a limit: its guarantee less what it lends, plus what it borrows. */
  private share(
    account: string,
    limit: number,
    quantity: Quantity,
    wanted: number,
    now: number,
  ): number {
    const ownShare = limit * this.guarantee;
    let spare = 0;
    let excess = 0;
    for (const peer of this.peers.values()) {
      if (now - peer.reportedAt > LENT_SHARE_LIFETIME_MS) continue;
      const peerShare = limit * peer.guarantee;
      const demand = peer.demands.get(account);
      const needed = demand === undefined ? 0 : quantity(demand) * OWNER_HEADROOM;
      spare += Math.max(0, peerShare - needed);
      excess += Math.max(0, needed - peerShare);
    }
    const ownExcess = Math.max(0, wanted * OWNER_HEADROOM - ownShare);
    if (ownExcess === 0) return ownShare;
    return ownShare + spare * (ownExcess / (ownExcess + excess));
  }

  private usageOf(account: string, limit: AccountLimit, now: number): AccountUse {
    let use = this.uses.get(account);
    if (use === undefined) {
      const tokens = Math.max(1, limit.requestsPerSecond * this.guarantee * BURST_S);
      use = {
        tokens,
        refilledAt: now,
        inFlight: 0,
        wantedRate: 0,
        wantedInFlight: 0,
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
    use.wantedRate = (use.wantedRate + (use.arrivals * 1000) / elapsed) / 2;
    use.arrivals = 0;
    use.wantedInFlight = use.inFlight;
    use.windowStart = now;
  }
}
