#!/usr/bin/env node
/** The router daemon: reads its settings, serves until SIGTERM, then stops without cutting a request. */
import { readFile } from 'node:fs/promises';
import { StructuredLog } from '../adapters/logs/StructuredLog.js';
import { readChecked } from '../adapters/yaml/CheckedYaml.js';
import { describeFaults, Failure, FailureKind } from '../core/Failure.js';
import { RouterInstance } from './RouterInstance.js';
import { ROUTER_SETTINGS, type RouterSettings } from './Settings.js';

/** Variable that names the settings file. */
const SETTINGS_VARIABLE = 'ACACIADRUM_CONFIG';

async function readSettings(): Promise<RouterSettings> {
  const file = process.env[SETTINGS_VARIABLE];
  if (file === undefined) {
    throw new Failure(FailureKind.BadSettings, `Set ${SETTINGS_VARIABLE} to the settings file.`);
  }
  const result = readChecked(await readFile(file, 'utf8'), ROUTER_SETTINGS);
  if (result.isOk) return result.value;
  throw new Failure(
    FailureKind.BadSettings,
    `${file} has faults. Mend each:\n${describeFaults(result.error)}`,
  );
}

const settings = await readSettings();
const log = new StructuredLog(settings.instance);
const router = new RouterInstance(settings, log);
await router.start();
process.once('SIGTERM', async () => {
  await router.stop();
  log.dispose();
  process.exit(0);
});
