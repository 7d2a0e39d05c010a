/**
 * Generates the fleets of the two users for the benches, at their present size: 40 servers of mixed
 * accelerators, with overlapping layer ranges and unequal link delays.
 */
import { SeededRandom } from '../src/fakes/SeededRandom.js';
import {
  ObjectKind,
  type BackendServer,
  type Change,
  type Pipeline,
} from '../src/core/tickets/Types.js';

export enum FleetProfile {
  Shamshyrak = 'shamshyrak',
  VakuParis = 'vaku-paris',
}

/** Sizes of the answers and prompts of a fleet's requests, in tokens. */
export interface Workload {
  readonly minAnswerTokens: number;
  readonly maxAnswerTokens: number;
  readonly promptTokens: number;
}

/** A generated fleet with its workload. */
export interface Fleet {
  readonly pipeline: Pipeline;
  readonly servers: ReadonlyMap<string, BackendServer>;
  readonly domains: readonly string[];
  readonly workload: Workload;
  readonly accounts: readonly string[];
}

export const PIPELINE = 'model';

/** Target time from arrival to the first token, in milliseconds. */
export const FIRST_TOKEN_MS = 1300;

/** Target for the mean time between the tokens of an answer, in milliseconds. */
export const TOKEN_GAP_MS = 59;

/** Deadline of the pipeline, from arrival to the last token, in milliseconds. */
export const DEADLINE_MS = 15_000;

const SERVER_COUNT = 40;
const LAYER_COUNT = 48;
const ACCOUNT_COUNT = 10;

/** Layer ranges start at multiples of this number. */
const LAYER_ALIGNMENT = 4;

/** Shortest link delay of a server, in milliseconds. */
const MIN_LINK_MS = 0.02;

/** Ratio of the longest link delay to the shortest. */
const LINK_DELAY_RATIO = 100;

/**
 * Accelerator kinds, each with its time for one layer of one token and the number of layers that
 * fit in its memory.
 */
const ACCELERATOR_KINDS = [
  { name: 'k1', layerMs: 0.06, layers: 24 },
  { name: 'k2', layerMs: 0.09, layers: 20 },
  { name: 'k3', layerMs: 0.12, layers: 16 },
  { name: 'k4', layerMs: 0.18, layers: 12 },
  { name: 'k5', layerMs: 0.24, layers: 12 },
  { name: 'k6', layerMs: 0.3, layers: 8 },
];

const WORKLOADS: Readonly<Record<FleetProfile, Workload>> = {
  [FleetProfile.Shamshyrak]: { minAnswerTokens: 40, maxAnswerTokens: 120, promptTokens: 200 },
  [FleetProfile.VakuParis]: { minAnswerTokens: 20, maxAnswerTokens: 60, promptTokens: 400 },
};

/**
 * Returns the first layer of a server's range, chosen so that a domain's servers spread over all layers.
 * @param position - its fractional part places the range: 0 at the first layers, near 1 at the last
 */
function rangeStart(position: number, layers: number, random: SeededRandom): number {
  const last = (LAYER_COUNT - layers) / LAYER_ALIGNMENT;
  const evenStart = Math.round((position % 1) * last);
  const jitter = Math.floor(random.between(-1, 2));
  return Math.min(last, Math.max(0, evenStart + jitter)) * LAYER_ALIGNMENT;
}

function pipelineOf(): Pipeline {
  const layerMs: Record<string, number> = {};
  for (const kind of ACCELERATOR_KINDS) layerMs[kind.name] = kind.layerMs;
  return {
    layers: LAYER_COUNT,
    idempotent: true,
    maxTokens: 512,
    deadlineMs: DEADLINE_MS,
    firstTokenMs: FIRST_TOKEN_MS,
    tokenGapMs: TOKEN_GAP_MS,
    layerMs,
  };
}

/** Generates a fleet in which every failure domain covers all layers. */
export function generateFleet(profile: FleetProfile, seed: number): Fleet {
  const random = new SeededRandom(seed);
  const domains = [`${profile}-1`, `${profile}-2`, `${profile}-3`];
  const servers = new Map<string, BackendServer>();
  for (let index = 0; index < SERVER_COUNT; index += 1) {
    const failureDomain = domains[index % domains.length];
    const indexInDomain = Math.floor(index / domains.length);
    const kind =
      ACCELERATOR_KINDS[(indexInDomain + (index % domains.length)) % ACCELERATOR_KINDS.length];
    // The first four servers of a domain hold one copy of all layers, 12 each. The `k6` among those of the
    // third domain thus holds more layers than fit in its memory.
    const isInFirstCopy = indexInDomain < 4;
    const layers = isInFirstCopy ? LAYER_COUNT / 4 : kind.layers;
    const from = isInFirstCopy
      ? indexInDomain * layers
      : rangeStart((indexInDomain * 5) / 13, layers, random);
    servers.set(`s${index}`, {
      address: `s${index}`,
      failureDomain,
      accelerator: kind.name,
      layerRanges: [{ pipeline: PIPELINE, from, to: from + layers }],
      services: [],
      maxSequences: 64,
      linkMs: MIN_LINK_MS * LINK_DELAY_RATIO ** random.next(),
      leaving: false,
      checksFence: true,
    });
  }
  const accounts = Array.from({ length: ACCOUNT_COUNT }, (_, index) => `account-${index + 1}`);
  return { pipeline: pipelineOf(), servers, domains, workload: WORKLOADS[profile], accounts };
}

/** Returns the changes of the ticket that configures a fleet and its accounts. */
export function changesOf(fleet: Fleet): Change[] {
  const unlimited = { keyHashes: [], weight: 1, requestsPerSecond: 1e9, concurrency: 1e9 };
  return [
    { kind: ObjectKind.Pipeline, name: PIPELINE, base: 0, state: fleet.pipeline },
    ...fleet.accounts.map((name) => ({
      kind: ObjectKind.ClientAccount,
      name,
      base: 0,
      state: unlimited,
    })),
    ...[...fleet.servers].map(([name, state]) => ({
      kind: ObjectKind.BackendServer,
      name,
      base: 0,
      state,
    })),
  ];
}
