/** Reads the settings file at startup, on SIGHUP, and when polling finds it changed. */
import { readFile, stat } from 'node:fs/promises';
import { err, ok, type Result } from 'true-myth/result';
import { parseCheckedYaml } from '../adapters/yaml/CheckedYaml.js';
import { describeFaults, Failure, FailureKind } from '../core/Failure.js';
import { ROUTER_SETTINGS, type RouterSettings } from './Settings.js';

/** Poll interval in milliseconds: changes without a signal are rare. */
const POLL_MS = 5000;

/** Time for which a file that is missing or invalid is read again at a start, in milliseconds. */
const START_LIMIT_MS = 5000;

/** Delay before such a file is read again, in milliseconds. */
const START_RETRY_MS = 100;

/** Receives the settings of a changed file, or the reason why it cannot be used. */
export type SettingsListener = (settings: Result<RouterSettings, Failure>) => void;

/**
 * Reads and validates a settings file.
 * @returns the settings, or a `BadSettings` failure that lists all faults; rejects if the file cannot be read
 */
export async function readSettings(file: string): Promise<Result<RouterSettings, Failure>> {
  const checked = parseCheckedYaml(await readFile(file, 'utf8'), ROUTER_SETTINGS);
  if (checked.isOk) return ok(checked.value);
  return err(
    new Failure(
      FailureKind.BadSettings,
      `${file} is invalid. Fix each fault:\n${describeFaults(checked.error)}`,
    ),
  );
}

/** Reads settings; a file that cannot be read is a `BadSettings` failure as well. */
async function tryReadSettings(file: string): Promise<Result<RouterSettings, Failure>> {
  try {
    return await readSettings(file);
  } catch (error) {
    const message = `${file} cannot be read: ${(error as Error).message}. Restore it.`;
    return err(new Failure(FailureKind.BadSettings, message));
  }
}

/**
 * Reads the settings of a start. The file may be written just now, so one that is missing or invalid is read again.
 * @returns the settings, or the last failure after `START_LIMIT_MS`
 */
export async function awaitSettings(file: string): Promise<Result<RouterSettings, Failure>> {
  const endsAt = performance.now() + START_LIMIT_MS;
  for (;;) {
    const loaded = await tryReadSettings(file);
    if (loaded.isOk || performance.now() >= endsAt) return loaded;
    await new Promise((resolve) => {
      setTimeout(resolve, START_RETRY_MS);
    });
  }
}

export class SettingsFile {
  private modifiedAt = 0;

  private readonly timer: NodeJS.Timeout;

  /**
   * @param listener - called after each change or reload; after a failure, the previous settings stay in
   * effect
   */
  public constructor(
    private readonly file: string,
    private readonly listener: SettingsListener,
  ) {
    this.timer = setInterval(() => this.checkForChange(), POLL_MS).unref();
    this.checkForChange(true);
  }

  public dispose(): void {
    clearInterval(this.timer);
  }

  /** Reads the file again, whether or not it has changed. */
  public async reload(): Promise<void> {
    this.listener(await tryReadSettings(this.file));
  }

  private async checkForChange(isFirst = false): Promise<void> {
    try {
      const { mtimeMs } = await stat(this.file);
      const hasChanged = !isFirst && mtimeMs !== this.modifiedAt;
      this.modifiedAt = mtimeMs;
      if (hasChanged) await this.reload();
    } catch {
      // A file that is being replaced is missing for a moment; reload reports one that stays missing.
      if (!isFirst && this.modifiedAt !== 0) {
        this.modifiedAt = 0;
        await this.reload();
      }
    }
  }
}
