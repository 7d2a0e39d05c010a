/**
 * Decides whether a server may be given work now, and until when not. Everything that sends work to a server
 * asks here: first sends, retries, resumed streams, reroutes and orders.
 *
 * Whether a request may be sent at all, because of inputs that crash servers, is up to `InputQuarantine`.
 */
import type { Clock } from '../../ports/Types.js';
import { AvoidReason, type KnownServer } from '../deployment/ServerDirectory.js';
import type { ServerLimits } from '../limits/ServerLimits.js';

/** How a server takes part in a request. */
export enum ServerRole {
  /** Receives the request: the server of a plain service, or the first one of a route. */
  First = 'first',
  /** Serves layers of a route that begins at another server. */
  Later = 'later',
}

/** Why a server may not be given work now. */
export interface Obstacle {
  readonly reason: AvoidReason;
  /** Time at which it ends, on the clock; Infinity if that is not known. */
  readonly until: number;
}

/** Reasons that only make other servers preferable. */
const LAST_RESORT: ReadonlySet<AvoidReason> = new Set([AvoidReason.Full, AvoidReason.Declining]);

interface AdmissionRule {
  readonly reason: AvoidReason;
  /** Returns the time until which the rule holds work back; a past time if it does not. */
  until(server: KnownServer, role: ServerRole): number;
}

export class ServerAdmission {
  /** The rules in order; the first one that applies is reported. */
  private readonly rules: readonly AdmissionRule[] = [
    { reason: AvoidReason.Leaving, until: ({ leaving }) => (leaving ? Infinity : -Infinity) },
    { reason: AvoidReason.Suspect, until: ({ suspectUntil }) => suspectUntil },
    {
      reason: AvoidReason.Limited,
      until: ({ record }, role) =>
        role === ServerRole.First && !this.serverLimits.allows(record) ? Infinity : -Infinity,
    },
    { reason: AvoidReason.Full, until: ({ fullUntil }) => fullUntil },
    { reason: AvoidReason.Declining, until: ({ decliningUntil }) => decliningUntil },
  ];

  public constructor(
    private readonly clock: Clock,
    private readonly serverLimits: ServerLimits,
  ) {}

  /** Whether there may be servers that can serve on a route without being its first server. */
  public get dependsOnRole(): boolean {
    return this.serverLimits.size > 0;
  }

  /**
   * Returns why a server may not be given work now.
   * @returns undefined if it may
   */
  public obstacle(server: KnownServer, role: ServerRole): Obstacle | undefined {
    const now = this.clock.now();
    for (const { reason, until } of this.rules) {
      const end = until(server, role);
      if (end > now) return { reason, until: end };
    }
    return undefined;
  }

  /** Whether a server may be given work now, if only as a last resort. */
  public accepts(server: KnownServer, role: ServerRole): boolean {
    const obstacle = this.obstacle(server, role);
    return obstacle === undefined || LAST_RESORT.has(obstacle.reason);
  }
}
