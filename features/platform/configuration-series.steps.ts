import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { RouterProcess } from '../soak/RouterProcess.js';
import { FakeBackendServer, LONG_STREAM_HEADER } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, type ReceivedStatus } from './RouterFixture.js';
import { configuration, RoutePath } from './SampleConfiguration.js';

interface SeriesWorld {
  seriesStore: FakeStore;
  engineServers: FakeBackendServer[];
  plainServers: FakeBackendServer[];
  seriesRouters: RouterProcess[];
  /** Results by request id. */
  results: Map<string, ReceivedStatus>;
  lastVersion: number;
  /** What was done when, for the report of a failure. */
  timeline: string[];
}

const DOMAINS = ['a', 'b'];

const STEP_LIMIT_MS = 40_000;

const READY_LIMIT_MS = 15_000;

/** Time-out of the routes; a stream takes 3 s, and a silence up to 2.5 s, in milliseconds. */
const TIMEOUT_MS = 15_000;

/** Configurations at the end of the series that come while the requests in hand end and no further fault begins. */
const LAST_CONFIGURATIONS = 15;

/** Time between two requests at one router process, in milliseconds. */
const REQUEST_INTERVAL_MS = 60;

const HANGUP_INTERVAL_MS = 700;

const SILENCE_INTERVAL_MS = 900;

const FULL_INTERVAL_MS = 600;

/** Time for which a server is full, in milliseconds. */
const FULL_MS = 500;

/** The answer of a server that is full. */
const FULL = { status: 503, headers: { 'x-not-executed': '1' } };

const HEADERS = {
  'x-token-count': '800,24',
  'x-deadline-ms': String(TIMEOUT_MS),
  [LONG_STREAM_HEADER]: '1',
};

type Configuration = ReturnType<typeof configuration>;

/** Returns the first configuration with a longer time-out, and room for as many servers as a stream needs. */
function baseConfiguration(version: number): Configuration {
  const base = configuration(version);
  return { ...base, routes: base.routes.map((item) => ({ ...item, timeout_ms: TIMEOUT_MS })) };
}

function changeRoutes(base: Configuration, values: Partial<Configuration['routes'][0]>) {
  return { ...base, routes: base.routes.map((item) => ({ ...item, ...values })) };
}

/** What the configurations of a series change, in turn. The requests' own routes and keys stay. */
const CONFIGURATION_CHANGES: readonly ((base: Configuration) => object)[] = [
  (base) => base,
  (base) => ({ ...base, routes: base.routes.filter(({ name }) => name !== 'stream-once') }),
  (base) => ({
    ...base,
    routes: [...base.routes, { ...base.routes[3], name: 'added', prefix: '/added/' }],
  }),
  (base) => changeRoutes(base, { timeout_ms: TIMEOUT_MS - 1000 }),
  (base) => changeRoutes(base, { priority: 0 }),
  (base) => ({
    ...base,
    tenants: [...base.tenants, { name: 'other', api_keys: ['key-2'], priority: 0 }],
  }),
  (base) => ({ ...base, services: [...base.services, { ...base.services[1], name: 'unused' }] }),
];

async function waitUntilServed({ callersAddress }: RouterProcess): Promise<void> {
  const endsAt = performance.now() + READY_LIMIT_MS;
  for (const route of [RoutePath.Read, RoutePath.Stream]) {
    for (;;) {
      const { status } = await sendRequest(callersAddress, 'warm', route, HEADERS);
      if (status === 200) break;
      assert.ok(performance.now() < endsAt, `${route} is not served`);
      await pause(50);
    }
  }
}

Given(
  'a store, engine and plain servers of two failure domains, and 2 router processes that have answered',
  { timeout: STEP_LIMIT_MS },
  async function set(this: SeriesWorld) {
    this.seriesStore = new FakeStore();
    const storeAddress = await this.seriesStore.listen();
    this.seriesStore.put('op', 'config', baseConfiguration(1));
    const servers = (kind: string, service: string, accelerator: string) =>
      DOMAINS.flatMap((domain) =>
        [1, 2, 3].map((number) => {
          const id = `${kind}-${domain}-${number}`;
          return new FakeBackendServer(id, service, domain, accelerator, this.seriesStore);
        }),
      );
    this.engineServers = servers('engine', 'engine', 'whole');
    this.plainServers = servers('plain', 'plain', '');
    for (const server of [...this.engineServers, ...this.plainServers]) await server.listen();
    const folder = mkdtempSync(path.join(tmpdir(), 'series-'));
    this.seriesRouters = DOMAINS.map(
      (domain) => new RouterProcess(`router-${domain}`, domain, folder),
    );
    const seeds: string[] = [];
    for (const router of this.seriesRouters) {
      await router.configure(storeAddress, seeds);
      seeds.push(router.peersAddress);
      router.start();
    }
    await Promise.all(this.seriesRouters.map(waitUntilServed));
    this.results = new Map();
    this.timeline = [];
  },
);

function serversIn(servers: readonly FakeBackendServer[], domain: string): FakeBackendServer[] {
  return servers.filter(({ id }) => id.includes(`-${domain}-`));
}

/** Picks the servers that fall silent together: one, several, all of a failure domain, or a plain one. */
const SILENCES: readonly ((
  world: SeriesWorld,
  random: SeededRandom,
) => readonly FakeBackendServer[])[] = [
  ({ engineServers }, random) => [random.pick(engineServers)],
  ({ engineServers }, random) => [random.pick(engineServers), random.pick(engineServers)],
  ({ engineServers }, random) => serversIn(engineServers, random.pick(DOMAINS)),
  ({ plainServers }, random) => [random.pick(plainServers)],
];

/** Runs an action every so often until the end; the end waits for what the actions began. */
class Repetition {
  private readonly begun: Promise<unknown>[] = [];

  public constructor(
    intervalMs: number,
    private readonly action: () => unknown,
  ) {
    this.timer = setInterval(() => this.begun.push(Promise.resolve(this.action())), intervalMs);
  }

  private readonly timer: NodeJS.Timeout;

  /** Begins no further action. */
  public stop(): void {
    clearInterval(this.timer);
  }

  public async end(): Promise<void> {
    this.stop();
    await Promise.all(this.begun);
  }
}

When(
  'for {int} configurations, {int} ms apart, requests come beside SIGHUPs, silences of {int} to {int} ms and full servers, seed {int}',
  { timeout: STEP_LIMIT_MS },
  async function run(
    this: SeriesWorld,
    count: number,
    intervalMs: number,
    leastMs: number,
    mostMs: number,
    seed: number,
  ) {
    const random = new SeededRandom(seed);
    const startedAt = performance.now();
    const note = (text: string): void => {
      this.timeline.push(`${Math.round(performance.now() - startedAt)} ms: ${text}`);
    };
    const ask = async (router: RouterProcess, route: string): Promise<void> => {
      const id = `${route.slice(1, -1)}-${router.name}-${this.results.size}`;
      const pending = sendRequest(router.callersAddress, id, route, HEADERS);
      this.results.set(id, { status: 0, isComplete: false, retryAfter: undefined, ms: 0, at: 0 });
      const result = await pending;
      this.results.set(id, result);
      if (!result.isComplete || result.status !== 200)
        note(
          `${id} ended with ${result.status}, complete ${result.isComplete}, after ${Math.round(result.ms)} ms`,
        );
    };
    const repetitions = [
      ...this.seriesRouters.map(
        (router) =>
          new Repetition(REQUEST_INTERVAL_MS, () =>
            ask(router, random.pick([RoutePath.Stream, RoutePath.Book, RoutePath.Read])),
          ),
      ),
      new Repetition(HANGUP_INTERVAL_MS, () => {
        for (const router of this.seriesRouters) router.signal('SIGHUP');
      }),
      new Repetition(SILENCE_INTERVAL_MS, () => {
        const silent = random.pick(SILENCES)(this, random);
        const ms = random.between(leastMs, mostMs);
        note(`${silent.map(({ id }) => id).join(', ')} silent for ${ms} ms`);
        return Promise.all(silent.map((server) => server.fallSilent(ms)));
      }),
      new Repetition(FULL_INTERVAL_MS, async () => {
        const full = DOMAINS.map((domain) => random.pick(serversIn(this.engineServers, domain)));
        note(`${full.map(({ id }) => id).join(', ')} full for ${FULL_MS} ms`);
        for (const server of full) server.refusal = FULL;
        await pause(FULL_MS);
        for (const server of full) server.refusal = undefined;
      }),
    ];
    for (let sent = 0; sent < count; sent += 1) {
      this.lastVersion = 2 + sent;
      const change = CONFIGURATION_CHANGES[sent % CONFIGURATION_CHANGES.length];
      note(`configuration ${this.lastVersion}`);
      this.seriesStore.put('op', 'config', change(baseConfiguration(this.lastVersion)));
      if (sent === count - LAST_CONFIGURATIONS)
        for (const repetition of repetitions) repetition.stop();
      await pause(intervalMs);
    }
    await Promise.all(repetitions.map((repetition) => repetition.end()));
  },
);

/** Fails if there are requests with an unwanted end, and names them with what happened when. */
function assertNone(world: SeriesWorld, isUnwanted: (result: ReceivedStatus) => boolean): void {
  const { results, seriesRouters, timeline } = world;
  assert.ok(results.size > 0);
  const found: string[] = [];
  for (const [id, result] of results)
    if (isUnwanted(result)) found.push(`${id} (${result.status})`);
  const logs = seriesRouters.map(({ logFile }) => logFile).join(', ');
  assert.equal(
    found.length,
    0,
    `${found.join(', ')} of ${results.size} requests; logs: ${logs}\n${timeline.join('\n')}`,
  );
}

Then(
  'every request got a complete answer or a refusal, and none was cut',
  function check(this: SeriesWorld) {
    assertNone(this, ({ isComplete }) => !isComplete);
  },
);

/** Statuses of whole answers, and of refusals that say that nothing ran. */
const KNOWN_OUTCOMES: ReadonlySet<number> = new Set([200, 429, 503]);

Then(
  'as every server is sound, no request ended without word on whether it ran',
  function check(this: SeriesWorld) {
    assertNone(this, ({ status }) => !KNOWN_OUTCOMES.has(status));
  },
);

Then('each router process applied the last configuration', async function check(this: SeriesWorld) {
  // The log is written every 200 ms.
  await pause(600);
  for (const { logFile, name } of this.seriesRouters) {
    const applied = readFileSync(logFile, 'utf8').includes(`"ticket":${this.lastVersion},`);
    assert.ok(applied, `${name} did not apply configuration ${this.lastVersion}`);
  }
});

After(async function stop(this: SeriesWorld) {
  if (this.seriesRouters === undefined) return;
  for (const router of this.seriesRouters) await router.dispose();
  for (const server of [...this.engineServers, ...this.plainServers]) server.stop();
  this.seriesStore.close();
});
