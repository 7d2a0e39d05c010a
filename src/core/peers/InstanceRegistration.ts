/** Registers this instance's address in the store and reads the addresses of the other instances. */
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
  readonly decisions: DecisionLog;
}

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
