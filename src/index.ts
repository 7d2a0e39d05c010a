/** Public API for programs that embed an entry instance. */
import { describeFaults, Failure, FailureKind } from './core/Failure.js';
import { EntryInstance, type EntryAddresses } from './entry/EntryInstance.js';
import { ENTRY_SETTINGS } from './entry/Settings.js';
import { parseCheckedYaml } from './adapters/yaml/CheckedYaml.js';

export { Outcome, RefusalReason } from './core/Outcome.js';
export { Failure, FailureKind } from './core/Failure.js';
export type { EntryAddresses } from './entry/EntryInstance.js';

/** A running entry instance. */
export interface Entry {
  /** Addresses of its listeners. */
  readonly addresses: EntryAddresses;
  /** Whether its configuration is confirmed, so that it can serve requests; remains true while it stops. */
  isReady(): boolean;
  /** Returns the number of requests in progress and of unsettled claims, one line per kind. */
  openWork(): string[];
  /** Drains the instance without interrupting a request, then closes it. */
  stop(): Promise<void>;
}

/**
 * Starts an entry instance.
 * @param settings - settings in YAML, as described in docs/SETTINGS.md
 * @returns the instance once its listeners are open
 * @throws Failure of kind `BadSettings` that lists every fault; also rejects if an address cannot be bound
 */
export async function startEntry(settings: string): Promise<Entry> {
  const checked = parseCheckedYaml(settings, ENTRY_SETTINGS);
  if (checked.isErr) {
    const faults = describeFaults(checked.error);
    throw new Failure(
      FailureKind.BadSettings,
      `The settings are invalid. Fix each fault:\n${faults}`,
    );
  }
  const instance = new EntryInstance(checked.value);
  const addresses = await instance.start();
  return {
    addresses,
    isReady: () => instance.core.ticketFollower.isReady,
    openWork: () => instance.openWork(),
    stop: () => instance.stop(),
  };
}
