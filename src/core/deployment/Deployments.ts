/** Holds the newest deployment that this process has received. An older one never replaces it. */
import { Emitter } from '../Emitter.js';
import {
  completeUpdate,
  shareUnchanged,
  updateBetween,
  type DeploymentUpdate,
} from './DeploymentUpdate.js';
import { RouteTable } from './RouteTable.js';
import type { Deployment } from './Types.js';

/** Number of earlier deployments that updates can build on; a peer that is further behind gets everything. */
const MAX_HISTORY = 16;

export class Deployments {
  private table: RouteTable | undefined;

  /** Earlier deployments by ticket, oldest first. */
  private readonly history = new Map<number, Deployment>();

  /** Updates to the current deployment, by the ticket that they build on. */
  private readonly updates = new Map<number, DeploymentUpdate>();

  private readonly changes = new Emitter<RouteTable>();

  /** Fires after a newer deployment takes effect in this process. */
  public readonly onChange = this.changes.event;

  /** Lookup table of the deployment in effect; undefined until the first one arrives. */
  public get currentTable(): RouteTable | undefined {
    return this.table;
  }

  /** Number of the change ticket in effect; 0 before the first deployment. */
  public get ticket(): number {
    return this.table?.deployment.ticket ?? 0;
  }

  /**
   * Puts a deployment into effect unless the current one is at least as new.
   * @returns whether the deployment took effect
   */
  public applyIfNewer(deployment: Deployment): boolean {
    if (deployment.ticket <= this.ticket) return false;
    const previous = this.table?.deployment;
    if (previous !== undefined) this.addToHistory(previous);
    this.updates.clear();
    this.table = new RouteTable(
      previous === undefined ? deployment : shareUnchanged(previous, deployment),
    );
    this.changes.fire(this.table);
    return true;
  }

  /**
   * Returns the update from an earlier deployment to the current one; a complete one if the earlier one is
   * no longer known, undefined before the first deployment. The same object is returned until the next
   * deployment takes effect.
   * @param ticket - ticket of the earlier deployment; 0 for none
   */
  public updateSince(ticket: number): DeploymentUpdate | undefined {
    const current = this.table?.deployment;
    if (current === undefined) return undefined;
    const before = this.history.get(ticket);
    const base = before?.ticket ?? 0;
    let update = this.updates.get(base);
    if (update === undefined) {
      update = before === undefined ? completeUpdate(current) : updateBetween(before, current);
      this.updates.set(base, update);
    }
    return update;
  }

  private addToHistory(deployment: Deployment): void {
    this.history.set(deployment.ticket, deployment);
    for (const ticket of this.history.keys()) {
      if (this.history.size <= MAX_HISTORY) return;
      this.history.delete(ticket);
    }
  }
}
