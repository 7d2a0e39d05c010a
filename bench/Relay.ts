/** Measures how many tokens one entry instance relays on one core, through real sockets. */
import { createHash } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { Worker } from 'node:worker_threads';
import { stringify } from 'yaml';
import { HttpClient } from '../src/adapters/http/HttpClient.js';
import { ObjectKind } from '../src/core/tickets/Types.js';
import { EntryInstance } from '../src/entry/EntryInstance.js';
import { ENTRY_SETTINGS } from '../src/entry/Settings.js';
import { PlatformServer } from '../src/fakes/PlatformServer.js';
import { waitUntil } from '../src/fakes/DemoFleet.js';

/** Task of a worker thread. */
export interface RelayTask {
  readonly role: 'engine' | 'callers';
  /** Address of the entry instance that the callers send to; empty for the engine. */
  readonly address: string;
  readonly key: string;
  readonly pipeline: string;
  readonly streams: number;
  readonly tokens: number;
  /** Time between the tokens of a stream, in milliseconds. */
  readonly gapMs: number;
}

/** Result of a relay run. */
export interface RelayResult {
  readonly tokensPerS: number;
  /** Fraction of the time in which the event loop of the entry instance was busy. */
  readonly loopBusy: number;
  /** Tokens per second that a fully used core relays at this cost per token. */
  readonly tokensPerCoreS: number;
  /** Heap of the main thread, with the entry instance, at the end; in units of 2^20 bytes. */
  readonly heapMb: number;
  /** Time from the engine's write to the caller's read, in microseconds. */
  readonly delayP50Us: number;
  readonly delayP99Us: number;
}

const KEY = 'relay-key';
const OPERATOR_TOKEN = 'relay-operator-token';
const PIPELINE = 'relay';
const ANY_PORT = '127.0.0.1:0';
const TIMEOUT_MS = 10_000;

interface WorkerMessage {
  /** Address that the engine listens at; empty from the callers. */
  readonly address: string;
  readonly delayUs?: { readonly p50: number; readonly p99: number };
}

function startWorker(task: RelayTask): { worker: Worker; message: Promise<WorkerMessage> } {
  const worker = new Worker(new URL('./RelayWorker.js', import.meta.url), { workerData: task });
  const message = new Promise<WorkerMessage>((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  return { worker, message };
}

function ticketFor(address: string): string {
  const keyHashes = [createHash('sha256').update(KEY).digest('hex')];
  const limits = { keyHashes, requestsPerSecond: 1e9, concurrency: 1e9 };
  const layerRanges = [{ pipeline: PIPELINE, from: 0, to: 32 }];
  return stringify({
    author: 'bench',
    reason: 'Relay bench.',
    changes: [
      { kind: ObjectKind.ClientAccount, name: 'bench', base: 0, state: limits },
      {
        kind: ObjectKind.Pipeline,
        name: PIPELINE,
        base: 0,
        state: { layers: 32, layerMs: { any: 0.0001 } },
      },
      {
        kind: ObjectKind.BackendServer,
        name: 'engine',
        base: 0,
        state: { address, failureDomain: 'bench', accelerator: 'any', layerRanges },
      },
    ],
  });
}

/**
 * Relays concurrent streams and measures the event loop of the entry instance.
 * @param tokens - tokens of each stream
 * @param gapMs - time between the tokens of a stream, in milliseconds
 */
export async function measureRelay(
  streams: number,
  tokens: number,
  gapMs: number,
): Promise<RelayResult> {
  const task = { key: KEY, pipeline: PIPELINE, streams, tokens, gapMs };
  const platform = new PlatformServer();
  const platformAddress = await platform.listen(ANY_PORT);
  const engine = startWorker({ ...task, role: 'engine', address: '' });
  const { address } = await engine.message;
  const entry = new EntryInstance(
    ENTRY_SETTINGS.parse({
      instance: 'bench-1',
      failureDomain: 'bench',
      callers: { address: ANY_PORT },
      operators: { address: ANY_PORT, token: OPERATOR_TOKEN },
      peers: { address: ANY_PORT, secret: 'relay-peer-secret-0' },
      platform: { address: platformAddress },
    }),
  );
  const client = new HttpClient();
  try {
    const addresses = await entry.start();
    await waitUntil(() => entry.core.ticketFollower.isReady);
    const body = ticketFor(address);
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    await client.call({
      address: addresses.operators,
      method: 'POST',
      path: '/tickets',
      headers,
      body,
      timeoutMs: TIMEOUT_MS,
    });
    await waitUntil(() => entry.core.configuration.ticketNumber === 1);
    const before = performance.eventLoopUtilization();
    const startedAt = performance.now();
    const callers = startWorker({ ...task, role: 'callers', address: addresses.callers });
    const { delayUs } = await callers.message;
    const seconds = (performance.now() - startedAt) / 1000;
    const { active } = performance.eventLoopUtilization(before);
    await callers.worker.terminate();
    const expectedTokens = streams * tokens;
    return {
      tokensPerS: Math.round(expectedTokens / seconds),
      loopBusy: Math.round((active / 1000 / seconds) * 1000) / 1000,
      tokensPerCoreS: Math.round(expectedTokens / (active / 1000)),
      delayP50Us: delayUs?.p50 ?? 0,
      delayP99Us: delayUs?.p99 ?? 0,
      heapMb: Math.round(process.memoryUsage().heapUsed / 2 ** 20),
    };
  } finally {
    await engine.worker.terminate();
    await entry.dispose();
    await platform.close();
    client.dispose();
  }
}
