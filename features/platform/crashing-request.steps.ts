import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import {
  sendRequest,
  startRouter,
  type ReceivedStatus,
  type StartedRouter,
} from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface SentRequest {
  readonly id: string;
  readonly sentAt: number;
  answer: ReceivedStatus | undefined;
}

interface CrashingWorld {
  requestStore: FakeStore;
  storeAddress: string;
  harmed: FakeBackendServer[];
  instances: StartedRouter[];
  harmful: SentRequest[];
  soundOnes: SentRequest[];
  done: Promise<unknown>;
}

const READY_MS = 10_000;

const HARMFUL_BODY = 'crash';

/** Interval between repeats of the request that crashes servers, in milliseconds. */
const HARMFUL_INTERVAL_MS = 250;

/** Interval between sound requests, in milliseconds. */
const SOUND_INTERVAL_MS = 60;

const ACCELERATORS: Readonly<Record<string, string>> = { engine: 'whole', plain: '' };

let lastRequest = 0;

async function send(
  { instances }: CrashingWorld,
  path: string,
  body: string | undefined,
  list: SentRequest[],
  instance = list.length % instances.length,
): Promise<number> {
  lastRequest += 1;
  const request: SentRequest = {
    id: `q${lastRequest}`,
    sentAt: performance.now(),
    answer: undefined,
  };
  list.push(request);
  const headers = { 'x-token-count': '120,24', 'x-prompt-prefix': `${body ?? request.id}:120` };
  const { callers } = instances[instance];
  request.answer = await sendRequest(callers, request.id, path, headers, body ?? request.id);
  return request.answer.status;
}

function thirdCrashAt({ harmed }: CrashingWorld): number | undefined {
  return harmed.flatMap(({ crashes }) => crashes).sort((a, b) => a - b)[2];
}

function harmfulRuns({ harmed }: CrashingWorld) {
  return harmed.flatMap(({ runs }) => runs).filter(({ body }) => body === HARMFUL_BODY);
}

Given(
  'a store, {int} {string} servers that crash on the body {string} and restart, and {int} router instances',
  { timeout: 3 * READY_MS },
  async function set(
    this: CrashingWorld,
    servers: number,
    service: string,
    body: string,
    count: number,
  ) {
    this.requestStore = new FakeStore();
    this.storeAddress = await this.requestStore.listen();
    this.requestStore.put('op', 'config', configuration(3));
    this.harmed = [];
    this.harmful = [];
    this.soundOnes = [];
    for (let index = 0; index < servers; index += 1) {
      const kind = ACCELERATORS[service];
      const server = new FakeBackendServer(`s${index}`, service, 'a', kind, this.requestStore);
      server.crashingBody = body;
      this.harmed.push(server);
      await server.listen();
    }
    this.instances = [];
    for (let index = 0; index < count; index += 1)
      this.instances.push(await startRouter(`router-${index}`, this.storeAddress, []));
    const endsAt = performance.now() + READY_MS;
    const path = service === 'plain' ? '/read/' : '/stream/';
    for (let index = 0; index < count; index += 1) {
      while ((await send(this, path, undefined, [], index)) !== 200) {
        assert.ok(performance.now() < endsAt, `no answer within ${READY_MS} ms`);
        await pause(50);
      }
    }
  },
);

After(function stop(this: CrashingWorld) {
  if (this.requestStore === undefined) return;
  for (const { router } of this.instances) router.dispose();
  for (const server of this.harmed) server.stop();
  this.requestStore.close();
});

When(
  'for {int} seconds that request and sound ones to {string} arrive at every instance',
  function run(this: CrashingWorld, seconds: number, path: string) {
    const endsAt = performance.now() + seconds * 1000;
    const repeat = async (intervalMs: number, list: SentRequest[], body?: string) => {
      while (performance.now() < endsAt) {
        send(this, path, body, list);
        await pause(intervalMs);
      }
    };
    this.done = Promise.all([
      repeat(HARMFUL_INTERVAL_MS, this.harmful, HARMFUL_BODY),
      repeat(SOUND_INTERVAL_MS, this.soundOnes),
    ]);
  },
);

When(
  'instance {int} restarts {int} ms after the third crash of these servers',
  { timeout: READY_MS },
  async function run(this: CrashingWorld, index: number, ms: number) {
    while (thirdCrashAt(this) === undefined) await pause(20);
    await pause(ms);
    this.instances[index].router.dispose();
    this.instances[index] = await startRouter(`router-${index}`, this.storeAddress, []);
  },
);

Then(
  'at most {int} runs of it begin later than {int} ms after the third crash, and its answers never claim that it has not run when it has',
  { timeout: 30_000 },
  async function check(this: CrashingWorld, most: number, ms: number) {
    await this.done;
    await pause(500);
    const from = (thirdCrashAt(this) as number) + ms;
    const runs = harmfulRuns(this);
    const late = runs.filter(({ at }) => at > from);
    assert.ok(late.length <= most, `${late.length} late runs`);
    const ran = new Set(runs.map(({ id }) => id));
    for (const { id, answer } of this.harmful)
      assert.ok(answer?.status !== 503 || !ran.has(id), `${id} ran and got 503`);
  },
);

Then(
  'at least half of the sound ones later than {int} ms after it are answered at the first attempt',
  function check(this: CrashingWorld, ms: number) {
    const from = (thirdCrashAt(this) as number) + ms;
    const late = this.soundOnes.filter(({ sentAt }) => sentAt > from);
    const answered = late.filter(({ answer }) => answer?.status === 200);
    assert.ok(late.length >= 20, `only ${late.length} sound requests`);
    assert.ok(answered.length * 2 >= late.length, `${answered.length} of ${late.length}`);
  },
);

When(
  'the request to {string} has been held back, and its servers are mended',
  { timeout: 2 * READY_MS },
  async function run(this: CrashingWorld, path: string) {
    const endsAt = performance.now() + READY_MS;
    let status = 0;
    while (harmfulRuns(this).length < 3 || status !== 503) {
      assert.ok(performance.now() < endsAt, `not held back within ${READY_MS} ms`);
      status = await send(this, path, HARMFUL_BODY, this.harmful);
      await pause(HARMFUL_INTERVAL_MS);
    }
    for (const server of this.harmed) server.crashingBody = undefined;
  },
);

Then(
  'within {int} s it is answered, and soon afterwards at every instance',
  { timeout: 90_000 },
  async function check(this: CrashingWorld, seconds: number) {
    const endsAt = performance.now() + seconds * 1000;
    while ((await send(this, '/read/', HARMFUL_BODY, this.harmful)) !== 200) {
      assert.ok(performance.now() < endsAt, `not answered within ${seconds} s`);
      await pause(HARMFUL_INTERVAL_MS);
    }
    await pause(1500);
    for (const [index] of this.instances.entries())
      assert.equal(await send(this, '/read/', HARMFUL_BODY, this.harmful, index), 200);
  },
);
