/**
 * Registers this instance's address in the store and reads the addresses of the other instances. After the store
 * has come back from an older copy, the hub of each failure domain writes the rows that the copy lacks, so that
 * the number of calls does not grow with the number of instances.
 */
import { z } from 'zod';
import type { ChangeFeed } from '../../ports/ChangeFeed.js';
import type { Clock, Disposable, TableService } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { PeerIdentity } from './Types.js';

const PEER_SCHEMA = z.object({
  instance: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  incarnation: z.number().default(0),
  capacity: z.number().default(0),
});

/**
 * Decodes a row of the instances table.
 * @returns undefined when the value is not a valid instance row
 */
export function decodePeerIdentity(value: unknown): PeerIdentity | undefined {
  const parsed = PEER_SCHEMA.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

export interface InstanceRegistrationDependencies {
  readonly clock: Clock;
  readonly table: TableService;
  readonly instances: ChangeFeed<PeerIdentity>;
  readonly self: PeerIdentity;
  readonly addPeer: (identity: PeerIdentity) => void;
  /** Returns the instances whose rows this instance writes anew: those of its failure domain if it is the hub. */
  readonly entrusted: () => readonly PeerIdentity[];
  readonly decisions: DecisionLog;
}

/** Maximum number of rows that one transaction of the store writes. */
const MAX_ROWS_PER_WRITE = 100;

/** Delay between attempts while the store does not answer, in milliseconds. */
const RETRY_DELAY_MS = 1500;

export class InstanceRegistration {
  private timer: Disposable | undefined;

  private disposed = false;

  public constructor(private readonly dependencies: InstanceRegistrationDependencies) {}

  public start(): void {
    this.register();
  }

  public dispose(): void {
    this.disposed = true;
    this.timer?.dispose();
  }

  /** Writes the rows that are absent or older than known here, after the store has come back from a copy. */
  public async rewrite(): Promise<void> {
    const { table, instances, entrusted, clock, decisions } = this.dependencies;
    if (entrusted().length === 0) return;
    try {
      const { entries } = await instances.readAll();
      const stored = new Map(entries.map(({ key, value }) => [key, value?.incarnation ?? -1]));
      const missing = entrusted().filter(
        ({ instance, incarnation }) => incarnation > (stored.get(instance) ?? -1),
      );
      const writes = missing
        .slice(0, MAX_ROWS_PER_WRITE)
        .map((identity) => ({ key: `instances/${identity.instance}`, value: identity }));
      if (writes.length > 0) await table.transact({ conditions: [], writes });
      decisions.record('roster', { outcome: 'written anew', rows: writes.length });
      if (missing.length > writes.length && !this.disposed) await this.rewrite();
    } catch (error) {
      decisions.record('roster', { outcome: 'tried again', error: (error as Error).message });
      if (!this.disposed) this.timer = clock.schedule(RETRY_DELAY_MS, () => this.rewrite());
    }
  }

  private async register(): Promise<void> {
    const { table, instances, self, addPeer, clock, decisions } = this.dependencies;
    try {
      await table.transact({
        conditions: [],
        writes: [{ key: `instances/${self.instance}`, value: self }],
      });
      const { entries } = await instances.readAll();
      for (const { value } of entries) if (value !== undefined) addPeer(value);
    } catch (error) {
      decisions.record('roster', { outcome: 'tried again', error: (error as Error).message });
      if (!this.disposed) this.timer = clock.schedule(RETRY_DELAY_MS, () => this.register());
    }
  }
}
