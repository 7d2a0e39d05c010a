/** Decodes the operator's configuration into a `Deployment`, the router's own form of it. */
import { z } from 'zod';
import {
  RouteKind,
  type Deployment,
  type EngineProfile,
  type RequestRoute,
  type Service,
} from '../core/deployment/Types.js';

const ROUTE_KINDS: Readonly<Record<string, RouteKind>> = {
  idempotent: RouteKind.Idempotent,
  non_idempotent: RouteKind.NonIdempotent,
  streaming: RouteKind.Streaming,
};

/** Rank of routes for which the operators state none. */
const DEFAULT_RANK = 1;

const ROUTE = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  route_kind: z.string(),
  timeout_ms: z.number(),
  service: z.string().optional(),
  split: z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
  attempts: z.number().default(1),
  public: z.boolean().default(false),
  resumable: z.boolean().default(false),
  /** Rank of the requests: 0 is the most urgent one, although the name suggests that more is more urgent. */
  priority: z.number().int().nonnegative().default(DEFAULT_RANK),
  /** Time to the answer, or to a stream's first event, within which it is on time. */
  slo_ms: z.number().positive().optional(),
  /** Longest pause between events of a stream that is on time; not a target to aim at. */
  target_itl_ms: z.number().positive().optional(),
});

/** Prompt tokens in one step, assumed where the operators state none. */
const DEFAULT_PREFILL_CHUNK_TOKENS = 512;

const ENGINE = z.object({
  /** KV cache bytes for each token, over all layers. */
  kv_token_bytes: z.number(),
  step_ms: z.number(),
  /** Time that each request that is writing adds to a step. */
  per_seq_ms: z.number().default(0),
  /** Time that 1,000 tokens of context of a request that is writing add to a step. */
  context_per_k: z.number().default(0),
  steps_per_pass: z.number().default(1),
  /** Maximum number of prompt tokens that are read in one step. */
  chunk: z.number().positive().default(DEFAULT_PREFILL_CHUNK_TOKENS),
  /** Prompt tokens that a whole model processes per second. */
  read_per_s: z.number(),
  usual: z.object({ prompt: z.number(), answer: z.number() }).optional(),
  /**
   * Number of layers of the whole model. Servers use the same name for the range of layers that they hold.
   */
  layer_count: z.number(),
  layer_size_mb: z.number(),
  activation_bytes: z.number().default(0),
  cross_zone_mbps: z.number().default(10_000),
  layer_kinds: z.array(
    z.object({
      name: z.string(),
      /** Memory of the accelerator in MB, not the size of a layer. */
      size_mb: z.number(),
      pace: z.number(),
      read_factor: z.number(),
    }),
  ),
});

const SERVICE = z.object({
  name: z.string(),
  inference_engine: z.unknown().optional(),
});

/** Size of a head where the operators state none, in bytes. */
const DEFAULT_HEADER_BYTES = 16_384;

const CONFIGURATION = z.object({
  version: z.number(),
  routes: z.array(ROUTE),
  services: z.array(SERVICE),
  limits: z.object({
    max_header_bytes: z.number().positive().default(DEFAULT_HEADER_BYTES),
    max_body_bytes: z.number(),
    header_timeout_ms: z.number(),
    idle_timeout_ms: z.number(),
  }),
  tenants: z
    .array(
      z.object({
        name: z.string(),
        api_keys: z.array(z.string()),
        priority: z.number().int().nonnegative().optional(),
      }),
    )
    .optional(),
});

const BYTES_PER_MB = 1e6;

/** Mean numbers of tokens, assumed where the operator gives none. */
const DEFAULT_USUAL_TOKENS = { prompt: 512, answer: 128 };

function toRoute(wire: z.output<typeof ROUTE>): RequestRoute | undefined {
  const kind = ROUTE_KINDS[wire.route_kind];
  const shares = wire.split ?? [{ service: wire.service ?? '', weight: 1 }];
  if (kind === undefined) return undefined;
  return {
    name: wire.name,
    host: wire.host,
    prefix: wire.prefix,
    kind,
    resumable: wire.resumable,
    shares,
    maxServers: Math.max(1, wire.attempts),
    timeoutMs: wire.timeout_ms,
    isPublic: wire.public,
    rank: wire.priority,
    objectiveMs: wire.slo_ms,
    maxGapMs: wire.target_itl_ms,
  };
}

function toEngine(value: unknown): EngineProfile | undefined {
  const parsed = ENGINE.safeParse(value);
  if (!parsed.success) return undefined;
  const { data } = parsed;
  const usual = data.usual ?? DEFAULT_USUAL_TOKENS;
  return {
    layers: data.layer_count,
    layerMb: data.layer_size_mb,
    tokenMb: data.kv_token_bytes / BYTES_PER_MB,
    stepMs: data.step_ms,
    sequenceStepMs: data.per_seq_ms,
    contextStepMs: data.context_per_k,
    stepsPerPass: data.steps_per_pass,
    prefillChunkTokens: data.chunk,
    readTokensPerMs: data.read_per_s / 1000,
    activationBytes: data.activation_bytes,
    crossDomainMbps: data.cross_zone_mbps,
    usualPromptTokens: usual.prompt,
    usualAnswerTokens: usual.answer,
    accelerators: new Map(
      data.layer_kinds.map((kind) => [
        kind.name,
        {
          name: kind.name,
          memoryMb: kind.size_mb,
          stepFactor: kind.pace,
          readFactor: kind.read_factor,
        },
      ]),
    ),
  };
}

function toService(wire: z.output<typeof SERVICE>): Service {
  return {
    name: wire.name,
    engine: toEngine(wire.inference_engine),
  };
}

/**
 * Decodes a configuration; undefined if the value is not a valid one. Routes of an unknown kind are skipped,
 * and a service whose engine is invalid is treated as a plain service.
 */
export function decodeDeployment(value: unknown): Deployment | undefined {
  const parsed = CONFIGURATION.safeParse(value);
  if (!parsed.success) return undefined;
  const { data } = parsed;
  const routes: RequestRoute[] = [];
  for (const wire of data.routes) {
    const route = toRoute(wire);
    if (route !== undefined) routes.push(route);
  }
  return {
    ticket: data.version,
    routes,
    services: new Map(data.services.map((wire) => [wire.name, toService(wire)])),
    accounts: data.tenants?.map((account) => ({
      name: account.name,
      keys: account.api_keys,
      rank: account.priority,
    })),
    limits: {
      maxHeaderBytes: data.limits.max_header_bytes,
      maxBodyBytes: data.limits.max_body_bytes,
      headerTimeoutMs: data.limits.header_timeout_ms,
      idleTimeoutMs: data.limits.idle_timeout_ms,
    },
  };
}
