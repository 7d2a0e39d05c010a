import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { DEMO_SERVICE, type DemoFleet } from '../../src/fakes/DemoFleet.js';
import { describeAnswer, sendRequest, type CallerAnswer } from './Caller.js';

interface SilenceWorld {
  fleet: DemoFleet;
  bookingKey: string;
  bookings: { answer: CallerAnswer; ms: number }[];
  silenceMs: number;
}

/** Time within which a booking is answered whose servers are not silent, in milliseconds. */
const ANSWER_MS = 500;

let bookedKeys = 0;

function nextKey(): string {
  bookedKeys += 1;
  return `silence-${bookedKeys}`;
}

async function book(
  { fleet }: SilenceWorld,
  entry: number,
  key: string,
): Promise<{ answer: CallerAnswer; ms: number }> {
  const sentAt = performance.now();
  const answer = await sendRequest({
    address: fleet.entries[entry].addresses.callers,
    method: 'POST',
    path: `/services/${DEMO_SERVICE}/bookings`,
    body: '{"resin":2}',
    headers: { 'idempotency-key': key, 'x-call-id': key },
  });
  return { answer, ms: performance.now() - sentAt };
}

When(
  'the plain servers fall silent for {int} ms, and a booking with one key is sent through {int} instances',
  { timeout: 20_000 },
  async function run(this: SilenceWorld, ms: number, instances: number) {
    for (const { name, daemon } of this.fleet.servers)
      if (name.endsWith('-plain')) daemon.freeze(ms);
    this.silenceMs = ms;
    this.bookingKey = nextKey();
    this.bookings = await Promise.all(
      Array.from({ length: instances }, (_, entry) => book(this, entry, this.bookingKey)),
    );
  },
);

Then(
  'each answer to the keyed booking is complete and the same, and comes after the silence',
  function check(this: SilenceWorld) {
    for (const { answer, ms } of this.bookings) {
      assert.equal(answer.headers['acaciadrum-outcome'], 'complete', describeAnswer(answer));
      assert.equal(answer.body, this.bookings[0].answer.body);
      assert.ok(ms >= this.silenceMs - ANSWER_MS, `${ms} ms`);
    }
  },
);

Then('the keyed booking ran once', function check(this: SilenceWorld) {
  let runs = 0;
  for (const { daemon } of this.fleet.servers)
    runs += daemon.plainRunsByCall.get(this.bookingKey) ?? 0;
  assert.equal(runs, 1);
});

Then('a booking with another key is answered at once', async function check(this: SilenceWorld) {
  const { answer, ms } = await book(this, 0, nextKey());
  assert.equal(answer.headers['acaciadrum-outcome'], 'complete', describeAnswer(answer));
  assert.ok(ms < ANSWER_MS, `${ms} ms`);
});
