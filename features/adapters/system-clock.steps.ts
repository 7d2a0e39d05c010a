import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { SystemClock } from '../../src/adapters/SystemClock.js';
import { pause } from '../platform/Ports.js';

interface SystemClockWorld {
  answeringThread: Worker;
  answerSocket: Socket;
  /** What happened, in order. */
  order: string[];
}

/** Time after which both the answer and the timer have come, in milliseconds. */
const OBSERVED_MS = 700;

/** Answers each connection; its thread goes on while that of the test stands. */
const ANSWERING_THREAD = `
  const { workerData, parentPort } = require('node:worker_threads');
  const server = require('node:net').createServer((socket) => {
    socket.on('data', () => setTimeout(() => socket.write('answer'), workerData));
    socket.on('error', () => {});
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

Given(
  'an answer that another thread sends after {int} ms',
  async function set(this: SystemClockWorld, ms: number) {
    this.answeringThread = new Worker(ANSWERING_THREAD, { eval: true, workerData: ms });
    const [port] = (await once(this.answeringThread, 'message')) as [number];
    this.answerSocket = connect({ host: '127.0.0.1', port });
    await once(this.answerSocket, 'connect');
    this.order = [];
  },
);

/** Keeps the thread from running anything else. */
function stand(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

When(
  'a timer of {int} ms runs beside it, and the process stands for {int} ms',
  async function run(this: SystemClockWorld, timerMs: number, stallMs: number) {
    const timer = new SystemClock().schedule(timerMs, () => this.order.push('timer'));
    this.answerSocket.write('request');
    this.answerSocket.once('data', () => {
      this.order.push('answer');
      timer.dispose();
    });
    // The loop looks for due timers next, and for input after that.
    if (stallMs > 0) setImmediate(() => stand(stallMs));
    await pause(OBSERVED_MS);
  },
);

Then('first comes {string}', function check(this: SystemClockWorld, first: string) {
  assert.equal(this.order[0], first);
});

Then('the answer stops the timer for good', function check(this: SystemClockWorld) {
  assert.deepEqual(this.order, ['answer']);
});

After(async function stop(this: SystemClockWorld) {
  this.answerSocket?.destroy();
  await this.answeringThread?.terminate();
});
