import assert from 'node:assert/strict';
import { connect as connectPeer, type ClientHttp2Session } from 'node:http2';
import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import { RouterProcess } from '../soak/RouterProcess.js';
import type { FakeStore } from './FakeStore.js';
import type { HostileCrowd } from './HostileCrowd.js';
import { unreadBytes } from './NetTables.js';
import { pause } from './Ports.js';
import { sendRequest } from './RouterFixture.js';
import { configuration } from './SampleConfiguration.js';

interface CrowdWorld extends World {
  hostileStore: FakeStore;
  hostileRouter: RouterProcess;
  crowd: HostileCrowd;
  peakMemoryMb: number;
  mostDescriptors: number;
  unreadSampler: NodeJS.Timeout;
  mostUnreadMb: number;
  mostTogetherMb: number;
  hostilePeers: ClientHttp2Session[];
}

const SAMPLE_MS = 50;

const STEP_LIMIT_MS = 60_000;

/** Guard against a process that hangs: an ordinary caller waits for as long as its deadline, in milliseconds. */
const DEADLINE_MS = 15_000;

/** Guard against a process that does not end, in milliseconds. */
const EXIT_LIMIT_MS = 30_000;

const CHANGE_MS = 500;

const PEER_ACTS_MS = 4000;

const MESSAGE_PIECE_BYTES = 100_000;

Given('what it reads and has not read is watched', function watch(this: CrowdWorld) {
  const { listeners } = this.hostileRouter;
  const ports = new Set(
    Object.values(listeners).map((address) => Number(address.split(':').at(-1))),
  );
  this.mostUnreadMb = 0;
  this.mostTogetherMb = 0;
  this.unreadSampler = setInterval(() => {
    const unreadMb = unreadBytes(ports) / 1e6;
    this.mostUnreadMb = Math.max(this.mostUnreadMb, unreadMb);
    this.mostTogetherMb = Math.max(
      this.mostTogetherMb,
      unreadMb + this.hostileRouter.residentMemoryMb,
    );
  }, SAMPLE_MS);
});

Then(
  'an ordinary request is answered, when the crowd has left',
  { timeout: STEP_LIMIT_MS },
  async function check(this: CrowdWorld) {
    this.crowd.dispose();
    const { callersAddress } = this.hostileRouter;
    const answer = await Promise.race([
      sendRequest(callersAddress, 'afterwards', '/read/', { 'x-deadline-ms': `${DEADLINE_MS}` }),
      pause(DEADLINE_MS),
    ]);
    assert.ok(answer !== undefined, 'the process hangs');
    assert.equal(answer.status, 200);
    assert.ok(answer.isComplete);
  },
);

Then(
  'with what it had not read, it never took more than {int} MB',
  function check(this: CrowdWorld, mb: number) {
    assert.ok(this.mostTogetherMb > 0 && this.mostTogetherMb <= mb, `${this.mostTogetherMb} MB`);
  },
);

When('the store gets its configuration', function put(this: CrowdWorld) {
  this.hostileStore.put('op', 'config', configuration(2));
});

When(
  'configurations with limits of bodies of {int} and {int} bytes follow each other',
  async function change(this: CrowdWorld, small: number, large: number) {
    for (const [index, maxBodyBytes] of [small, large, small, large].entries()) {
      const base = configuration(index + 2);
      const limits = { ...base.limits, max_body_bytes: maxBodyBytes };
      this.hostileStore.put('op', 'config', { ...base, limits });
      await pause(CHANGE_MS);
    }
  },
);

Then(
  'the process ends by itself after SIGTERM',
  { timeout: STEP_LIMIT_MS },
  async function check(this: CrowdWorld) {
    const exited = this.hostileRouter.waitForExit(EXIT_LIMIT_MS);
    this.hostileRouter.signal('SIGTERM');
    assert.equal(await exited, 0);
  },
);

Then(
  'it never had more than {int} MB or {int} descriptors',
  function check(this: CrowdWorld, memoryMb: number, descriptors: number) {
    assert.ok(this.peakMemoryMb > 0 && this.peakMemoryMb <= memoryMb, `${this.peakMemoryMb} MB`);
    assert.ok(this.mostDescriptors <= descriptors, `${this.mostDescriptors} descriptors`);
  },
);

/** Begins one gRPC message, and sends it but for its last bytes. */
async function sendMessage(peer: ClientHttp2Session, bytes: number): Promise<void> {
  const stream = peer.request({
    ':method': 'POST',
    ':path': '/acaciadrum.Sharing/Exchange',
    'content-type': 'application/grpc',
    te: 'trailers',
  });
  stream.on('error', () => undefined);
  stream.setMaxListeners(0);
  stream.resume();
  const prefix = Buffer.alloc(5);
  prefix.writeUInt32BE(bytes, 1);
  stream.write(prefix);
  const piece = Buffer.alloc(MESSAGE_PIECE_BYTES, ' ');
  for (let sent = MESSAGE_PIECE_BYTES; sent < bytes && !stream.destroyed; sent += piece.length) {
    if (stream.write(piece)) continue;
    await new Promise((resolve) => {
      stream.once('drain', resolve);
      stream.once('close', resolve);
    });
  }
}

When(
  '{int} peers each begin {int} messages of {int} bytes, and stop just short of their end',
  { timeout: STEP_LIMIT_MS },
  async function run(this: CrowdWorld, peers: number, messages: number, bytes: number) {
    this.hostilePeers = [];
    for (let number = 0; number < peers; number += 1) {
      const peer = connectPeer(`http://${this.hostileRouter.peersAddress}`);
      peer.on('error', () => undefined);
      this.hostilePeers.push(peer);
      for (let message = 0; message < messages; message += 1) sendMessage(peer, bytes);
    }
    await pause(PEER_ACTS_MS);
  },
);

After(function stop(this: CrowdWorld) {
  for (const peer of this.hostilePeers ?? []) peer.destroy();
  if (this.unreadSampler === undefined) return;
  clearInterval(this.unreadSampler);
  this.log(
    `${Math.round(this.mostTogetherMb)} MB with ${Math.round(this.mostUnreadMb)} MB not read`,
  );
});
