/** Holds the newest deployment that this process has heard of; it never goes back. */
import { Emitter } from '../Emitter.js';
import { RouteTable } from './RouteTable.js';
import type { Deployment } from './Types.js';

export class Deployments {
  private table: RouteTable | undefined;

  private readonly changes = new Emitter<RouteTable>();

  /** Fires after a newer deployment came in force here. */
  public readonly onChange = this.changes.event;

  /** Undefined until the first deployment is known. */
  public get current(): RouteTable | undefined {
    return this.table;
  }

  /** Number of the ticket in force here; 0 before the first. */
  public get ticket(): number {
    return this.table?.deployment.ticket ?? 0;
  }

  /** Brings a deployment in force. @returns false when one as new is in force already */
  public applyIfNewer(deployment: Deployment): boolean {
    if (deployment.ticket <= this.ticket) return false;
    this.table = new RouteTable(deployment);
    this.changes.fire(this.table);
    return true;
  }
}
