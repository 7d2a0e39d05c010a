#!/usr/bin/env node
/** The router daemon: reads its settings, serves until SIGTERM, then stops gracefully. */
import { StructuredLog } from '../adapters/logs/StructuredLog.js';
import { Failure, FailureKind } from '../core/Failure.js';
import { FailureRate } from '../core/limits/FailureRate.js';
import { RouterInstance } from './RouterInstance.js';
import { readSettings, SettingsFile } from './SettingsFile.js';

/** Environment variable with the path of the settings file. */
const SETTINGS_VARIABLE = 'ACACIADRUM_CONFIG';

const file = process.env[SETTINGS_VARIABLE];
if (file === undefined) {
  throw new Failure(
    FailureKind.BadSettings,
    `${SETTINGS_VARIABLE} is not set. Set it to the path of the settings file.`,
  );
}
const initial = await readSettings(file);
if (initial.isErr) throw initial.error;
const log = new StructuredLog(initial.value.instance);
const router = new RouterInstance(initial.value, log);

const settingsFile = new SettingsFile(file, (result) => {
  if (result.isErr) log.record('reload', { outcome: 'kept', error: result.error.message });
  else router.reload(result.value);
});

process.on('SIGHUP', () => settingsFile.reload());
process.once('SIGTERM', async () => {
  settingsFile.dispose();
  await router.stop();
  log.dispose();
  process.exit(0);
});
const failures = new FailureRate();
let hasStarted = false;
process.on('uncaughtException', (error) => {
  const ends = !hasStarted || failures.record(performance.now());
  log.record(ends ? 'crash' : 'unexpected-error', { error: error.message, stack: error.stack });
  if (!ends) return;
  log.dispose();
  process.exit(1);
});

await router.start();
hasStarted = true;
