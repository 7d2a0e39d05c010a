/**
 * Orders servers to load the layers that the planner wants, while this instance holds the lease.
 *
 * An order names the number of orders that the server has accepted, so one that arrives late, after a
 * newer one, is refused by the server. Losing the lease or the store stops orders, never requests.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile, LayerSpan } from '../deployment/Types.js';
import type { Decisions } from '../Decisions.js';
import type { HeldLease } from './OrderDriver.js';
import { planPlacement, type Assignment } from './PlacementPlanner.js';

/** A server's answer to an order. */
export enum OrderAnswer {
  /** Begun, or held already. */
  Taken = 'taken',
  /** The server's state is not the one that the order names. */
  Conflict = 'conflict',
  /** No answer: it may be carried out, now or later. */
  Unknown = 'unknown',
  Refused = 'refused',
}

/** An order to hold a span of layers. */
export interface PlacementOrder {
  readonly id: string;
  readonly address: string;
  readonly span: LayerSpan;
  /** Orders that the server must have accepted before this one. */
  readonly ordersAccepted: number;
}

/** What a server reports when asked. */
export interface ServerReport {
  readonly ordersAccepted: number;
  readonly span: LayerSpan | undefined;
  /** Whether an order is being carried out. */
  readonly busy: boolean;
}

/** Sends orders to servers. */
export interface OrderPort {
  order(order: PlacementOrder, timeoutMs: number): Promise<OrderAnswer>;
  /** Undefined when the server gives no answer. */
  report(id: string, address: string, timeoutMs: number): Promise<ServerReport | undefined>;
}

export interface PlacementParts {
  readonly clock: Clock;
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly lease: HeldLease;
  readonly port: OrderPort;
  readonly decisions: Decisions;
}

/** Time between looks at the fleet, in milliseconds. */
const ROUND_MS = 300;

/** Servers that start together are placed together: wait this long after the last new one. */
const SETTLE_MS = 700;

/** An order without an answer for this time may have been lost, in milliseconds. */
const ORDER_TIMEOUT_MS = 800;

/** A server that took an order shows its layers after its load time; then it is asked again. */
const RECHECK_MS = 3000;

interface Ordered {
  readonly incarnation: number;
  readonly span: LayerSpan;
  nextCheckAt: number;
  inFlight: boolean;
}

export class PlacementDriver {
  private readonly ordered = new Map<string, Ordered>();

  private readonly seen = new Map<string, number>();

  private lastArrivalAt = -Infinity;

  private timer: Disposable | undefined;

  public constructor(private readonly parts: PlacementParts) {}

  public start(): void {
    this.round();
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
  }

  private round(): void {
    this.noteArrivals();
    if (this.parts.lease.heldFence > 0) this.lookAtAll();
    this.timer = this.parts.clock.schedule(ROUND_MS, () => this.round());
  }

  private noteArrivals(): void {
    for (const { record } of this.parts.directory.all()) {
      if (this.seen.get(record.id) === record.incarnation) continue;
      this.seen.set(record.id, record.incarnation);
      this.lastArrivalAt = this.parts.clock.now();
    }
  }

  private lookAtAll(): void {
    const table = this.parts.deployments.current;
    if (table === undefined) return;
    if (this.parts.clock.now() - this.lastArrivalAt < SETTLE_MS) return;
    for (const service of table.deployment.services.values()) {
      if (service.engine !== undefined) this.lookAt(service.name, service.engine);
    }
  }

  private lookAt(service: string, engine: EngineProfile): void {
    const { directory } = this.parts;
    const servers: KnownServer[] = [];
    for (const server of directory.all()) {
      if (server.record.service !== service || server.leaving) continue;
      if (server.missingSince === 0) servers.push(server);
    }
    const assignments = planPlacement(
      engine,
      servers.map(({ record }) => ({
        id: record.id,
        failureDomain: record.failureDomain,
        accelerator: record.accelerator,
        span: record.span ?? this.pending(record.id, record.incarnation)?.span,
      })),
    );
    for (const assignment of assignments) this.begin(assignment);
    this.recheck(servers);
  }

  private pending(id: string, incarnation: number): Ordered | undefined {
    const ordered = this.ordered.get(id);
    return ordered?.incarnation === incarnation ? ordered : undefined;
  }

  private begin(assignment: Assignment): void {
    const server = this.parts.directory.get(assignment.id);
    if (server === undefined) return;
    const ordered: Ordered = {
      incarnation: server.record.incarnation,
      span: assignment.span,
      nextCheckAt: 0,
      inFlight: false,
    };
    this.ordered.set(assignment.id, ordered);
    // A server without layers has most likely had no order; a conflict makes the driver ask it.
    this.send(server, ordered, 0);
  }

  /** Asks servers whose layers have not shown up, and repeats the order where it did not arrive. */
  private recheck(servers: readonly KnownServer[]): void {
    const now = this.parts.clock.now();
    for (const server of servers) {
      const { record } = server;
      const ordered = this.pending(record.id, record.incarnation);
      if (ordered === undefined || ordered.inFlight) continue;
      if (record.span !== undefined) this.ordered.delete(record.id);
      else if (now >= ordered.nextCheckAt) this.ask(server, ordered);
    }
  }

  private async ask(server: KnownServer, ordered: Ordered): Promise<void> {
    const { record } = server;
    ordered.inFlight = true;
    const report = await this.parts.port.report(record.id, record.address, ORDER_TIMEOUT_MS);
    ordered.inFlight = false;
    ordered.nextCheckAt = this.parts.clock.now() + RECHECK_MS;
    if (report === undefined || report.busy || report.span !== undefined) return;
    if (this.parts.lease.heldFence > 0) this.send(server, ordered, report.ordersAccepted);
  }

  private async send(server: KnownServer, ordered: Ordered, accepted: number): Promise<void> {
    const { id, address } = server.record;
    ordered.inFlight = true;
    const answer = await this.parts.port.order(
      { id, address, span: ordered.span, ordersAccepted: accepted },
      ORDER_TIMEOUT_MS,
    );
    ordered.inFlight = false;
    const waitMs = answer === OrderAnswer.Conflict ? 0 : RECHECK_MS;
    ordered.nextCheckAt = this.parts.clock.now() + waitMs;
    this.parts.decisions.note('order', {
      server: id,
      from: ordered.span.from,
      to: ordered.span.to,
      accepted,
      answer,
    });
  }
}
