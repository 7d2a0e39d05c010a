/** Worker thread of the relay bench: runs either the engine that sends tokens, or the callers. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, createServer, request } from 'node:http';
import { parentPort, workerData } from 'node:worker_threads';
import { readBody } from '../src/adapters/http/BodyReader.js';
import { encodeEnd, encodeToken } from '../src/adapters/http/TokenFrames.js';

import { hostAndPort } from '../src/adapters/http/HttpClient.js';
import { FinishReason, VALUES_PER_HOP, type StreamOpening } from '../src/core/streams/Types.js';
import type { RelayTask } from './Relay.js';

const MAX_BODY_BYTES = 1024 * 1024;
const NS_PER_US = 1000n;
const TIMESTAMP_US_PATTERN = /"text":" (\d+)"/g;
const task = workerData as RelayTask;

function sendTokens(opening: StreamOpening, write: (chunk: Buffer) => void, end: () => void): void {
  const hops = new Int32Array(opening.stages.length * VALUES_PER_HOP);
  for (const [hop, { from, to }] of opening.stages.entries())
    hops.set([from, to, opening.epoch], hop * VALUES_PER_HOP);
  let index = 0;
  const timer = setInterval(() => {
    write(
      encodeToken({
        epoch: opening.epoch,
        index,
        // The callers' thread reads the same monotonic clock.
        text: ` ${process.hrtime.bigint() / NS_PER_US}`,
        hops,
        hopCount: opening.stages.length,
      }),
    );
    index += 1;
    if (index < opening.maxTokens) return;
    clearInterval(timer);
    write(encodeEnd(FinishReason.Length, index));
    end();
  }, task.gapMs);
}

function startEngine(): void {
  const server = createServer((incoming, response) => {
    readBody(incoming, MAX_BODY_BYTES).then((body) => {
      if (incoming.url !== '/v1/streams') {
        response.end('{"busyMs":0,"leaving":false}');
        return;
      }
      const opening = JSON.parse(body.toString()) as StreamOpening;
      response.writeHead(200);
      sendTokens(
        opening,
        (chunk) => response.write(chunk),
        () => response.end(),
      );
    });
  });
  server.listen(0, '127.0.0.1', () => {
    parentPort?.postMessage({
      address: `127.0.0.1:${(server.address() as { port: number }).port}`,
    });
  });
}

/** Records the delay of each token in a chunk since the engine wrote it. */
function recordDelays(chunk: string, delays: Histogram): void {
  const now = process.hrtime.bigint() / NS_PER_US;
  for (const [, timestamp] of chunk.matchAll(TIMESTAMP_US_PATTERN))
    delays.recordValue(Number(now - BigInt(timestamp)));
}

function callOnce(agent: Agent, delays: Histogram): Promise<void> {
  return new Promise((resolve) => {
    const outgoing = request(
      {
        ...hostAndPort(task.address),
        agent,
        method: 'POST',
        path: '/v1/completions',
        headers: { authorization: `Bearer ${task.key}`, 'content-type': 'application/json' },
      },
      (response) => {
        response.on('data', (chunk: Buffer) => recordDelays(chunk.toString(), delays));
        response.on('end', resolve);
      },
    );
    outgoing.end(
      JSON.stringify({ model: task.pipeline, prompt: 'x', max_tokens: task.tokens, stream: true }),
    );
  });
}

async function runCallers(): Promise<void> {
  const agent = new Agent({ keepAlive: true });
  const delays = build({ highestTrackableValue: 60_000_000 });
  await Promise.all(Array.from({ length: task.streams }, () => callOnce(agent, delays)));
  agent.destroy();
  const delayUs = { p50: delays.getValueAtPercentile(50), p99: delays.getValueAtPercentile(99) };
  parentPort?.postMessage({ address: '', delayUs });
}

if (task.role === 'engine') startEngine();
else runCallers();
