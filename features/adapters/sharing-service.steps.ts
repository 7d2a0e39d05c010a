import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  Client,
  credentials,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import type { ConnectionEnd } from '../../src/adapters/http/GuardedConnection.js';
import { SystemClock } from '../../src/adapters/SystemClock.js';
import { ConnectionBudget } from '../../src/core/limits/ConnectionBudget.js';
import { MemoryBudget } from '../../src/core/limits/MemoryBudget.js';
import { SharingService, type SharingHandler } from '../../src/adapters/grpc/SharingService.js';
import { WorkScope, type PeerDigest } from '../../src/core/peers/Types.js';
import { freeAddress, pause } from '../platform/Ports.js';

interface SharingServiceWorld {
  service: SharingService;
  peer: SharingService;
  address: string;
  reported: Error[];
  rejected: number;
  memory: MemoryBudget;
  closed: ConnectionEnd[];
  answers: PeerDigest[];
}

/** Time within which what a connection holds is counted again, in milliseconds. */
const COUNTED_MS = 100;

const DIGEST: PeerDigest = {
  from: { instance: 'peer', address: '', failureDomain: 'a', incarnation: 1, capacity: 0 },
  leaving: false,
  ticket: 0,
  work: { scope: WorkScope.Instance, instances: 1, shares: [], retries: [] },
  changes: { from: 0, to: 0 },
  records: [],
  peers: [],
};

function handlerOf(reported: Error[]): SharingHandler {
  return {
    receiveDigest: () => {
      throw new TypeError('The digest has no work report.');
    },
    updateSince: () => undefined,
    handleFailure: (error) => reported.push(error),
  };
}

Given('a sharing service that cannot apply digests', async function set(this: SharingServiceWorld) {
  this.reported = [];
  this.rejected = 0;
  this.address = await freeAddress();
  this.service = new SharingService(handlerOf(this.reported));
  await this.service.listen(this.address);
  this.peer = new SharingService(handlerOf([]));
});

When('a peer sends it {int} digests', async function run(this: SharingServiceWorld, count: number) {
  for (let sent = 0; sent < count; sent += 1) {
    try {
      await this.peer.send(this.address, DIGEST);
    } catch {
      this.rejected += 1;
    }
  }
});

Then(
  'both are rejected, and the service has reported {int} failures',
  function check(this: SharingServiceWorld, failures: number) {
    assert.equal(this.rejected, failures);
    assert.equal(this.reported.length, failures);
  },
);

const EXCHANGE = '/acaciadrum.Sharing/Exchange';

const FETCH = '/acaciadrum.Sharing/FetchUpdate';

/** Time after which a peer expects no reply any more, in milliseconds. */
const REPLY_MS = 600;

const asIs = (bytes: Buffer): Buffer => bytes;

/** A peer's server that replies to each digest with the same bytes. */
async function serveReply(address: string, reply: Buffer): Promise<Server> {
  const server = new Server();
  server.addService(
    {
      Exchange: {
        path: EXCHANGE,
        requestStream: true,
        responseStream: true,
        requestSerialize: asIs,
        requestDeserialize: asIs,
        responseSerialize: asIs,
        responseDeserialize: asIs,
      },
    },
    {
      Exchange: (stream: ServerDuplexStream<Buffer, Buffer>) => {
        stream.on('data', () => stream.write(reply));
        stream.on('error', () => undefined);
      },
    },
  );
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
      if (error) reject(error);
      else resolve();
    });
  });
  return server;
}

const MESSAGES: Readonly<
  Record<string, (world: SharingServiceWorld, bytes: Buffer) => Promise<void>>
> = {
  sends: async ({ address }, bytes) => {
    const client = new Client(address, credentials.createInsecure());
    const stream = client.makeBidiStreamRequest(EXCHANGE, asIs, asIs);
    const replies: unknown[] = [];
    stream.on('data', (reply) => replies.push(reply));
    stream.on('error', () => undefined);
    stream.write(bytes);
    await pause(REPLY_MS);
    assert.deepEqual(replies, []);
    stream.cancel();
    client.close();
  },
  'asks with': async ({ address }, bytes) => {
    const client = new Client(address, credentials.createInsecure());
    const error = await new Promise((resolve) => {
      client.makeUnaryRequest(FETCH, asIs, asIs, bytes, (failure) => resolve(failure));
    });
    assert.ok(error !== null);
    client.close();
  },
  'is asked, and replies': async ({ service }, bytes) => {
    const address = await freeAddress();
    const peer = await serveReply(address, bytes);
    await assert.rejects(service.send(address, DIGEST));
    peer.forceShutdown();
  },
};

const ANSWERING: SharingHandler = {
  receiveDigest: ({ ticket }) => ({ ...DIGEST, ticket }),
  updateSince: () => undefined,
  handleFailure: () => undefined,
};

Given('a sharing service that answers', async function set(this: SharingServiceWorld) {
  this.address = await freeAddress();
  this.service = new SharingService(ANSWERING);
  await this.service.listen(this.address);
  this.peer = new SharingService(handlerOf([]));
});

Given(
  'a sharing service that answers, with a budget of {int} kB for messages',
  async function set(this: SharingServiceWorld, kb: number) {
    this.address = await freeAddress();
    this.memory = new MemoryBudget(new SystemClock(), kb * 1000);
    this.closed = [];
    this.service = new SharingService(ANSWERING, {
      memory: this.memory,
      connections: new ConnectionBudget(new SystemClock(), 10),
      onConnectionEnd: (end) => this.closed.push(end),
    });
    await this.service.listen(this.address);
    this.peer = new SharingService(handlerOf([]));
  },
);

When(
  'a peer sends it {int} digests of {int} kB on one connection',
  async function run(this: SharingServiceWorld, count: number, kb: number) {
    const from = { ...DIGEST.from, address: 'x'.repeat(kb * 1000) };
    this.answers = [];
    for (let ticket = 1; ticket <= count; ticket += 1)
      this.answers.push(await this.peer.send(this.address, { ...DIGEST, from, ticket }));
    await pause(COUNTED_MS);
  },
);

Then(
  'all are answered, nothing of them is counted, and no connection was closed',
  function check(this: SharingServiceWorld) {
    assert.deepEqual(
      this.answers.map(({ ticket }) => ticket),
      this.answers.map((_answer, index) => index + 1),
    );
    assert.equal(this.memory.used, 0);
    assert.deepEqual(this.closed, []);
  },
);

When(
  /^a peer (sends|asks with|is asked, and replies) "(.+)"$/,
  async function run(this: SharingServiceWorld, does: string, message: string) {
    await MESSAGES[does](this, Buffer.from(message));
  },
);

Then(
  'the peer gets no digest, and the service answers the next digest',
  async function check(this: SharingServiceWorld) {
    assert.equal((await this.peer.send(this.address, { ...DIGEST, ticket: 9 })).ticket, 9);
  },
);

After(function stop(this: SharingServiceWorld) {
  this.peer?.dispose();
  this.service?.dispose();
});
