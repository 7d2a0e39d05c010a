import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { decodeServer } from '../../src/platform/ServerEntryDecoder.js';
import { FakeBackendServer } from './FakeBackendServer.js';
import { FakeStore } from './FakeStore.js';
import { pause } from './Ports.js';
import { sendRequest, startRouter, type StartedRouter } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface OddWorld {
  oddStore: FakeStore;
  oddFleet: FakeBackendServer[];
  oddRouter: StartedRouter;
  written: { readonly key: string; readonly text: string };
}

interface OddEntry {
  readonly key?: string;
  readonly service?: string;
  readonly values?: object;
  readonly text?: string;
}

const READY_MS = 10_000;

const SPAN = { source: 0, to: 80 };

const ODDITIES: Readonly<Record<string, OddEntry>> = {
  'an address with a port out of range': { values: { address: '127.0.0.1:99999' } },
  'an address that is out of range': { values: { address: '999.0.0.1:80' } },
  '20000 nested lists': { text: '['.repeat(20_000) + ']'.repeat(20_000) },
  'a number too large': {
    text: '{"service":"plain","address":"127.0.0.1:1","zone":"a","slots":1e999,"state":"ready","born":9e999}',
  },
  'a span of a billion layers': {
    service: 'engine',
    values: { route_kind: 'whole', layer_count: { ...SPAN, to: 1_000_000_000 } },
  },
  'a key that no header may hold': { key: 'odd\nx: y' },
  'a text that is not JSON': { text: '{"service":' },
};

let sent = 0;

async function ask({ oddRouter }: OddWorld, path: string): Promise<number> {
  sent += 1;
  const headers = { 'x-token-count': '120,24' };
  return (await sendRequest(oddRouter.callers, `odd${sent}`, path, headers)).status;
}

Given(
  'a store with two plain servers, an engine server and a router instance',
  { timeout: 2 * READY_MS },
  async function set(this: OddWorld) {
    this.oddStore = new FakeStore();
    const address = await this.oddStore.listen();
    this.oddStore.put('op', 'config', configuration(3));
    const { oddStore } = this;
    this.oddFleet = ['plain-0', 'plain-1', 'plain-2'].map(
      (id) => new FakeBackendServer(id, 'plain', 'a', '', oddStore),
    );
    this.oddFleet.push(new FakeBackendServer('engine-0', 'engine', 'a', 'whole', oddStore));
    const [first, second, , engine] = this.oddFleet;
    for (const server of [first, second, engine]) await server.listen();
    this.oddRouter = await startRouter('router-1', address, []);
    const endsAt = performance.now() + READY_MS;
    while ((await ask(this, '/stream/')) !== 200) {
      assert.ok(performance.now() < endsAt, `no answer within ${READY_MS} ms`);
      await pause(50);
    }
  },
);

After(function stop(this: OddWorld) {
  if (this.oddStore === undefined) return;
  this.oddRouter.router.dispose();
  for (const server of this.oddFleet) server.stop();
  this.oddStore.close();
});

When(
  'the store holds an entry with {}, and then a third plain server',
  async function run(this: OddWorld, oddity: string) {
    const { key = 'odd', service = 'plain', values = {}, text } = ODDITIES[oddity];
    const entry = {
      service,
      address: '127.0.0.1:9',
      zone: 'a',
      state: 'ready',
      slots: 999,
      born: 9,
    };
    this.written = { key, text: text ?? JSON.stringify({ ...entry, ...values }) };
    this.oddStore.putText('servers', key, this.written.text);
    await this.oddFleet[2].listen();
    await pause(500);
  },
);

Then(
  'all of {int} requests to {string} and of {int} to {string} are answered, some of them at the third server',
  { timeout: 20_000 },
  async function check(
    this: OddWorld,
    count: number,
    path: string,
    streams: number,
    streamPath: string,
  ) {
    const paths = [...Array<string>(count).fill(path), ...Array<string>(streams).fill(streamPath)];
    for (let index = 0; index < paths.length; index += 10) {
      const answers = await Promise.all(
        paths.slice(index, index + 10).map((each) => ask(this, each)),
      );
      assert.deepEqual(
        answers,
        answers.map(() => 200),
      );
    }
    assert.ok(this.oddFleet[2].runs.length > 0);
  },
);

Then(
  'the instance counts as unreadable {string} such an entry',
  function check(this: OddWorld, unreadable: string) {
    const { key, text } = this.written;
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch {
      value = undefined;
    }
    assert.equal(decodeServer(key, 1, value) === undefined, unreadable === 'yes');
  },
);
