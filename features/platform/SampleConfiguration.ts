/** Configurations as an operator writes them, for tests with the fake store. */

/** Number of layers of the engine's model. */
export const LAYERS = 80;

/** Path prefix of the route of each kind: `Book` is the non-idempotent route, `Read` the idempotent one. */
export enum RoutePath {
  Stream = '/stream/',
  Book = '/book/',
  Read = '/read/',
}

/** Path prefix of a route whose streams may run only once. */
export const STREAM_ONCE_PATH = '/stream-once/';

const ROUTE = {
  host: 'host',
  timeout_ms: 5000,
  slo_ms: 500,
  priority: 1,
  public: false,
};

/**
 * Returns a configuration with an engine, a plain service and one account.
 * @param key - API key of the account
 */
export function configuration(version: number, key = 'key-1') {
  return {
    version,
    routes: [
      {
        ...ROUTE,
        name: 'stream',
        prefix: RoutePath.Stream,
        route_kind: 'streaming',
        service: 'engine',
        attempts: 2,
        resumable: true,
        target_itl_ms: 200,
      },
      {
        ...ROUTE,
        name: 'stream-once',
        prefix: STREAM_ONCE_PATH,
        route_kind: 'streaming',
        service: 'engine',
        attempts: 2,
        resumable: false,
        target_itl_ms: 200,
      },
      {
        ...ROUTE,
        name: 'book',
        prefix: RoutePath.Book,
        route_kind: 'non_idempotent',
        service: 'plain',
        attempts: 1,
      },
      {
        ...ROUTE,
        name: 'read',
        prefix: RoutePath.Read,
        route_kind: 'idempotent',
        service: 'plain',
        attempts: 2,
      },
    ],
    services: [
      {
        name: 'engine',
        health_path: '/healthz',
        max_conns: 100,
        inference_engine: {
          slots: 134,
          kv_token_bytes: 845_373,
          step_ms: 0.85,
          per_seq_ms: 0.005,
          read_per_s: 196_000,
          usual: { prompt: 772, answer: 167 },
          layer_count: LAYERS,
          layer_size_mb: 1750,
          activation_bytes: 42_268,
          cross_zone_mbps: 13_000,
          // `whole` is large enough for the whole model.
          layer_kinds: [{ name: 'whole', size_mb: 200_000, pace: 1, read_factor: 1 }],
        },
      },
      { name: 'plain', health_path: '/healthz', max_conns: 100 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'account', api_keys: [key], priority: 1 }],
  };
}
