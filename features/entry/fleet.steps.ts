import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { AfterAll, Given, Then, When, setDefaultTimeout } from '@cucumber/cucumber';
import { stringify } from 'yaml';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { ObjectKind } from '../../src/core/tickets/Types.js';
import { FilingStatus, type FilingResult } from '../../src/core/tickets/TicketCommitter.js';
import {
  DEMO_PIPELINE,
  DEMO_SERVICE,
  DemoFleet,
  waitUntil,
  type FleetServer,
} from '../../src/fakes/DemoFleet.js';
import { answerText } from '../../src/fakes/TokenText.js';
import { describeAnswer, sendRequest, parseStream, type CallerAnswer } from './Caller.js';

setDefaultTimeout(60_000);

const PROMPT = 'Glue frame 7';
const BOOKINGS = `/services/${DEMO_SERVICE}/bookings`;
const LARGE_BODY_BYTES = 1_100_000;

let sharedFleet: DemoFleet | undefined;

interface FleetWorld {
  fleet: DemoFleet;
  /** Shape of the completion and whether it is streamed, separated by a space. */
  shapeAndStream: string;
  answer: CallerAnswer;
  answers: CallerAnswer[];
  rawAnswer: string;
  /** Idempotency key of the booking. */
  key: string;
  /** Failure domain that is cut off from the platform. */
  cutOffDomain: string;
  filings: FilingResult[];
  affectedServer: FleetServer;
}

AfterAll(async () => {
  await sharedFleet?.close();
});

const callersAddress = (world: FleetWorld, index = 0): string =>
  world.fleet.entries[index % world.fleet.entries.length].addresses.callers;

function completionBody(tokens: number, stream: boolean): string {
  return JSON.stringify({ model: DEMO_PIPELINE, prompt: PROMPT, max_tokens: tokens, stream });
}

function sendBooking(
  world: FleetWorld,
  index: number,
  key: string,
  call: string,
  body = '{"resin":2}',
): Promise<CallerAnswer> {
  const headers = { 'idempotency-key': key, 'x-call-id': call };
  return sendRequest({
    address: callersAddress(world, index),
    method: 'POST',
    path: BOOKINGS,
    body,
    headers,
  });
}

function countRuns(world: FleetWorld, call: string): number {
  let runs = 0;
  for (const { daemon } of world.fleet.servers) runs += daemon.plainRunsByCall.get(call) ?? 0;
  return runs;
}

function serverTicket(
  world: FleetWorld,
  server: FleetServer,
  leaving: boolean,
  reason: string,
): string {
  const { configuration } = world.fleet.entries[0].entry.core;
  const inForce = configuration.find(ObjectKind.BackendServer, server.name);
  const change = {
    kind: ObjectKind.BackendServer,
    name: server.name,
    base: inForce?.ticket,
    state: { ...inForce?.state, leaving },
  };
  return stringify({ author: 'test', reason, changes: [change] });
}

Given('a running fleet', async function start(this: FleetWorld) {
  sharedFleet ??= await DemoFleet.start({ throwOnViolation: true, balancerMs: 100 });
  this.fleet = sharedFleet;
});

When(
  'a caller asks for {int} tokens in the {string} shape with stream {string}',
  async function run(this: FleetWorld, tokens: number, shape: string, stream: string) {
    this.shapeAndStream = `${shape} ${stream}`;
    const chat = {
      model: DEMO_PIPELINE,
      max_tokens: tokens,
      stream: stream === 'true',
      messages: [{ role: 'user', content: [{ type: 'text', text: PROMPT }] }],
    };
    const isChat = shape === 'chat';
    this.answer = await sendRequest({
      address: callersAddress(this),
      method: 'POST',
      path: isChat ? '/v1/chat/completions' : '/v1/completions',
      body: isChat ? JSON.stringify(chat) : completionBody(tokens, stream === 'true'),
    });
  },
);

Then('the answer is complete and has that shape', function check(this: FleetWorld) {
  const [shape, stream] = this.shapeAndStream.split(' ');
  const expected = answerText(shape === 'chat' ? `user: ${PROMPT}` : PROMPT, 9);
  assert.equal(this.answer.status, 200);
  if (stream === 'true') {
    assert.deepEqual(parseStream(this.answer.body), {
      text: expected,
      whole: true,
      finish: 'length',
    });
    assert.equal(this.answer.trailers['acaciadrum-outcome'], 'complete');
    return;
  }
  const body = JSON.parse(this.answer.body) as {
    object: string;
    choices: { text?: string; message?: { content: string }; finish_reason: string }[];
    usage: { completion_tokens: number };
  };
  assert.equal(body.choices[0].message?.content ?? body.choices[0].text, expected);
  assert.equal(body.object, shape === 'chat' ? 'chat.completion' : 'text_completion');
  assert.equal(body.usage.completion_tokens, 9);
  assert.equal(this.answer.headers['acaciadrum-outcome'], 'complete');
});

When(
  /^a caller sends "(POST|GET)" "([^"]+)" with "(.*)" and headers "([^"]*)"$/,
  async function run(
    this: FleetWorld,
    method: string,
    path: string,
    body: string,
    headers: string,
  ) {
    const pair = headers.split('=');
    this.answer = await sendRequest({
      address: callersAddress(this),
      method,
      path,
      body: body === 'LARGE' ? 'x'.repeat(LARGE_BODY_BYTES) : body,
      headers: headers === '' ? {} : { [pair[0]]: pair[1] },
    });
  },
);

Then(
  'the answer is {int} with outcome {string} and reason {string}',
  function check(this: FleetWorld, status: number, outcome: string, reason: string) {
    assert.equal(this.answer.status, status);
    assert.equal(this.answer.headers['acaciadrum-outcome'], outcome);
    assert.equal(this.answer.headers['acaciadrum-reason'], reason);
    assert.ok(
      (JSON.parse(this.answer.body) as { error: { message: string } }).error.message.length > 0,
    );
  },
);

When('a caller writes the raw bytes {string}', async function run(this: FleetWorld, bytes: string) {
  const { host, port } = hostAndPort(callersAddress(this));
  const text = bytes.replaceAll('\\r', '\r').replaceAll('\\n', '\n');
  this.rawAnswer = await new Promise((resolve) => {
    let answer = '';
    const socket = connect(port, host, () => socket.write(text));
    socket.on('data', (chunk) => {
      answer += chunk.toString();
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(answer));
  });
});

Then(
  'the instance answers with status {string} and closes the connection',
  function check(this: FleetWorld, status: string) {
    assert.match(this.rawAnswer, new RegExp(`^HTTP/1.1 ${status} `));
  },
);

When('a caller disconnects in the middle of a stream', async function run(this: FleetWorld) {
  await sendRequest({
    address: callersAddress(this),
    method: 'POST',
    path: '/v1/completions',
    body: completionBody(200, true),
    disconnectAfter: 3,
  });
});

Then('the instance has no request in progress', async function check(this: FleetWorld) {
  await waitUntil(() => this.fleet.entries[0].entry.core.completions.active === 0, 2000);
  assert.equal(this.fleet.entries[0].entry.core.load.listOwnBusyMs().size, 0);
});

/**
 * Sends a streamed completion to the first instance and injects a fault after some body chunks, at the last
 * server at which that instance reports work of its own. While no other request runs, that server is on the
 * stream's route.
 * @param afterChunks - chunks, not tokens: tokens that arrive together share a chunk
 */
async function streamWithFault(
  world: FleetWorld,
  tokens: number,
  afterChunks: number,
  injectFault: (server: FleetServer) => void,
): Promise<void> {
  const answer = await sendRequest({
    address: callersAddress(world),
    method: 'POST',
    path: '/v1/completions',
    body: completionBody(tokens, true),
    onChunk: (count) => {
      if (count !== afterChunks) return;
      const busy = [...world.fleet.entries[0].entry.core.load.listOwnBusyMs().keys()];
      const affectedServer = world.fleet.servers.find(({ name }) => name === busy.at(-1));
      assert.ok(affectedServer !== undefined);
      Object.assign(world, { affectedServer });
      injectFault(affectedServer);
    },
  });
  Object.assign(world, { answer });
}

When(
  'a stage is killed after {int} chunks of a stream of {int} tokens',
  async function run(this: FleetWorld, after: number, tokens: number) {
    await streamWithFault(this, tokens, after, ({ daemon }) => daemon.close());
  },
);

When(
  'a stage freezes for {int} ms after {int} chunks of a stream of {int} tokens',
  async function run(this: FleetWorld, ms: number, after: number, tokens: number) {
    await streamWithFault(this, tokens, after, ({ daemon }) => daemon.freeze(ms));
  },
);

Then(
  'the caller receives one complete answer of {int} tokens',
  function check(this: FleetWorld, tokens: number) {
    assert.ok(this.affectedServer !== undefined);
    assert.deepEqual(parseStream(this.answer.body), {
      text: answerText(PROMPT, tokens),
      whole: true,
      finish: 'length',
    });
    assert.equal(this.fleet.countViolations(), 0);
  },
);

When(
  'a booking is sent {int} times at once through different instances with one key',
  async function run(this: FleetWorld, times: number) {
    this.key = 'booking-once';
    const sent = Array.from({ length: times }, (_, index) =>
      sendBooking(this, index, this.key, this.key),
    );
    this.answers = await Promise.all(sent);
  },
);

Then('every answer is the same and the booking ran once', function check(this: FleetWorld) {
  for (const answer of this.answers) {
    assert.equal(answer.headers['acaciadrum-outcome'], 'complete', describeAnswer(answer));
    assert.equal(answer.body, this.answers[0].body);
  }
  assert.equal(countRuns(this, this.key), 1);
});

Then(
  'the same key with another body is refused as {string}',
  async function check(this: FleetWorld, reason: string) {
    const answer = await sendBooking(this, 0, this.key, this.key, '{"resin":3}');
    assert.equal(answer.headers['acaciadrum-reason'], reason);
    assert.equal(countRuns(this, this.key), 1);
  },
);

When('the platform is down', function run(this: FleetWorld) {
  this.fleet.platform.faults.down = true;
});

Then('a keyed booking is refused as not run', async function check(this: FleetWorld) {
  const answer = await sendBooking(this, 0, 'while-down', 'while-down');
  assert.equal(answer.headers['acaciadrum-outcome'], 'not-run');
  assert.equal(answer.headers['acaciadrum-reason'], 'claim-unavailable');
  assert.equal(countRuns(this, 'while-down'), 0);
});

Then(
  'a booking with a minted key runs once through any instance',
  async function check(this: FleetWorld) {
    const minted = await sendRequest({
      address: callersAddress(this, 0),
      method: 'POST',
      path: '/v1/request-keys',
    });
    const { key } = JSON.parse(minted.body) as { key: string };
    const answers = await Promise.all(
      [1, 2, 3, 0].map((index) => sendBooking(this, index, key, 'minted')),
    );
    for (const answer of answers)
      assert.equal(answer.headers['acaciadrum-outcome'], 'complete', answer.body);
    assert.equal(countRuns(this, 'minted'), 1);
  },
);

Then('completions are still served', async function check(this: FleetWorld) {
  const answer = await sendRequest({
    address: callersAddress(this, 1),
    method: 'POST',
    path: '/v1/completions',
    body: completionBody(5, false),
  });
  assert.equal(answer.headers['acaciadrum-outcome'], 'complete');
});

Then(
  'a ticket filed during the outage has a known outcome after the platform recovers',
  async function check(this: FleetWorld) {
    const text = serverTicket(
      this,
      this.fleet.servers[0],
      false,
      'Filed while the platform is down.',
    );
    const filing = await this.fleet.file(text, 'filed-while-down');
    assert.equal(filing.status, FilingStatus.Unknown);
    this.fleet.platform.faults.down = false;
    const settled =
      await this.fleet.entries[0].entry.core.ticketCommitter.settle('filed-while-down');
    assert.notEqual(settled.status, FilingStatus.Unknown);
  },
);

When('{string} is cut off from the platform', function cut(this: FleetWorld, domain: string) {
  this.cutOffDomain = domain;
  this.fleet.platformProxies.get(domain)?.cut();
});

/** Entry instances of the failure domain that is cut off from the platform. */
const cutOffEntries = (world: FleetWorld) =>
  world.fleet.entries.filter(({ failureDomain }) => failureDomain === world.cutOffDomain);

Then(
  'the cut-off instances serve completions and refuse keyed bookings as not run',
  async function check(this: FleetWorld) {
    const body = completionBody(5, false);
    for (const { name, addresses } of cutOffEntries(this)) {
      const answer = await sendRequest({
        address: addresses.callers,
        method: 'POST',
        path: '/v1/completions',
        body,
      });
      assert.equal(answer.headers['acaciadrum-outcome'], 'complete');
      const index = this.fleet.entries.findIndex((entry) => entry.name === name);
      const booked = await sendBooking(this, index, `cut-${name}`, `cut-${name}`);
      assert.equal(booked.headers['acaciadrum-reason'], 'claim-unavailable');
      assert.equal(countRuns(this, `cut-${name}`), 0);
    }
  },
);

Then(
  'a ticket filed in another failure domain is in force on them within {int} seconds',
  async function check(this: FleetWorld, seconds: number) {
    const filing = await this.fleet.file(
      serverTicket(this, this.fleet.servers[0], false, 'During the cut.'),
    );
    assert.equal(filing.status, FilingStatus.Accepted);
    await waitUntil(
      () =>
        cutOffEntries(this).every(
          ({ entry }) => entry.core.configuration.ticketNumber >= filing.number,
        ),
      seconds * 1000,
    );
  },
);

Then(
  'the cut-off instances hold the newest ticket after the reconnection',
  async function check(this: FleetWorld) {
    this.fleet.platformProxies.get(this.cutOffDomain)?.restore();
    const filing = await this.fleet.file(
      serverTicket(this, this.fleet.servers[0], false, 'After the cut.'),
    );
    await this.fleet.waitUntilInForce(filing.number);
  },
);

When('two tickets for the same server are filed at once', async function run(this: FleetWorld) {
  const text = serverTicket(this, this.fleet.servers[0], false, 'Race.');
  this.filings = await Promise.all([
    this.fleet.file(text, 'race-one'),
    this.fleet.file(text, 'race-two'),
  ]);
});

Then(
  'exactly one is accepted and the refusal of the other names the accepted ticket',
  function check(this: FleetWorld) {
    const accepted = this.filings.filter(({ status }) => status === FilingStatus.Accepted);
    const refused = this.filings.filter(({ status }) => status === FilingStatus.Refused);
    assert.equal(accepted.length, 1);
    assert.equal(refused.length, 1);
    assert.match(refused[0].message, new RegExp(`ticket ${accepted[0].number}\\b`));
  },
);

When('a server is drained by ticket', async function run(this: FleetWorld) {
  this.affectedServer = this.fleet.servers.find(({ name }) => name === 'almaty-2-a') as FleetServer;
  const filing = await this.fleet.file(serverTicket(this, this.affectedServer, true, 'Drain.'));
  assert.equal(filing.status, FilingStatus.Accepted);
});

Then('it gets no new request after 3 seconds', async function check(this: FleetWorld) {
  await waitUntil(
    () =>
      this.fleet.entries.every(
        ({ entry }) =>
          entry.core.configuration.state(ObjectKind.BackendServer, this.affectedServer.name)
            ?.leaving === true,
      ),
    3000,
  );
  const before = this.fleet.servers.map(({ daemon }) => daemon.requestedStreams.size);
  const sent = Array.from({ length: 12 }, (_, index) =>
    sendRequest({
      address: callersAddress(this, index),
      method: 'POST',
      path: '/v1/completions',
      body: completionBody(4, false),
    }),
  );
  const answers = await Promise.all(sent);
  for (const answer of answers) assert.equal(answer.headers['acaciadrum-outcome'], 'complete');
  const requested = this.fleet.servers.map(
    ({ daemon }, index) => daemon.requestedStreams.size - before[index],
  );
  assert.equal(requested[this.fleet.servers.indexOf(this.affectedServer)], 0);
  // Every stream begins at some server, so the others have counted all of them.
  assert.ok(requested.reduce((sum, count) => sum + count, 0) >= sent.length);
  await this.fleet.file(serverTicket(this, this.affectedServer, false, 'Back in service.'));
});

When(
  'every instance is replaced in turn while streams are sent',
  async function run(this: FleetWorld) {
    const { fleet } = this;
    const before = fleet.entries.length;
    let stop = false;
    this.answers = [];
    const worker = async (index: number): Promise<void> => {
      while (!stop) {
        // Like a load balancer, sends only to instances whose /readyz reports ready.
        const ready = fleet.entries.filter(({ entry }) => entry.core.ticketFollower.isReady);
        const address = ready[(index + this.answers.length) % ready.length].addresses.callers;
        this.answers.push(
          await sendRequest({
            address,
            method: 'POST',
            path: '/v1/completions',
            body: completionBody(20, true),
          }),
        );
      }
    };
    const workers = Array.from({ length: 8 }, (_, index) => worker(index));
    for (let replaced = 0; replaced < before; replaced += 1) {
      const [old] = fleet.entries;
      const fresh = await fleet.startEntry(
        `${old.failureDomain}-fresh-${replaced}`,
        old.failureDomain,
      );
      await waitUntil(() => fresh.entry.core.ticketFollower.isReady);
      fleet.entries.shift();
      fleet.platform.memory.instances.delete(old.name);
      await old.entry.stop();
    }
    stop = true;
    await Promise.all(workers);
  },
);

Then(
  'every stream is complete, no ticket went back and all instances hold the same ticket',
  function check(this: FleetWorld) {
    assert.ok(this.answers.length > 20);
    for (const answer of this.answers)
      assert.ok(parseStream(answer.body).whole, answer.body.slice(-200));
    const numbers = this.fleet.entries.map(({ entry }) => entry.core.configuration.ticketNumber);
    assert.equal(new Set(numbers).size, 1);
    assert.equal(this.fleet.countViolations(), 0);
  },
);
