import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Given, Then, When } from '@cucumber/cucumber';
import { VirtualClock } from '../../src/fakes/VirtualClock.js';
import { connectionBudgets, Listener } from '../../src/router/ConnectionBudgets.js';
import { hubCapacity, messageBytes } from '../../src/router/MachineLimits.js';
import { readSettings } from '../../src/router/SettingsFile.js';
import type { RouterSettings } from '../../src/router/Settings.js';
import { renderSettings, type PlatformFields } from './SettingsTemplate.js';

interface LimitsWorld {
  /** Text of the settings file. */
  filledIn: string;
}

const COMPLETE_FIELDS: PlatformFields = {
  node_name: 'edge-1',
  zone: 'zone-a',
  ip: '10.0.0.7',
  seeds: ['10.0.0.7:8229', '10.0.0.8:8229'],
  bootstrap: true,
  listen: {
    frontend: '10.0.0.7:8227',
    readiness: '10.0.0.7:8220',
    control_plane: '10.0.0.7:8229',
  },
  limits: { cpu_fraction: 0.675, cores: 2, memory_mb: 350, max_fds: 4200, link_mbps: 1000 },
  bounds: { drain_ms: 2000, grace_s: 8, retry_ratio: 0.2, retry_slack: 196, retry_window_s: 10 },
  platform: { address: '10.0.0.2:8223' },
};

/** Word of the table for a machine that states everything. */
const NOTHING_ABSENT = 'none of them';

/** Returns the fields without one, which is named by itself, by its table, or as a limit. */
function without(fields: PlatformFields, name: string): PlatformFields {
  const dotted = name.includes('.') || name in fields ? name : `limits.${name}`;
  const [first = '', second] = dotted.split('.');
  const { [first]: table, ...others } = fields;
  assert.notEqual(table, undefined, `there is no ${dotted}`);
  if (second === undefined) return others;
  const { [second]: value, ...rest } = table as PlatformFields;
  assert.notEqual(value, undefined, `there is no ${dotted}`);
  return { ...others, [first]: rest };
}

const FORMS: Readonly<Record<string, (text: string) => string>> = {
  null: (text) => text,
  'left out': (text) => text.replaceAll(/^ *\w+: null\n/gm, ''),
};

async function read(text: string): ReturnType<typeof readSettings> {
  const file = path.join(mkdtempSync(path.join(tmpdir(), 'limits-')), 'settings.yaml');
  writeFileSync(file, text);
  return readSettings(file);
}

async function readValid(text: string): Promise<RouterSettings> {
  const settings = await read(text);
  if (settings.isErr) assert.fail(settings.error.message);
  return settings.value;
}

/** Returns the faults of an invalid file, one line each. */
async function faultLines(text: string): Promise<string[]> {
  const settings = await read(text);
  if (settings.isOk) assert.fail('the file is valid');
  return settings.error.message.split('\n').slice(1);
}

Given(
  'a settings template filled in for a machine without {string}',
  function set(this: LimitsWorld, absent: string) {
    let fields = COMPLETE_FIELDS;
    const names = absent === NOTHING_ABSENT ? [] : absent.split(', ');
    for (const name of names) fields = without(fields, name);
    this.filledIn = renderSettings(fields);
  },
);

When(
  /^fields without a value are (null|left out) in the router's file$/,
  function run(this: LimitsWorld, form: string) {
    this.filledIn = FORMS[form](this.filledIn);
  },
);

Then(
  "the file is valid, with {int} MB for messages, {int} callers' connections and a hub capacity of {float}",
  async function check(this: LimitsWorld, megabytes: number, connections: number, hub: number) {
    const { machine } = await readValid(this.filledIn);
    assert.equal(messageBytes(machine) / 1e6, megabytes);
    const budgets = connectionBudgets(new VirtualClock(), machine);
    assert.equal(budgets[Listener.Callers].limit, connections);
    assert.equal(hubCapacity(machine), hub);
  },
);

Then(
  "the router's file is valid, with no peers to ask, and it does not start for the first time",
  async function check(this: LimitsWorld) {
    const { peers, isFirstStart } = await readValid(this.filledIn);
    assert.deepEqual(peers.seeds, []);
    assert.equal(isFirstStart, false);
  },
);

Then(
  'the file has one fault, at line {int}, which says that {string} is not stated and where to state it',
  async function check(this: LimitsWorld, line: number, field: string) {
    const expected = `line ${line}: ${field}: is not stated. State it: docs/SETTINGS.md says what it is.`;
    assert.deepEqual(await faultLines(this.filledIn), [expected]);
  },
);

Then(
  'the file has one fault, and it names {string}',
  async function check(this: LimitsWorld, field: string) {
    const lines = await faultLines(this.filledIn);
    assert.equal(lines.length, 1);
    assert.ok(lines[0].includes(field), lines[0]);
  },
);
