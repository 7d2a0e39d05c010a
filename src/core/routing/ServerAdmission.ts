/**
 * Decides whether a server may be given work now, and until when not. Everything that sends work to a server
 * asks here: first sends, retries, resumed streams, reroutes and orders.
 *
 * Whether a request may be sent at all, because of inputs that crash servers, is up to `InputQuarantine`.
 */
import type { Clock } from '../../ports/Types.js';
import { AvoidReason, type KnownServer } from '../deployment/ServerDirectory.js';
import type { LayerSpan } from '../deployment/Types.js';
import type { HeldServers } from '../limits/HeldServers.js';
import type { ServerLimits } from '../limits/ServerLimits.js';
import { ServerRole } from './Types.js';

/** Why a server may not be given work now. */
export interface Obstacle {
  readonly reason: AvoidReason;
  /** Time at which it ends, on the clock; Infinity if that is not known. */
  readonly until: number;
}

/** Reasons that only make other servers preferable. */
const LAST_RESORT: ReadonlySet<AvoidReason> = new Set([AvoidReason.Full, AvoidReason.Declining]);

const NO_LAYERS: LayerSpan = { from: 0, to: 0 };

/** The only layer of a plain service, in the terms of engines. */
const ONE_LAYER: LayerSpan = { from: 0, to: 1 };

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
      reason: AvoidReason.HeldBack,
      until: ({ record }, role) => this.heldServers.heldUntil(record, role),
    },
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
    private readonly heldServers: HeldServers,
  ) {}

  /** Whether there may be servers that can serve on a route without being its first server. */
  public get dependsOnRole(): boolean {
    return this.serverLimits.size > 0 || this.heldServers.size > 0;
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

  /** Whether a server asked this instance for a pause that has not ended. */
  public isHeldBack({ record }: KnownServer): boolean {
    return this.heldServers.isHeld(record);
  }

  /** Whether a server may be sent an order to hold layers. A suspect may, as it may have restarted without them. */
  public mayBeOrdered(server: KnownServer): boolean {
    return !server.leaving && !this.isHeldBack(server);
  }

  /**
   * Returns when a service can be used again if pauses that servers asked for are what keeps it from being used.
   * @param servers - all servers that this instance knows
   * @param layers - layers that a route has to cover; 0 for plain services
   * @returns a time on the clock; undefined if the service can be used, or other obstacles remain after the pauses
   */
  public heldUntil(
    servers: Iterable<KnownServer>,
    service: string,
    layers: number,
  ): number | undefined {
    if (this.heldServers.size === 0) return undefined;
    const usableFrom = new Array<number>(Math.max(1, layers)).fill(Infinity);
    for (const server of servers) {
      if (server.record.service !== service) continue;
      const { from, to } = layers > 0 ? (server.record.span ?? NO_LAYERS) : ONE_LAYER;
      if (from === 0 && to > 0)
        usableFrom[0] = Math.min(usableFrom[0], this.usableFrom(server, ServerRole.First));
      const later = this.usableFrom(server, ServerRole.Later);
      for (let layer = Math.max(1, from); layer < to; layer += 1)
        usableFrom[layer] = Math.min(usableFrom[layer], later);
    }
    const until = Math.max(...usableFrom);
    return Number.isFinite(until) && until > this.clock.now() ? until : undefined;
  }

  /** Returns the time from which a server may be given work; Infinity if that is not known. */
  private usableFrom(server: KnownServer, role: ServerRole): number {
    const obstacle = this.obstacle(server, role);
    if (obstacle === undefined || LAST_RESORT.has(obstacle.reason)) return -Infinity;
    return obstacle.reason === AvoidReason.HeldBack ? obstacle.until : Infinity;
  }
}
