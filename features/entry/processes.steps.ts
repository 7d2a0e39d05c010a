import assert from 'node:assert/strict';
import { execFile, spawn, type ChildProcess, type StdioOptions } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtemp, open, readFile, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { stringify } from 'yaml';
import { ObjectKind } from '../../src/core/tickets/Types.js';
import { DEMO_KEYS } from '../../src/fakes/DemoFleet.js';
import { answerText } from '../../src/fakes/TokenText.js';
import { describeAnswer, sendRequest, parseStream, type CallerAnswer } from './Caller.js';
import { freeAddress } from '../platform/Ports.js';

const MAIN = 'dist/src/cli/main.js';
const TOKEN = 'process-operator-token';
const POLL_INTERVAL_MS = 100;
const START_TIMEOUT_MS = 20_000;
const execFileAsync = promisify(execFile);

interface EntryProcess {
  readonly name: string;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly child: ChildProcess;
}

interface ProcessWorld {
  folder: string;
  children: ChildProcess[];
  entries: EntryProcess[];
  answers: CallerAnswer[];
  exitCode: number;
  output: string;
}

async function startProcess(
  world: ProcessWorld,
  command: string,
  name: string,
  settings: object,
): Promise<ChildProcess> {
  const file = join(world.folder, `${name}.yaml`);
  await writeFile(file, stringify(settings));
  const log = await open(join(world.folder, `${name}.log`), 'w');
  const stdio: StdioOptions = ['ignore', log.fd, log.fd];
  const child = spawn(process.execPath, [MAIN, command, '--settings', file], { stdio });
  await log.close();
  world.children.push(child);
  return child;
}

/** Describes each process by the end of its output, for the message of a failed check. */
async function describeProcesses(world: ProcessWorld): Promise<string> {
  const described: string[] = [];
  for (const { exitCode, spawnargs } of world.children) {
    const settings = spawnargs.at(-1) as string;
    const output = await readFile(settings.replace(/yaml$/, 'log'), 'utf8');
    described.push(`${settings}, exit code ${exitCode}:\n${output.slice(-500)}`);
  }
  return described.join('\n');
}

async function waitUntilTrue(world: ProcessWorld, holds: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + START_TIMEOUT_MS;
  while (!(await holds())) {
    if (Date.now() >= deadline)
      assert.fail(
        `the awaited condition did not hold within the time limit\n${await describeProcesses(world)}`,
      );
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}

After(function stop(this: ProcessWorld) {
  for (const child of this.children ?? []) child.kill('SIGKILL');
});

Given(
  'a platform, two entry instances and two backend servers as processes',
  { timeout: 60_000 },
  async function begin(this: ProcessWorld) {
    this.folder = await mkdtemp(join(tmpdir(), 'acaciadrum-'));
    this.children = [];
    this.entries = [];
    const platform = await freeAddress();
    const instances = [];
    for (const name of ['entry-1', 'entry-2']) {
      instances.push({
        name,
        callers: await freeAddress(),
        operators: await freeAddress(),
        peers: await freeAddress(),
      });
    }
    const listedInstances = instances.map(({ name, peers }) => ({
      name,
      address: peers,
      failureDomain: 'home',
    }));
    await startProcess(this, 'platform', 'platform', {
      address: platform,
      instances: listedInstances,
    });
    for (const instance of instances) {
      const child = await startProcess(this, 'entry', instance.name, {
        instance: instance.name,
        failureDomain: 'home',
        callers: { address: instance.callers },
        operators: { address: instance.operators, token: TOKEN },
        peers: { address: instance.peers, secret: 'process-peer-secret' },
        platform: { address: platform },
        stop: { balancerMs: 300 },
      });
      this.entries.push({ ...instance, child });
    }
    const servers = [];
    for (const name of ['server-a', 'server-b']) {
      const address = await freeAddress();
      await startProcess(this, 'backend', name, { name, address, loadMs: 50 });
      servers.push({ name, address });
    }
    await writeFile(join(this.folder, 'ticket.yaml'), createTicket(servers));
    await waitUntilTrue(this, async () => {
      const answers = await Promise.all(
        this.entries.map(({ callers }) =>
          sendRequest({ address: callers, method: 'GET', path: '/readyz' }),
        ),
      );
      return answers.every(({ status }) => status === 200);
    });
  },
);

function createTicket(servers: readonly { name: string; address: string }[]): string {
  const keyHashes = [createHash('sha256').update(DEMO_KEYS.workshop).digest('hex')];
  const account = { keyHashes, requestsPerSecond: 1000, concurrency: 1000 };
  const changes = [
    { kind: ObjectKind.ClientAccount, name: 'workshop', base: 0, state: account },
    {
      kind: ObjectKind.Pipeline,
      name: 'model',
      base: 0,
      state: { layers: 8, layerMs: { any: 0.05 } },
    },
    { kind: ObjectKind.PlainService, name: 'orders', base: 0, state: {} },
    ...servers.map(({ name, address }, index) => ({
      kind: ObjectKind.BackendServer,
      name,
      base: 0,
      state: {
        address,
        failureDomain: 'home',
        accelerator: 'any',
        services: ['orders'],
        layerRanges: [{ pipeline: 'model', from: index * 4, to: index * 4 + 4 }],
      },
    })),
  ];
  return stringify({ author: 'test', reason: 'First ticket.', changes });
}

Given(
  'a ticket filed with the command line',
  { timeout: 60_000 },
  async function file(this: ProcessWorld) {
    const operator = ['--server', this.entries[0].operators, '--token', TOKEN];
    const { stdout } = await execFileAsync(process.execPath, [
      MAIN,
      'ticket',
      'file',
      ...operator,
      join(this.folder, 'ticket.yaml'),
    ]);
    assert.match(stdout, /Ticket 1 is accepted[^]*In force on 2 of 2 live instances/);
    const explained = await execFileAsync(process.execPath, [
      MAIN,
      'ticket',
      'explain',
      ...operator,
      'Pipeline',
      'model',
    ]);
    assert.match(explained.stdout, /since ticket 1[^]*First ticket/);
    await waitUntilTrue(this, async () => {
      const body = JSON.stringify({ model: 'model', prompt: 'x', max_tokens: 1 });
      const answers = await Promise.all(
        this.entries.map(({ callers }) =>
          sendRequest({ address: callers, method: 'POST', path: '/v1/completions', body }),
        ),
      );
      return answers.every(({ status }) => status === 200);
    });
  },
);

Then(
  'each instance answers a streamed completion, a chat completion, a read and a booking completely',
  async function check(this: ProcessWorld) {
    const chat = { model: 'model', max_tokens: 4, messages: [{ role: 'user', content: 'x' }] };
    const text = { model: 'model', max_tokens: 4, prompt: 'x', stream: true };
    const keyed = { 'idempotency-key': 'process-booking', 'x-call-id': 'process-booking' };
    const bookings: string[] = [];
    for (const { callers: address } of this.entries) {
      const streamed = await sendRequest({
        address,
        method: 'POST',
        path: '/v1/completions',
        body: JSON.stringify(text),
      });
      assert.deepEqual(parseStream(streamed.body), {
        text: answerText('x', 4),
        whole: true,
        finish: 'length',
      });
      const whole = await sendRequest({
        address,
        method: 'POST',
        path: '/v1/chat/completions',
        body: JSON.stringify(chat),
      });
      assert.ok(whole.body.includes(answerText('user: x', 4)));
      const read = await sendRequest({ address, method: 'GET', path: '/services/orders/stock/1' });
      assert.equal(read.headers['acaciadrum-outcome'], 'complete', describeAnswer(read));
      const booked = await sendRequest({
        address,
        method: 'POST',
        path: '/services/orders/bookings',
        body: '{}',
        headers: keyed,
      });
      assert.equal(booked.headers['acaciadrum-outcome'], 'complete', describeAnswer(booked));
      bookings.push(booked.body);
    }
    assert.equal(bookings[0], bookings[1]);
  },
);

When(
  'one entry instance receives SIGTERM while {int} streams run',
  { timeout: 60_000 },
  async function stop(this: ProcessWorld, count: number) {
    const [first] = this.entries;
    const body = JSON.stringify({ model: 'model', prompt: 'x', max_tokens: 150, stream: true });
    const sent = Array.from({ length: count }, () =>
      sendRequest({ address: first.callers, method: 'POST', path: '/v1/completions', body }),
    );
    setTimeout(() => first.child.kill('SIGTERM'), 150);
    const exited = new Promise<number>((resolve) => {
      first.child.once('exit', (code) => resolve(code ?? -1));
    });
    this.answers = await Promise.all(sent);
    this.exitCode = await exited;
  },
);

Then(
  'every stream is complete and the process exits by itself',
  function check(this: ProcessWorld) {
    for (const { body } of this.answers) assert.ok(parseStream(body).whole, body.slice(-300));
    assert.equal(this.exitCode, 0);
  },
);

When('the settings check reads {string}', async function check(this: ProcessWorld, text: string) {
  const file = join(await mkdtemp(join(tmpdir(), 'acaciadrum-')), 'settings.yaml');
  await writeFile(file, text.replaceAll(';', '\n'));
  try {
    this.output = (await execFileAsync(process.execPath, [MAIN, 'settings', 'check', file])).stdout;
    this.exitCode = 0;
  } catch (error) {
    const failed = error as { code: number; stderr: string };
    this.output = failed.stderr;
    this.exitCode = failed.code;
  }
});

Then(
  'it exits with {int} and prints {string}',
  function check(this: ProcessWorld, code: number, output: string) {
    assert.equal(this.exitCode, code);
    assert.ok(this.output.includes(output), this.output);
  },
);
