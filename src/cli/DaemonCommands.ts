/** Commands that run daemons. */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import type { z } from 'zod';
import { enableLogs, logFor } from '../adapters/logs/Log.js';
import { parseCheckedYaml } from '../adapters/yaml/CheckedYaml.js';
import { describeFaults, Failure, FailureKind } from '../core/Failure.js';
import { EntryInstance } from '../entry/EntryInstance.js';
import { BACKEND_SETTINGS, ENTRY_SETTINGS, PLATFORM_SETTINGS } from '../entry/Settings.js';
import { BackendDaemon } from '../fakes/BackendDaemon.js';
import { PlatformServer } from '../fakes/PlatformServer.js';

/**
 * Reads and checks a settings file.
 * @throws Failure that lists every fault
 * @throws the error of `readFile` if the file cannot be read
 */
export async function readSettings<S extends z.ZodType>(
  file: string,
  schema: S,
): Promise<z.output<S>> {
  const result = parseCheckedYaml(await readFile(file, 'utf8'), schema);
  if (result.isErr) {
    throw new Failure(
      FailureKind.BadSettings,
      `${file} has faults. Fix each:\n${describeFaults(result.error)}`,
    );
  }
  return result.value;
}

/** Resolves at SIGINT or SIGTERM. */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

abstract class DaemonCommand extends Command {
  public settings = Option.String('--settings', {
    required: true,
    description: 'Settings file, in YAML.',
  });

  public async execute(): Promise<number> {
    enableLogs();
    try {
      await this.run();
      return 0;
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return 1;
    }
  }

  protected abstract run(): Promise<void>;
}

export class EntryCommand extends DaemonCommand {
  public static override paths = [['entry']];

  public static override usage = Command.Usage({
    description:
      'Runs an entry instance until SIGTERM, then drains it without cutting off a request.',
    examples: [['Run an instance', 'acaciadrum entry --settings entry-1.yaml']],
  });

  protected async run(): Promise<void> {
    const entry = new EntryInstance(await readSettings(this.settings, ENTRY_SETTINGS));
    await entry.start();
    await waitForStopSignal();
    const log = logFor('entry');
    const logOpenWork = () => {
      for (const line of entry.openWork()) log(`Drain in progress; ${line}.`);
    };
    process.on('SIGTERM', logOpenWork);
    process.on('SIGINT', logOpenWork);
    await entry.stop();
    process.off('SIGTERM', logOpenWork);
    process.off('SIGINT', logOpenWork);
  }
}

export class PlatformCommand extends DaemonCommand {
  public static override paths = [['platform']];

  public static override usage = Command.Usage({
    description: 'Runs a fake platform: table service, object store and instance list, in memory.',
    examples: [['Run the fake platform', 'acaciadrum platform --settings platform.yaml']],
  });

  protected async run(): Promise<void> {
    const settings = await readSettings(this.settings, PLATFORM_SETTINGS);
    const platform = new PlatformServer();
    for (const instance of settings.instances)
      platform.memory.instances.set(instance.name, instance);
    const address = await platform.listen(settings.address);
    logFor('platform')(`The fake platform listens at ${address}.`);
    await waitForStopSignal();
    await platform.close();
  }
}

export class BackendCommand extends DaemonCommand {
  public static override paths = [['backend']];

  public static override usage = Command.Usage({
    description: 'Runs a fake backend server: a model engine and plain services.',
    examples: [['Run a fake backend server', 'acaciadrum backend --settings server-a.yaml']],
  });

  protected async run(): Promise<void> {
    const settings = await readSettings(this.settings, BACKEND_SETTINGS);
    const backend = new BackendDaemon(settings);
    const address = await backend.listen(settings.address);
    logFor('backend')(`Server ${settings.name} listens at ${address}.`);
    await waitForStopSignal();
    await backend.close();
  }
}

export class SettingsCheckCommand extends Command {
  public static override paths = [['settings', 'check']];

  public static override usage = Command.Usage({
    description: 'Shows every fault of an entry settings file, each with its line and remedy.',
    examples: [['Check a file', 'acaciadrum settings check entry-1.yaml']],
  });

  public file = Option.String();

  public async execute(): Promise<number> {
    try {
      await readSettings(this.file, ENTRY_SETTINGS);
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return 1;
    }
    this.context.stdout.write('The settings have no faults.\n');
    return 0;
  }
}
