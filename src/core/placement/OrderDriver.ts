/**
 * Orders backend servers to load the layer ranges that the change tickets specify. Used by entry
 * instances; router instances use `PlacementDriver`, which orders the layers that the planner assigns.
 */
import PQueue from 'p-queue';
import type { Clock, Disposable } from '../../ports/Types.js';
import { InvariantKind, type Invariants } from '../Invariant.js';
import { LEASE_MS } from '../leases/LeaseKeeper.js';
import type { Engine, ServerOrder } from '../streams/Types.js';
import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind, type BackendServer, type LayerRange } from '../tickets/Types.js';

/** State of the lease under which orders are sent. */
export interface LeaseState {
  /** Fencing number of the lease; 0 while this instance does not hold it. */
  readonly heldFence: number;
  /** Time for which the lease is guaranteed to be held, in milliseconds; not positive if it is not. */
  readonly remainingMs: number;
  /** Time since this instance last acquired the lease, in milliseconds; infinite if it never did. */
  readonly heldForMs: number;
}

export interface OrderDriverDependencies {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly configuration: Configuration;
  readonly lease: LeaseState;
  readonly failureDomain: string;
  readonly invariants: Invariants;
  readonly log: (message: string) => void;
}

/** Timeout of an order, in milliseconds. `maySendOrder` assumes that no server accepts an order later. */
export const ORDER_TIMEOUT_MS = 1000;

/** Lease time that must remain beyond the order's timeout, in milliseconds. */
const SEND_MARGIN_MS = 500;

/** Time between rounds, in milliseconds. */
const ROUND_MS = 1000;

/**
 * Maximum number of servers that are probed or ordered at the same time: the weight store serves this
 * many loads concurrently to one failure domain. Loads whose orders were accepted are not counted.
 */
const MAX_SERVERS_IN_PROGRESS = 4;

/** Whether `loaded` covers all of `wanted`. */
export function holdsAllRanges(
  loaded: readonly LayerRange[],
  wanted: readonly LayerRange[],
): boolean {
  for (const range of wanted) {
    const held = loaded.some(
      (item) => item.pipeline === range.pipeline && item.from <= range.from && range.to <= item.to,
    );
    if (!held) return false;
  }
  return true;
}

/**
 * Whether an order may be sent now.
 * A server that checks fencing numbers rejects orders of an earlier lease holder by itself. For the
 * others, the lease must outlast the order, and a new holder first waits until no order of the previous
 * holder can still be in flight.
 */
export function maySendOrder(
  server: Pick<BackendServer, 'checksFence'>,
  lease: LeaseState,
): boolean {
  if (lease.heldFence === 0) return false;
  if (server.checksFence) return true;
  if (lease.remainingMs < ORDER_TIMEOUT_MS + SEND_MARGIN_MS) return false;
  return lease.heldForMs >= LEASE_MS + ORDER_TIMEOUT_MS;
}

export class OrderDriver {
  /** Servers that are probed or ordered, or wait for it. */
  private readonly queued = new Set<string>();

  private readonly queue = new PQueue({ concurrency: MAX_SERVERS_IN_PROGRESS });

  private timer: Disposable | undefined;

  private disposed = false;

  public constructor(private readonly dependencies: OrderDriverDependencies) {}

  public start(): void {
    this.runRound();
  }

  public dispose(): void {
    this.disposed = true;
    this.queue.clear();
    this.timer?.dispose();
  }

  private runRound(): void {
    if (this.disposed) return;
    if (this.dependencies.lease.heldFence > 0) this.reconcileAll();
    this.timer = this.dependencies.clock.schedule(ROUND_MS, () => this.runRound());
  }

  private reconcileAll(): void {
    for (const { name, state } of this.dependencies.configuration.list(ObjectKind.BackendServer)) {
      if (state.failureDomain !== this.dependencies.failureDomain || state.layerRanges.length === 0)
        continue;
      if (this.queued.has(name)) continue;
      this.queued.add(name);
      this.queue.add(() => this.reconcile(name));
    }
  }

  /** Probes a server, and sends it an order if it has not loaded all of its wanted ranges. */
  private async reconcile(name: string): Promise<void> {
    try {
      const state = this.dependencies.configuration.state(ObjectKind.BackendServer, name);
      if (state === undefined || this.disposed) return;
      const report = await this.dependencies.engine.probe(state.address, ORDER_TIMEOUT_MS);
      if (report.loaded === undefined || holdsAllRanges(report.loaded, state.layerRanges)) return;
      await this.send(name, state);
    } catch {
      this.dependencies.log(
        `Server ${name} could not be probed or ordered to load its layers; retrying in the next round.`,
      );
    } finally {
      this.queued.delete(name);
    }
  }

  private async send(name: string, state: BackendServer): Promise<void> {
    if (!maySendOrder(state, this.dependencies.lease)) return;
    const { heldFence: fence, remainingMs } = this.dependencies.lease;
    this.dependencies.invariants.check(
      InvariantKind.FenceOrder,
      state.checksFence || remainingMs >= ORDER_TIMEOUT_MS,
      () => `an order to ${name} could outlive the lease`,
    );
    const order: ServerOrder = { fence, ranges: state.layerRanges };
    await this.dependencies.engine.order(state.address, order, ORDER_TIMEOUT_MS);
    this.dependencies.log(
      `Server ${name} was ordered to load ${state.layerRanges.length} layer ranges.`,
    );
  }
}
