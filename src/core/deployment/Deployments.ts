/** Holds the newest deployment that this process has received. An older one never replaces it. */
import { Emitter } from '../Emitter.js';
import { RouteTable } from './RouteTable.js';
import type { Deployment } from './Types.js';

export class Deployments {
  private table: RouteTable | undefined;

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
    this.table = new RouteTable(deployment);
    this.changes.fire(this.table);
    return true;
  }
}
