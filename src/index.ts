/** The public API: what a program that embeds an entry instance needs, and no more. */
import { describeFaults, Failure, FailureKind } from './core/Failure.js';
import { EntryInstance, type EntryAddresses } from './entry/EntryInstance.js';
import { ENTRY_SETTINGS } from './entry/Settings.js';
import { parseCheckedYaml } from './adapters/yaml/CheckedYaml.js';

export { Outcome, RefusalReason } from './core/Outcome.js';
export { Failure, FailureKind } from './core/Failure.js';
export type { EntryAddresses } from './entry/EntryInstance.js';

/** A running entry instance. */
export interface Entry {
  /** Where its listeners are. */
  readonly addresses: EntryAddresses;
  /** Whether the balancer may send to it. */
  isReady(): boolean;
  /** What is still open, one line each. */
  openWork(): string[];
  /** Stops without cutting a request. */
  stop(): Promise<void>;
}

/**
 * Starts an entry instance.
 * @param settings - YAML as docs/SETTINGS.md describes it
 * @returns the instance once its listeners are open
 * @throws Failure of kind `BadSettings` that lists every fault
 */
export async function startEntry(settings: string): Promise<Entry> {
  const checked = parseCheckedYaml(settings, ENTRY_SETTINGS);
  if (checked.isErr) {
    const faults = describeFaults(checked.error);
    throw new Failure(FailureKind.BadSettings, `The settings have faults. Mend each:\n${faults}`);
  }
  const instance = new EntryInstance(checked.value);
  const addresses = await instance.start();
  return {
    addresses,
    isReady: () => instance.core.ticketFeed.isReady,
    openWork: () => instance.openWork(),
    stop: () => instance.stop(),
  };
}
