// Configurations in the form of the users' pages, for a small deployment.
export const LAYERS = 80;

const ENGINE = {
  slots: 134,
  kv_token_bytes: 845_373,
  step_ms: 0.85,
  per_seq_ms: 0.005,
  context_per_k: 0.01,
  steps_per_pass: 4,
  chunk: 512,
  read_per_s: 196_000,
  usual: { prompt: 772, answer: 167 },
  layer_count: LAYERS,
  layer_size_mb: 1750,
  activation_bytes: 42_268,
  cross_zone_mbps: 13_000,
  layer_kinds: [
    { name: 'whole', size_mb: 200_000, pace: 1, read_factor: 1 },
    { name: 'half', size_mb: 100_000, pace: 1, read_factor: 1 },
  ],
};

/** A route with the values of the sheets where none are given. */
export function route(name, prefix, kind, service, rest = {}) {
  return {
    name,
    host: 'host',
    prefix,
    route_kind: kind,
    service,
    timeout_ms: 5000,
    slo_ms: 500,
    attempts: 2,
    priority: 1,
    public: false,
    ...rest,
  };
}

export function configuration(version, routes, rest = {}) {
  return {
    version,
    routes,
    services: [
      { name: 'engine', health_path: '/healthz', max_conns: 1058, inference_engine: ENGINE },
      { name: 'plain', health_path: '/healthz', max_conns: 96 },
      { name: 'other', health_path: '/healthz', max_conns: 96 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'account', api_keys: ['key-1'], priority: 1 }],
    ...rest,
  };
}
