import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { RouterProcess } from '../soak/RouterProcess.js';
import { AnswerStyle, FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, type ReceivedStatus } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface ProcessWorld {
  processStore: FakeStore;
  processServers: FakeBackendServer[];
  routerProcess: RouterProcess;
  otherProgram: Server | undefined;
  startedAt: number;
  handledAfterMs: number;
  readyAfterMs: number;
  exitCode: Promise<number | null | undefined>;
  runningAnswer: Promise<ReceivedStatus>;
}

const SIGHUP_NUMBER = 1;

const STEP_LIMIT_MS = 30_000;

const STREAM_HEADERS = { 'x-token-count': '800,24', 'x-deadline-ms': '8000' };

const EXIT_LIMIT_MS = 12_000;

Given(
  'a store with a configuration, a server of a plain service, and the settings of a router process',
  async function set(this: ProcessWorld) {
    this.processStore = new FakeStore();
    const storeAddress = await this.processStore.listen();
    this.processStore.put('op', 'config', configuration(1));
    this.processServers = [
      new FakeBackendServer('plain-1', 'plain', 'a', '', this.processStore),
      new FakeBackendServer('engine-1', 'engine', 'a', 'whole', this.processStore),
    ];
    for (const server of this.processServers) await server.listen();
    const folder = mkdtempSync(path.join(tmpdir(), 'process-'));
    this.routerProcess = new RouterProcess('router-1', 'a', folder);
    await this.routerProcess.configure(storeAddress, []);
  },
);

function start(world: ProcessWorld): void {
  world.startedAt = performance.now();
  world.routerProcess.start();
  world.exitCode = world.routerProcess.waitForExit(EXIT_LIMIT_MS);
}

async function waitUntilReady(world: ProcessWorld, seconds: number): Promise<void> {
  const { routerProcess } = world;
  for (;;) {
    assert.ok(routerProcess.isRunning, 'the process has ended');
    const { callersAddress } = routerProcess;
    const { status } = await sendRequest(callersAddress, 'ready', '/read/', {});
    if (status === 200) break;
    assert.ok(performance.now() - world.startedAt < seconds * 1000, 'the process is not ready');
    await pause(20);
  }
  world.readyAfterMs = performance.now() - world.startedAt;
}

When(
  'the process starts, and gets SIGHUP every {int} ms from the moment at which it handles it',
  { timeout: STEP_LIMIT_MS },
  async function run(this: ProcessWorld, ms: number) {
    start(this);
    while (!this.routerProcess.handlesSignal(SIGHUP_NUMBER)) await pause(1);
    this.handledAfterMs = performance.now() - this.startedAt;
    const timer = setInterval(() => this.routerProcess.signal('SIGHUP'), ms);
    await waitUntilReady(this, STEP_LIMIT_MS / 1000).finally(() => clearInterval(timer));
  },
);

When(
  'another program holds the address of {string} for {int} ms, and the process starts',
  async function run(this: ProcessWorld, listener: string, ms: number) {
    const program = createServer((socket) => socket.destroy());
    this.otherProgram = program;
    await new Promise<void>((resolve) => {
      program.listen(hostAndPort(this.routerProcess.listeners[listener]), resolve);
    });
    setTimeout(() => program.close(), ms).unref();
    start(this);
  },
);

const FILE_STATES: Readonly<Record<string, (file: string, text: string) => void>> = {
  empty: (file) => writeFileSync(file, ''),
  'half written': (file, text) => writeFileSync(file, text.slice(0, text.length / 2)),
  missing: (file) => renameSync(file, `${file}.away`),
};

When(
  'the settings file is {string} for {int} ms, and the process starts',
  function run(this: ProcessWorld, state: string, ms: number) {
    const file = this.routerProcess.settingsFile;
    const text = readFileSync(file, 'utf8');
    FILE_STATES[state](file, text);
    setTimeout(() => writeFileSync(file, text), ms).unref();
    start(this);
  },
);

Given(
  'the process serves streams',
  { timeout: STEP_LIMIT_MS },
  async function set(this: ProcessWorld) {
    start(this);
    await waitUntilReady(this, STEP_LIMIT_MS / 1000);
    const { callersAddress } = this.routerProcess;
    for (;;) {
      const { status } = await sendRequest(callersAddress, 'warm', '/stream/', STREAM_HEADERS);
      if (status === 200) return;
      assert.ok(performance.now() - this.startedAt < STEP_LIMIT_MS, 'no stream was served');
      await pause(100);
    }
  },
);

Then(
  'the process is ready within {int} seconds',
  { timeout: STEP_LIMIT_MS },
  async function check(this: ProcessWorld, seconds: number) {
    await waitUntilReady(this, seconds);
  },
);

Then(
  'it handled SIGHUP before half of the time until then had passed',
  function check(this: ProcessWorld) {
    assert.ok(
      this.handledAfterMs < this.readyAfterMs / 2,
      `handled after ${this.handledAfterMs} ms, ready after ${this.readyAfterMs} ms`,
    );
  },
);

Then('it has read its settings again', async function check(this: ProcessWorld) {
  // The log is written every 200 ms.
  await pause(500);
  assert.match(readFileSync(this.routerProcess.logFile, 'utf8'), /"outcome":"in force"/);
});

Then(
  'the process ends with code {int} and one line of error output that names the file',
  { timeout: STEP_LIMIT_MS },
  async function check(this: ProcessWorld, code: number) {
    assert.equal(await this.exitCode, code);
    await pause(100);
    const lines = readFileSync(this.routerProcess.logFile, 'utf8').trim().split('\n');
    assert.equal(lines.length, 1);
    const { msg, error } = JSON.parse(lines[0]) as { msg: string; error: string };
    assert.equal(msg, 'start-failed');
    assert.ok(error.includes(this.routerProcess.settingsFile), error);
  },
);

When(
  'it gets SIGTERM twice within {int} ms while a stream is running',
  { timeout: STEP_LIMIT_MS },
  async function run(this: ProcessWorld, ms: number) {
    for (const server of this.processServers) server.style = AnswerStyle.Slow;
    const { routerProcess } = this;
    this.runningAnswer = sendRequest(
      routerProcess.callersAddress,
      'slow',
      '/stream/',
      STREAM_HEADERS,
    );
    await pause(ms);
    this.exitCode = routerProcess.waitForExit(EXIT_LIMIT_MS);
    routerProcess.signal('SIGTERM');
    await pause(ms);
    routerProcess.signal('SIGTERM');
  },
);

Then(
  'the stream is complete, and the process ends with code {int}',
  { timeout: STEP_LIMIT_MS },
  async function check(this: ProcessWorld, code: number) {
    const { status, isComplete } = await this.runningAnswer;
    assert.equal(status, 200);
    assert.ok(isComplete);
    assert.equal(await this.exitCode, code);
  },
);

After(async function stop(this: ProcessWorld) {
  if (this.routerProcess === undefined) return;
  this.otherProgram?.close();
  await this.routerProcess.dispose();
  for (const server of this.processServers) server.stop();
  this.processStore.close();
});
