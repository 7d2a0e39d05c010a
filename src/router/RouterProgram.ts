/** The router daemon: reads its settings, serves until SIGTERM, then stops gracefully. */
import { StructuredLog } from '../adapters/logs/StructuredLog.js';
import type { Signals } from '../adapters/Signals.js';
import { FailureRate } from '../core/limits/FailureRate.js';
import { RouterInstance } from './RouterInstance.js';
import { awaitSettings, SettingsFile } from './SettingsFile.js';
import type { RouterSettings } from './Settings.js';

/** Environment variable with the path of the settings file. */
const SETTINGS_VARIABLE = 'ACACIADRUM_CONFIG';

/** Writes why the process cannot start, as one line in the format of the log, and ends it. */
function endStart(error: Error): never {
  process.stderr.write(`${JSON.stringify({ msg: 'start-failed', error: error.message })}\n`);
  process.exit(1);
}

async function loadSettings(): Promise<{ file: string; settings: RouterSettings }> {
  const file = process.env[SETTINGS_VARIABLE];
  if (file === undefined)
    endStart(
      new Error(`${SETTINGS_VARIABLE} is not set. Set it to the path of the settings file.`),
    );
  const loaded = await awaitSettings(file);
  if (loaded.isErr) endStart(loaded.error);
  return { file, settings: loaded.value };
}

/** Restarts the process when unexpected errors outside of requests come too often. */
function watchErrors(log: StructuredLog): void {
  const failures = new FailureRate();
  process.on('uncaughtException', (error) => {
    const ends = failures.record(performance.now());
    log.record(ends ? 'crash' : 'unexpected-error', { error: error.message, stack: error.stack });
    if (!ends) return;
    log.dispose();
    process.exit(1);
  });
}

/**
 * Runs the daemon until it is told to stop.
 * @param signals - SIGHUP reads the settings again; the first SIGTERM stops gracefully, further ones change nothing
 */
export async function runRouter(signals: Signals): Promise<void> {
  let isStopping = false;
  let stop = async (): Promise<void> => {};
  signals.handle('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    stop().then(
      () => process.exit(0),
      (error: Error) => {
        process.stderr.write(`${JSON.stringify({ msg: 'stop-failed', error: error.message })}\n`);
        process.exit(1);
      },
    );
  });
  const { file, settings } = await loadSettings();
  const log = new StructuredLog(settings.instance);
  watchErrors(log);
  log.record('limits', settings.machine);
  const router = new RouterInstance(settings, log);
  const settingsFile = new SettingsFile(file, (result) => {
    if (result.isErr) log.record('reload', { outcome: 'kept', error: result.error.message });
    else router.reload(result.value);
  });
  stop = async () => {
    settingsFile.dispose();
    await router.stop();
    log.dispose();
  };
  signals.handle('SIGHUP', () => {
    settingsFile.reload();
  });
  try {
    await router.start();
  } catch (error) {
    log.record('start-failed', { error: (error as Error).message });
    log.dispose();
    endStart(error as Error);
  }
}
