/**
 * Orders the servers of the local failure domain to hold the layers that the planner assigns, while
 * this instance holds the domain's lease. Used by router instances; entry instances use `OrderDriver`.
 *
 * An order states the number of orders that the server has accepted, so the server rejects an order
 * that arrives after a newer one. Losing the lease or the store stops orders but never requests.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile, LayerSpan } from '../deployment/Types.js';
import type { ServerAdmission } from '../routing/ServerAdmission.js';
import type { LeaseState } from './OrderDriver.js';
import { planPlacement, type Assignment } from './PlacementPlanner.js';
import { OrderAnswer, type OrderPort, type ReportPort } from './Types.js';

export interface PlacementDriverDependencies {
  readonly clock: Clock;
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly lease: LeaseState;
  readonly port: OrderPort & ReportPort;
  readonly decisions: DecisionLog;
  readonly failureDomain: string;
  readonly serverAdmission: ServerAdmission;
}

/** Time between rounds while orders are open or servers change, in milliseconds. */
const ROUND_MS = 300;

/**
 * Time between rounds while nothing changes, in milliseconds. Rounds are needed then, too, because
 * cooldowns end without an event.
 */
const IDLE_ROUND_MS = 2000;

/** Wait after the last new server, in milliseconds: servers that start together are placed together. */
const NEW_SERVER_WAIT_MS = 700;

/** Timeout of orders and reports, in milliseconds. After it, an order may have been lost. */
const ORDER_TIMEOUT_MS = 800;

/** Time after which a server that does not show its new layers is asked for a report, in milliseconds. */
const RECHECK_MS = 3000;

/** Least time until a server is asked for a report after a conflict, in milliseconds. */
const CONFLICT_RETRY_MS = 300;

/** Time after an order in which a server that holds layers gets no further one, in milliseconds. */
const ORDER_COOLDOWN_MS = 8000;

/** Number of orders in flight at which no new one is started. Repeated orders are not limited. */
const MAX_IN_FLIGHT = 64;

/** The last order to one run of a server. */
interface LastOrder {
  readonly incarnation: number;
  span: LayerSpan;
  /** Orders that the server has accepted, as far as known. */
  accepted: number;
  /** Whether the server holds the ordered layers. */
  done: boolean;
  nextCheckAt: number;
  startedAt: number;
  /** Whether an order or a request for a report is unanswered. */
  isAwaitingAnswer: boolean;
}

function sameSpan(a: LayerSpan | undefined, b: LayerSpan): boolean {
  return a !== undefined && a.from === b.from && a.to === b.to;
}

export class PlacementDriver {
  private readonly lastOrders = new Map<string, LastOrder>();

  private readonly seenIncarnations = new Map<string, number>();

  private lastNewServerAt = -Infinity;

  private inFlight = 0;

  private timer: Disposable | undefined;

  private nextRoundAt = 0;

  private subscription: Disposable | undefined;

  public constructor(private readonly dependencies: PlacementDriverDependencies) {}

  public start(): void {
    this.subscription = this.dependencies.directory.onChange(() => this.expediteRound());
    this.runRound();
  }

  public dispose(): void {
    this.subscription?.dispose();
    this.timer?.dispose();
    this.timer = undefined;
  }

  private runRound(): void {
    this.noteNewServers();
    if (this.dependencies.lease.heldFence > 0) this.placeServices();
    this.scheduleRound(this.hasOpenOrders || this.isAwaitingMoreServers ? ROUND_MS : IDLE_ROUND_MS);
  }

  private scheduleRound(ms: number): void {
    this.timer?.dispose();
    this.nextRoundAt = this.dependencies.clock.now() + ms;
    this.timer = this.dependencies.clock.schedule(ms, () => this.runRound());
  }

  private expediteRound(): void {
    if (this.nextRoundAt > this.dependencies.clock.now() + ROUND_MS) this.scheduleRound(ROUND_MS);
  }

  /**
   * Whether some server does not show the layers that it was ordered to hold. Also removes orders to
   * servers that no longer exist.
   */
  private get hasOpenOrders(): boolean {
    let isOpen = false;
    for (const [id, { done }] of this.lastOrders) {
      if (this.dependencies.directory.get(id) === undefined) this.lastOrders.delete(id);
      else isOpen ||= !done;
    }
    return isOpen;
  }

  /** Whether a server started so recently that others may follow. */
  private get isAwaitingMoreServers(): boolean {
    return this.dependencies.clock.now() - this.lastNewServerAt < NEW_SERVER_WAIT_MS;
  }

  private noteNewServers(): void {
    for (const { record } of this.dependencies.directory.all()) {
      if (this.seenIncarnations.get(record.id) === record.incarnation) continue;
      this.seenIncarnations.set(record.id, record.incarnation);
      this.lastNewServerAt = this.dependencies.clock.now();
    }
  }

  private placeServices(): void {
    const table = this.dependencies.deployments.currentTable;
    if (table === undefined) return;
    if (this.isAwaitingMoreServers) return;
    for (const service of table.deployment.services.values()) {
      if (service.engine !== undefined) this.placeService(service.name, service.engine);
    }
  }

  private placeService(service: string, engine: EngineProfile): void {
    const servers: KnownServer[] = [];
    for (const server of this.dependencies.directory.all()) {
      if (server.record.service !== service || server.leaving) continue;
      if (server.missingSince === undefined) servers.push(server);
    }
    this.checkOpenOrders(servers);
    const candidates = servers.map(({ record }) => {
      const open = this.openOrder(record.id, record.incarnation);
      return {
        id: record.id,
        failureDomain: record.failureDomain,
        accelerator: record.accelerator,
        span: open?.span ?? record.span,
        hasRecentOrder: open !== undefined || this.isCoolingDown(record.id, record.incarnation),
      };
    });
    const assignments = planPlacement(engine, candidates, this.dependencies.failureDomain);
    for (const assignment of assignments) {
      if (this.inFlight >= MAX_IN_FLIGHT) return;
      this.startOrder(assignment);
    }
  }

  /** Returns the last order to a server if its layers have not appeared yet. */
  private openOrder(id: string, incarnation: number): LastOrder | undefined {
    const order = this.lastOrders.get(id);
    return order?.incarnation === incarnation && !order.done ? order : undefined;
  }

  /**
   * Whether a server's last order is less than `ORDER_COOLDOWN_MS` old, so that its requests may still
   * be moving to other routes.
   */
  private isCoolingDown(id: string, incarnation: number): boolean {
    const order = this.lastOrders.get(id);
    if (order?.incarnation !== incarnation) return false;
    return this.dependencies.clock.now() - order.startedAt < ORDER_COOLDOWN_MS;
  }

  private startOrder({ id, span }: Assignment): void {
    const server = this.dependencies.directory.get(id);
    if (server === undefined || !this.dependencies.serverAdmission.mayBeOrdered(server)) return;
    const { incarnation } = server.record;
    let order = this.lastOrders.get(id);
    if (order?.incarnation !== incarnation) {
      // A server without layers has most likely accepted no order, and one with layers a single order. If
      // that is wrong, the server answers with a conflict, and the driver asks it for a report.
      const accepted = server.record.span === undefined ? 0 : 1;
      order = {
        incarnation,
        span,
        accepted,
        done: false,
        nextCheckAt: 0,
        startedAt: 0,
        isAwaitingAnswer: false,
      };
      this.lastOrders.set(id, order);
    }
    order.span = span;
    order.done = false;
    order.startedAt = this.dependencies.clock.now();
    this.send(server, order);
  }

  /** Closes orders whose layers have appeared, and asks the servers of overdue ones for reports. */
  private checkOpenOrders(servers: readonly KnownServer[]): void {
    const now = this.dependencies.clock.now();
    for (const server of servers) {
      const { record } = server;
      const open = this.openOrder(record.id, record.incarnation);
      if (open === undefined || open.isAwaitingAnswer) continue;
      if (sameSpan(record.span, open.span)) open.done = true;
      else if (now >= open.nextCheckAt && this.dependencies.serverAdmission.mayBeOrdered(server))
        this.checkReport(server, open);
    }
  }

  private async checkReport(server: KnownServer, order: LastOrder): Promise<void> {
    const { record } = server;
    order.isAwaitingAnswer = true;
    const report = await this.dependencies.port.report(record.id, record.address, ORDER_TIMEOUT_MS);
    order.isAwaitingAnswer = false;
    order.nextCheckAt = this.dependencies.clock.now() + RECHECK_MS;
    if (report === undefined) {
      // A server that does not answer gets no new requests until its suspicion ends.
      this.dependencies.directory.suspect(record.id);
      return;
    }
    order.accepted = report.ordersAccepted;
    if (report.busy) return;
    if (sameSpan(report.span, order.span)) {
      order.done = true;
      // The store may be unavailable; the server's entry would say the same.
      this.dependencies.directory.applyReportedSpan(record.id, order.span);
    } else if (this.mayOrder(server)) this.send(server, order);
  }

  private mayOrder(server: KnownServer): boolean {
    const { lease, serverAdmission } = this.dependencies;
    return lease.heldFence > 0 && serverAdmission.mayBeOrdered(server);
  }

  private async send(server: KnownServer, order: LastOrder): Promise<void> {
    const { id, address } = server.record;
    const { span, accepted } = order;
    order.isAwaitingAnswer = true;
    this.inFlight += 1;
    const answer = await this.dependencies.port.order(
      { id, address, span, ordersAccepted: accepted },
      ORDER_TIMEOUT_MS,
    );
    this.inFlight -= 1;
    order.isAwaitingAnswer = false;
    if (answer === OrderAnswer.Accepted) order.accepted += 1;
    const waitMs = answer === OrderAnswer.Conflict ? CONFLICT_RETRY_MS : RECHECK_MS;
    order.nextCheckAt = this.dependencies.clock.now() + waitMs;
    this.dependencies.decisions.record('order', {
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
