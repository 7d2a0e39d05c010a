/** Predicts how long a request takes at a server, from the engine's profile and the work known there. */
import type { Accelerator, EngineProfile } from '../deployment/Types.js';
import type { OutstandingWork } from './ServerLoad.js';
import type { ServerCost } from './Types.js';

/** What a server can do with the layers that it holds. */
export interface ServerProfile {
  readonly layers: number;
  /** Held layers as a fraction of the engine's. */
  readonly share: number;
  /** KV cache that there is memory for besides the layers, in tokens times layers. */
  readonly kvCacheCapacity: number;
  /** Time to read one prompt token through all held layers, in milliseconds. */
  readonly prefillTokenMs: number;
  /** Time to read a prompt of usual length through one layer, in milliseconds. */
  readonly prefillLayerMs: number;
  /** Time of a decode step through all held layers with no request, in milliseconds. */
  readonly stepMs: number;
  /** Time that each running request adds to a step, in milliseconds. */
  readonly sequenceStepMs: number;
  /** Time that KV cache adds to a step, in milliseconds per token and layer. */
  readonly tokenLayerStepMs: number;
  /** Decode steps of one pass over all waiting work. */
  readonly stepsPerPass: number;
  /** Decode steps of an answer that count in the cost of a layer, divided by the held layers. */
  readonly weightedStepsPerLayer: number;
}

/** Share of a server's free memory that routes may use: answers can be longer than their estimate. */
const MEMORY_SHARE = 0.9;

/** Delay of the link to a server and of its answer, in milliseconds. */
const LINK_MS = 4;

/** Cost of a server whose memory is full, in milliseconds. */
const FULL_MEMORY_MS = 250;

/** Exponent with which the cost rises as memory fills. */
const MEMORY_FILL_EXPONENT = 3;

/**
 * Weight of the decode time of an answer relative to the prefill time of its prompt, which determines the
 * time to the first event.
 */
const ANSWER_WEIGHT = 0.03;

/** KV cache that a server has memory for besides its layers, in tokens times layers. */
export function kvCacheCapacity(
  engine: EngineProfile,
  accelerator: Accelerator,
  layers: number,
): number {
  const freeMb = (accelerator.memoryMb - layers * engine.layerMb) * MEMORY_SHARE;
  return Math.max(1, (freeMb * engine.layers) / engine.tokenMb);
}

/** @param layers - number of layers that the server holds */
export function profileServer(
  engine: EngineProfile,
  accelerator: Accelerator,
  layers: number,
): ServerProfile {
  const share = layers / engine.layers;
  const prefillTokenMs = (accelerator.readFactor / engine.readTokensPerMs) * share;
  const stepFactor = accelerator.stepFactor * share;
  return {
    layers,
    share,
    kvCacheCapacity: kvCacheCapacity(engine, accelerator, layers),
    prefillTokenMs,
    prefillLayerMs: (engine.usualPromptTokens * prefillTokenMs) / layers,
    stepMs: engine.stepMs * stepFactor,
    sequenceStepMs: engine.sequenceStepMs * stepFactor,
    tokenLayerStepMs: ((engine.contextStepMs / 1000) * stepFactor) / layers,
    stepsPerPass: engine.stepsPerPass,
    weightedStepsPerLayer: (ANSWER_WEIGHT * engine.usualAnswerTokens) / layers,
  };
}

/** Predicts the time of a decode step with the running requests, in milliseconds. */
function stepMs(profile: ServerProfile, { requests, tokenLayers }: OutstandingWork): number {
  return (
    profile.stepMs + requests * profile.sequenceStepMs + tokenLayers * profile.tokenLayerStepMs
  );
}

/**
 * Predicts what a stage adds to the gap between two events of a stream, in milliseconds.
 * @param layers - number of layers that the stage runs
 */
export function predictGap(profile: ServerProfile, work: OutstandingWork, layers: number): number {
  return (profile.stepsPerPass * stepMs(profile, work) * layers) / profile.layers;
}

/**
 * Cost of the memory that a request takes from others, in milliseconds.
 * @param fill - share of the memory that is known to be taken
 * @param unreportedFill - share that may have been taken since. It counts by the slope at the known share, so
 * that it makes a difference only between servers that could become full by it.
 */
function memoryCostMs(fill: number, unreportedFill: number): number {
  const weight = FULL_MEMORY_MS * fill ** (MEMORY_FILL_EXPONENT - 1);
  return weight * (fill + MEMORY_FILL_EXPONENT * unreportedFill);
}

/**
 * Predicts the costs of a request at a server: its wait, its own work, and the memory that others will need.
 * @param slowness - factor by which the server takes longer than its profile says
 * @param unreportedCache - KV cache of requests that are not in `work`, in tokens times layers
 */
export function predictCost(
  profile: ServerProfile,
  work: OutstandingWork,
  slowness: number,
  unreportedCache: number,
): ServerCost {
  const step = stepMs(profile, work);
  // A prompt counts in the work of all servers of its route, but is at one of them at a time.
  const presentTokens = work.readingTokens * Math.min(1, slowness * profile.share);
  const waitMs = (profile.stepsPerPass * step) / 2 + presentTokens * profile.prefillTokenMs;
  const fill = work.tokenLayers / profile.kvCacheCapacity;
  const unreportedFill = unreportedCache / profile.kvCacheCapacity;
  return {
    stageMs: LINK_MS + slowness * waitMs + memoryCostMs(fill, unreportedFill),
    layerMs: slowness * (profile.prefillLayerMs + profile.weightedStepsPerLayer * step),
  };
}
