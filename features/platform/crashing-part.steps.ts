import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { FakeBackendServer, promptParts } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, startRouter, type StartedRouter } from './RouterFixture.js';
import { configuration, RoutePath } from './SampleConfiguration.js';

interface SoundRequest {
  readonly sentAt: number;
  isAnswered: boolean;
}

interface CrashWorld {
  crashStore: FakeStore;
  storeAddress: string;
  crashingServers: FakeBackendServer[];
  fleet: StartedRouter[];
  crashingPart: string;
  sound: SoundRequest[];
}

const READY_MS = 10_000;

/** Interval between requests with the crashing part, in milliseconds. */
const CRASHING_INTERVAL_MS = 120;

/** Interval between sound requests, in milliseconds. */
const SOUND_INTERVAL_MS = 60;

let lastRequest = 0;

/** Sends a stream request with a part of its own; resolves to whether the whole answer arrived. */
async function sendOnce(address: string, sharedParts: readonly string[]): Promise<boolean> {
  lastRequest += 1;
  const parts = [...sharedParts, `own${lastRequest}`].map((part) => `${part}:40`);
  const answer = await sendRequest(address, `r${lastRequest}`, RoutePath.Stream, {
    'x-token-count': '120,24',
    'x-prompt-prefix': parts.join(','),
  });
  return answer.status === 200 && answer.isComplete;
}

async function waitForAnswers({ fleet }: CrashWorld): Promise<void> {
  const endsAt = performance.now() + READY_MS;
  for (const { callers } of fleet) {
    while (!(await sendOnce(callers, ['warm']))) {
      assert.ok(performance.now() < endsAt, `no answer within ${READY_MS} ms`);
      await pause(50);
    }
  }
}

/** Time of the fifth crash of all servers together; undefined before it. */
function fifthCrashAt({ crashingServers }: CrashWorld): number | undefined {
  return crashingServers.flatMap(({ crashes }) => crashes).sort((a, b) => a - b)[4];
}

Given(
  'a store, {int} engine servers that crash on prompt part {string} and restart, and {int} router instances',
  { timeout: 2 * READY_MS },
  async function set(this: CrashWorld, servers: number, part: string, instances: number) {
    this.crashStore = new FakeStore();
    this.storeAddress = await this.crashStore.listen();
    this.crashStore.put('op', 'config', configuration(3));
    this.crashingPart = part;
    this.crashingServers = [];
    for (let index = 0; index < servers; index += 1) {
      const server = new FakeBackendServer(`s${index}`, 'engine', 'a', 'whole', this.crashStore);
      server.crashingPart = part;
      this.crashingServers.push(server);
      await server.listen();
    }
    this.fleet = [];
    for (let index = 0; index < instances; index += 1)
      this.fleet.push(await startRouter(`router-${index}`, this.storeAddress, []));
    await waitForAnswers(this);
  },
);

When(
  'for {int} seconds requests with the parts {string} and sound requests with the parts {string} arrive at every instance',
  function run(this: CrashWorld, seconds: number, crashing: string, sound: string) {
    this.sound = [];
    const endsAt = performance.now() + seconds * 1000;
    const repeat = async (intervalMs: number, send: (address: string) => void): Promise<void> => {
      for (let count = 0; performance.now() < endsAt; count += 1) {
        send(this.fleet[count % this.fleet.length].callers);
        await pause(intervalMs);
      }
    };
    repeat(CRASHING_INTERVAL_MS, (address) => {
      sendOnce(address, crashing.split(' '));
    });
    repeat(SOUND_INTERVAL_MS, async (address) => {
      const request = { sentAt: performance.now(), isAnswered: false };
      this.sound.push(request);
      request.isAnswered = await sendOnce(address, sound.split(' '));
    });
  },
);

When(
  'instance {int} restarts {int} ms after the fifth crash',
  { timeout: 30_000 },
  async function run(this: CrashWorld, index: number, ms: number) {
    while (fifthCrashAt(this) === undefined && this.sound.length < 60) await pause(20);
    await pause(ms);
    const { router } = this.fleet[index];
    router.dispose();
    this.fleet[index] = await startRouter(`router-${index}`, this.storeAddress, []);
  },
);

Then(
  'at most {int} requests with the part reach servers later than {int} seconds after the fifth crash',
  { timeout: 30_000 },
  async function check(this: CrashWorld, most: number, seconds: number) {
    const count = 11_000 / SOUND_INTERVAL_MS;
    const endsAt = performance.now() + 13_000;
    while (this.sound.length < count * 0.9 && performance.now() < endsAt) await pause(100);
    await pause(1000);
    const crashes = this.crashingServers.flatMap((server) => server.crashes).length;
    assert.ok(crashes >= 3, `only ${crashes} crashes`);
    // Fewer than five need no more than that the part was held back before.
    const fifth = fifthCrashAt(this) ?? Infinity;
    const late = this.crashingServers
      .flatMap(({ runs }) => runs)
      .filter(({ at }) => at > fifth + seconds * 1000)
      .filter(({ headers }) => promptParts(headers).includes(this.crashingPart));
    assert.ok(late.length <= most, `${late.length} requests`);
  },
);

Then(
  'at least half of the sound requests later than {int} seconds after it are answered at the first attempt',
  function check(this: CrashWorld, seconds: number) {
    const from = (fifthCrashAt(this) ?? this.sound[0].sentAt) + seconds * 1000;
    const late = this.sound.filter(({ sentAt }) => sentAt > from);
    const answered = late.filter(({ isAnswered }) => isAnswered);
    assert.ok(late.length >= 20, `only ${late.length} sound requests`);
    assert.ok(answered.length * 2 >= late.length, `${answered.length} of ${late.length}`);
  },
);

After(function stop(this: CrashWorld) {
  if (this.crashStore === undefined) return;
  for (const { router } of this.fleet) router.dispose();
  for (const server of this.crashingServers) server.stop();
  this.crashStore.close();
});
