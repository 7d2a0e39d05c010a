/** Reads the settings file at the start, at SIGHUP, and when it changes without a signal. */
import { readFile, stat } from 'node:fs/promises';
import { err, ok, type Result } from 'true-myth/result';
import { readChecked } from '../adapters/yaml/CheckedYaml.js';
import { describeFaults, Failure, FailureKind } from '../core/Failure.js';
import { ROUTER_SETTINGS, type RouterSettings } from './Settings.js';

/** Time between looks at the file, in milliseconds: changes without a signal are rare. */
const POLL_MS = 5000;

/** Takes in a changed file, or why it cannot be used. */
export type SettingsListener = (settings: Result<RouterSettings, Failure>) => void;

/** Reads and checks a settings file. */
export async function readSettings(file: string): Promise<Result<RouterSettings, Failure>> {
  const checked = readChecked(await readFile(file, 'utf8'), ROUTER_SETTINGS);
  if (checked.isOk) return ok(checked.value);
  return err(
    new Failure(
      FailureKind.BadSettings,
      `${file} has faults. Mend each:\n${describeFaults(checked.error)}`,
    ),
  );
}

export class SettingsFile {
  private modifiedAt = 0;

  private readonly timer: NodeJS.Timeout;

  /** @param listener - called after each change; faults leave the settings before in force */
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

  /** Reads the file again, changed or not. */
  public async reload(): Promise<void> {
    try {
      this.listener(await readSettings(this.file));
    } catch (error) {
      const message = `${this.file} cannot be read: ${(error as Error).message}. Restore it.`;
      this.listener(err(new Failure(FailureKind.BadSettings, message)));
    }
  }

  private async checkForChange(isFirst = false): Promise<void> {
    try {
      const { mtimeMs } = await stat(this.file);
      const hasChanged = !isFirst && mtimeMs !== this.modifiedAt;
      this.modifiedAt = mtimeMs;
      if (hasChanged) await this.reload();
    } catch {
      // A file that is being replaced is absent for a moment; reload reports one that stays away.
      if (!isFirst && this.modifiedAt !== 0) {
        this.modifiedAt = 0;
        await this.reload();
      }
    }
  }
}
