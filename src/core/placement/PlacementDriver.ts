/**
 * Orders the servers of the own failure domain to hold the layers that the planner wants, while this
 * instance holds the domain's lease.
 *
 * An order names the number of orders that the server has accepted, so one that arrives late, after a
 * newer one, is refused by the server. Losing the lease or the store stops orders, never requests.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile, LayerSpan } from '../deployment/Types.js';
import type { HeldLease } from './OrderDriver.js';
import { planPlacement, type Assignment } from './PlacementPlanner.js';
import { OrderAnswer, type OrderPort, type ReportPort } from './Types.js';

export interface PlacementDriverDependencies {
  readonly clock: Clock;
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly lease: HeldLease;
  readonly port: OrderPort & ReportPort;
  readonly decisions: DecisionLog;
  readonly failureDomain: string;
}

/** Time between looks at the fleet while orders are open or servers change, in milliseconds. */
const ROUND_MS = 300;

/** The same while nothing changes, in milliseconds: servers come to rest, and suspicions lapse. */
const IDLE_ROUND_MS = 2000;

/** Servers that start together are placed together: wait this long after the last new one. */
const SETTLE_MS = 700;

/** An order without an answer for this time may have been lost, in milliseconds. */
const ORDER_TIMEOUT_MS = 800;

/** Time after which a server that does not show its new layers is asked, in milliseconds. */
const RECHECK_MS = 3000;

/** A server that conflicts is asked again after this time at the earliest, in milliseconds. */
const RETRY_MS = 300;

/** A server that holds layers gets no further order for this time, in milliseconds. */
const REST_MS = 8000;

/** Orders in flight at once. */
const MAX_IN_FLIGHT = 64;

/** The last order to one run of a server. */
interface Ordered {
  readonly incarnation: number;
  span: LayerSpan;
  /** Orders that the server has accepted, as far as known. */
  accepted: number;
  /** Whether the wanted layers have shown up. */
  done: boolean;
  nextCheckAt: number;
  begunAt: number;
  inFlight: boolean;
}

function sameSpan(a: LayerSpan | undefined, b: LayerSpan): boolean {
  return a !== undefined && a.from === b.from && a.to === b.to;
}

export class PlacementDriver {
  private readonly ordered = new Map<string, Ordered>();

  private readonly seen = new Map<string, number>();

  private lastArrivalAt = -Infinity;

  private inFlight = 0;

  private timer: Disposable | undefined;

  private nextRoundAt = 0;

  private subscription: Disposable | undefined;

  public constructor(private readonly parts: PlacementDriverDependencies) {}

  public start(): void {
    this.subscription = this.parts.directory.onChange(() => this.lookSoon());
    this.round();
  }

  public dispose(): void {
    this.subscription?.dispose();
    this.timer?.dispose();
    this.timer = undefined;
  }

  private round(): void {
    this.noteArrivals();
    if (this.parts.lease.heldFence > 0) this.lookAtAll();
    this.schedule(this.hasOpenOrders || this.isSettling ? ROUND_MS : IDLE_ROUND_MS);
  }

  private schedule(ms: number): void {
    this.timer?.dispose();
    this.nextRoundAt = this.parts.clock.now() + ms;
    this.timer = this.parts.clock.schedule(ms, () => this.round());
  }

  private lookSoon(): void {
    if (this.nextRoundAt > this.parts.clock.now() + ROUND_MS) this.schedule(ROUND_MS);
  }

  /** Whether some server has an order that it does not show; orders to servers that are gone are forgotten. */
  private get hasOpenOrders(): boolean {
    let isOpen = false;
    for (const [id, { done }] of this.ordered) {
      if (this.parts.directory.get(id) === undefined) this.ordered.delete(id);
      else isOpen ||= !done;
    }
    return isOpen;
  }

  /** Whether new servers are waited for. */
  private get isSettling(): boolean {
    return this.parts.clock.now() - this.lastArrivalAt < SETTLE_MS;
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
    if (this.isSettling) return;
    for (const service of table.deployment.services.values()) {
      if (service.engine !== undefined) this.lookAt(service.name, service.engine);
    }
  }

  private lookAt(service: string, engine: EngineProfile): void {
    const servers: KnownServer[] = [];
    for (const server of this.parts.directory.all()) {
      if (server.record.service !== service || server.leaving) continue;
      if (server.missingSince === undefined) servers.push(server);
    }
    this.followUp(servers);
    const wishes = servers.map(({ record }) => {
      const open = this.openOrder(record.id, record.incarnation);
      return {
        id: record.id,
        failureDomain: record.failureDomain,
        accelerator: record.accelerator,
        span: open?.span ?? record.span,
        isBusy: open !== undefined || this.rests(record.id, record.incarnation),
      };
    });
    const assignments = planPlacement(engine, wishes, this.parts.failureDomain);
    for (const assignment of assignments) {
      if (this.inFlight >= MAX_IN_FLIGHT) return;
      this.begin(assignment);
    }
  }

  /** The order to a server whose layers have not shown up yet. */
  private openOrder(id: string, incarnation: number): Ordered | undefined {
    const ordered = this.ordered.get(id);
    return ordered?.incarnation === incarnation && !ordered.done ? ordered : undefined;
  }

  /** Whether a server had an order so lately that its requests have not come to rest. */
  private rests(id: string, incarnation: number): boolean {
    const ordered = this.ordered.get(id);
    if (ordered?.incarnation !== incarnation) return false;
    return this.parts.clock.now() - ordered.begunAt < REST_MS;
  }

  private begin({ id, span }: Assignment): void {
    const server = this.parts.directory.get(id);
    if (server === undefined) return;
    const { incarnation } = server.record;
    let ordered = this.ordered.get(id);
    if (ordered?.incarnation !== incarnation) {
      // A server without layers has most likely had no order; a conflict makes the driver ask it.
      const accepted = server.record.span === undefined ? 0 : 1;
      ordered = {
        incarnation,
        span,
        accepted,
        done: false,
        nextCheckAt: 0,
        begunAt: 0,
        inFlight: false,
      };
      this.ordered.set(id, ordered);
    }
    ordered.span = span;
    ordered.done = false;
    ordered.begunAt = this.parts.clock.now();
    this.send(server, ordered);
  }

  /** Closes orders whose layers have shown up, and asks the servers of the others. */
  private followUp(servers: readonly KnownServer[]): void {
    const now = this.parts.clock.now();
    for (const server of servers) {
      const { record } = server;
      const open = this.openOrder(record.id, record.incarnation);
      if (open === undefined || open.inFlight) continue;
      if (sameSpan(record.span, open.span)) open.done = true;
      else if (now >= open.nextCheckAt) this.ask(server, open);
    }
  }

  private async ask(server: KnownServer, ordered: Ordered): Promise<void> {
    const { record } = server;
    ordered.inFlight = true;
    const report = await this.parts.port.report(record.id, record.address, ORDER_TIMEOUT_MS);
    ordered.inFlight = false;
    ordered.nextCheckAt = this.parts.clock.now() + RECHECK_MS;
    if (report === undefined) {
      // A server that does not answer takes no part until its entry or a later look says otherwise.
      this.parts.directory.suspect(record.id);
      return;
    }
    ordered.accepted = report.ordersAccepted;
    if (report.busy) return;
    if (sameSpan(report.span, ordered.span)) {
      ordered.done = true;
      // The store may be away; its entry would say the same.
      this.parts.directory.applyReportedSpan(record.id, ordered.span);
    } else if (this.parts.lease.heldFence > 0) this.send(server, ordered);
  }

  private async send(server: KnownServer, ordered: Ordered): Promise<void> {
    const { id, address } = server.record;
    const { span, accepted } = ordered;
    ordered.inFlight = true;
    this.inFlight += 1;
    const answer = await this.parts.port.order(
      { id, address, span, ordersAccepted: accepted },
      ORDER_TIMEOUT_MS,
    );
    this.inFlight -= 1;
    ordered.inFlight = false;
    if (answer === OrderAnswer.Accepted) ordered.accepted += 1;
    const waitMs = answer === OrderAnswer.Conflict ? RETRY_MS : RECHECK_MS;
    ordered.nextCheckAt = this.parts.clock.now() + waitMs;
    this.parts.decisions.record('order', {
      server: id,
      from: span.from,
      to: span.to,
      heldFrom: server.record.span?.from,
      heldTo: server.record.span?.to,
      accepted,
      answer,
    });
  }
}
