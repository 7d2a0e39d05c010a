/** Orders backend servers to load the layer ranges that the change tickets specify. */
import type { Clock, Disposable } from '../../ports/Types.js';
import { InvariantKind, type Invariants } from '../Invariant.js';
import { LEASE_MS } from '../leases/LeaseKeeper.js';
import type { Engine, ServerOrder } from '../streams/Types.js';
import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind, type BackendServer, type LayerRange } from '../tickets/Types.js';

/** The lease under which orders are sent. */
export interface HeldLease {
  /** Fencing number of the lease; 0 while this instance does not hold it. */
  readonly heldFence: number;
  readonly remainingMs: number;
  readonly heldForMs: number;
}

export interface OrderDriverDependencies {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly configuration: Configuration;
  readonly lease: HeldLease;
  readonly failureDomain: string;
  readonly invariants: Invariants;
  readonly log: (message: string) => void;
}

/** Timeout of an order, in milliseconds. After it, the order has failed or will never be accepted. */
export const ORDER_TIMEOUT_MS = 1000;

/** Lease time that must remain beyond the order's timeout, in milliseconds. */
const SEND_MARGIN_MS = 500;

/** Time between rounds, in milliseconds. */
const ROUND_MS = 1000;

/** Loads that the weight store serves concurrently to one failure domain. */
const MAX_CONCURRENT_LOADS = 4;

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
 * A server that checks fencing numbers is safe by itself. For the others, the lease must outlast the
 * order, and a new holder first waits until no order of the previous holder can still be in flight.
 */
export function maySendOrder(
  server: Pick<BackendServer, 'checksFence'>,
  lease: HeldLease,
): boolean {
  if (lease.heldFence === 0) return false;
  if (server.checksFence) return true;
  if (lease.remainingMs < ORDER_TIMEOUT_MS + SEND_MARGIN_MS) return false;
  return lease.heldForMs >= LEASE_MS + ORDER_TIMEOUT_MS;
}

export class OrderDriver {
  private readonly inProgress = new Set<string>();

  private timer: Disposable | undefined;

  private disposed = false;

  public constructor(private readonly dependencies: OrderDriverDependencies) {}

  public start(): void {
    this.runRound();
  }

  public dispose(): void {
    this.disposed = true;
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
      if (this.inProgress.size >= MAX_CONCURRENT_LOADS) return;
      if (!this.inProgress.has(name)) this.reconcile(name, state);
    }
  }

  /** Compares the ranges that a server has loaded with its wanted ones, and orders it if they differ. */
  private async reconcile(name: string, state: BackendServer): Promise<void> {
    this.inProgress.add(name);
    try {
      const report = await this.dependencies.engine.probe(state.address, ORDER_TIMEOUT_MS);
      if (report.loaded === undefined || holdsAllRanges(report.loaded, state.layerRanges)) return;
      await this.send(name, state);
    } catch {
      this.dependencies.log(
        `Server ${name} could not be probed or ordered to load its layers; retrying in the next round.`,
      );
    } finally {
      this.inProgress.delete(name);
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
    this.dependencies.log(`Server ${name} was ordered to load ${state.layerRanges.length} ranges.`);
  }
}
