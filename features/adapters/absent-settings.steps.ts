import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { parseDocument, type Document } from 'yaml';
import type { z } from 'zod';
import { parseCheckedYaml } from '../../src/adapters/yaml/CheckedYaml.js';
import { describeFaults } from '../../src/core/Failure.js';
import { BACKEND_SETTINGS, ENTRY_SETTINGS, PLATFORM_SETTINGS } from '../../src/entry/Settings.js';

interface SettingsWorld {
  daemon: string;
  settingsDocument: Document;
}

const SECRET = 'sixteen-characters';

const DAEMONS: Readonly<Record<string, { schema: z.ZodType; text: string }>> = {
  entry: {
    schema: ENTRY_SETTINGS,
    text: `
instance: entry-1
failureDomain: almaty-1
callers: { address: 10.0.0.7:8080, maxBodyBytes: 1000 }
operators: { address: 10.0.0.7:8090, token: ${SECRET} }
peers: { address: 10.0.0.7:8100, secret: ${SECRET} }
platform: { address: 10.0.0.2:9000 }
stop: { balancerMs: 100 }
`,
  },
  platform: {
    schema: PLATFORM_SETTINGS,
    text: `
address: 127.0.0.1:9000
instances: [{ name: entry-1, address: 127.0.0.1:8100, failureDomain: almaty-1 }]
`,
  },
  backend: {
    schema: BACKEND_SETTINGS,
    text: `
name: server-a
address: 127.0.0.1:9100
layerMs: 3
stepMs: 3
checksFence: false
loadMs: 3
`,
  },
};

/** Returns the path of a dotted name; a number is an index of a list. */
function pathOf(part: string): (string | number)[] {
  return part.split('.').map((step) => (/^\d+$/.test(step) ? Number(step) : step));
}

function check(world: SettingsWorld): ReturnType<typeof parseCheckedYaml> {
  return parseCheckedYaml(world.settingsDocument.toString(), DAEMONS[world.daemon].schema);
}

Given('complete settings of {string}', function set(this: SettingsWorld, daemon: string) {
  this.daemon = daemon;
  this.settingsDocument = parseDocument(DAEMONS[daemon].text);
  assert.ok(check(this).isOk);
});

When("{string} has no value in the daemon's file", function run(this: SettingsWorld, part: string) {
  this.settingsDocument.setIn(pathOf(part), null);
});

Then(
  /^the daemon's file is valid, and "(.+)" is (.+)$/,
  function checkValue(this: SettingsWorld, part: string, expected: string) {
    const checked = check(this);
    if (checked.isErr) assert.fail(describeFaults(checked.error));
    let { value } = checked;
    for (const step of pathOf(part)) value = (value as Record<string, unknown>)[step];
    assert.deepEqual(value, JSON.parse(expected));
  },
);

Then(
  /^the daemon's file has one fault, which says "(.+)"$/,
  function checkFault(this: SettingsWorld, expected: string) {
    const checked = check(this);
    if (checked.isOk) assert.fail('the file is valid');
    assert.equal(checked.error.length, 1);
    const text = describeFaults(checked.error);
    assert.ok(text.includes(expected), text);
  },
);
