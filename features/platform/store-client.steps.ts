import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpClient } from '../../src/adapters/http/HttpClient.js';
import { StoreClient } from '../../src/platform/StoreClient.js';
import { FakeStore } from './FakeStore.js';

interface StoreClientWorld {
  fakeStore: FakeStore;
  http: HttpClient;
  client: StoreClient;
}

Given(
  'a client of the store with {int} idle connections',
  async function set(this: StoreClientWorld, count: number) {
    this.fakeStore = new FakeStore();
    this.http = new HttpClient();
    this.client = new StoreClient(this.http, await this.fakeStore.listen());
    await Promise.all(
      Array.from({ length: count }, (_, index) => this.client.read([`table/${index}`])),
    );
  },
);

After(function stop(this: StoreClientWorld) {
  this.http?.dispose();
  this.fakeStore?.close();
});

When(
  'the open connections to the store become silent, and a call gets no answer',
  async function run(this: StoreClientWorld) {
    this.fakeStore.silenceConnections();
    await assert.rejects(this.client.read(['table/0']));
  },
);

Then('the next call is answered', async function check(this: StoreClientWorld) {
  assert.deepEqual(await this.client.read(['table/0']), [undefined]);
});
