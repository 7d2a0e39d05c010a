/**
 * Estimates the memory that peers' requests have taken at servers since the last reports. Many instances hold
 * the same reports; if each took them for the present state, all would fill the same servers until the next.
 */
import type { Random } from '../../ports/Types.js';
import type { EngineProfile } from '../deployment/Types.js';

/** How much peers send, and how old their reports are. */
export interface PeerActivity {
  /** Requests for a service that all peers together receive, per millisecond. */
  requestsPerMs(service: string): number;
  /** Mean age of their reports, in milliseconds. */
  reportAgeMs(): number;
}

/** A server as the estimate sees it. */
export interface EstimatedServer {
  readonly failureDomain: string;
  /** Number of layers that it holds. */
  readonly layers: number;
}

/** Returns a draw of the KV cache that unreported work takes at a server, in tokens times layers. */
export type UnreportedCache = (server: EstimatedServer) => number;

/**
 * Number of servers that hold a layer in a failure domain, for each one that peers prefer: they judge by the same
 * figures.
 */
const CONCENTRATION = 4;

export class UnreportedWork {
  public constructor(
    private readonly random: Random,
    private readonly peers: PeerActivity,
  ) {}

  /** Estimates the number of requests for a service that peers have sent since their reports. */
  private requests(service: string): number {
    const requests = this.peers.requestsPerMs(service) * this.peers.reportAgeMs();
    return requests > 0 ? requests : 0;
  }

  /**
   * Prepares the draws of one route search.
   * @param parallelRoutes - number of routes without a common server that each failure domain allows
   * @returns undefined if nothing is unreported
   */
  public draws(
    service: string,
    engine: EngineProfile,
    parallelRoutes: ReadonlyMap<string, number>,
  ): UnreportedCache | undefined {
    const requests = this.requests(service);
    if (requests === 0) return undefined;
    const tokens = engine.usualPromptTokens + engine.usualAnswerTokens;
    const tokensPerServer = new Map<string, number>();
    for (const [domain, routes] of parallelRoutes) {
      // All peers may prefer the same domain.
      const inDomain = this.draw(requests);
      tokensPerServer.set(domain, (CONCENTRATION * inDomain * tokens) / Math.max(1, routes));
    }
    return ({ failureDomain, layers }) =>
      this.draw(tokensPerServer.get(failureDomain) ?? 0) * layers;
  }

  /** Draws from the exponential distribution. */
  private draw(mean: number): number {
    return -Math.log(1 - this.random.next()) * mean;
  }
}
