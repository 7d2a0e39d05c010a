/** Decodes what backend servers publish about themselves into the router's own types. */
import { z } from 'zod';
import type { LayerSpan, BackendServer } from '../core/deployment/Types.js';

/** Highest number of layers that an entry may state; the largest models have some hundreds. */
const MAX_LAYERS = 4096;

/** Ids are sent as a header, so they may have visible ASCII characters only. */
const ID = /^[\x21-\x7e]+$/;

const OCTET = '(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)';

const ADDRESS = new RegExp(`^${OCTET}(?:\\.${OCTET}){3}:(\\d{1,5})$`);

const MAX_PORT = 65_535;

/** Whether a text is an IPv4 address and a port to which a connection can be opened. */
function isAddress(text: string): boolean {
  const port = Number(ADDRESS.exec(text)?.[1] ?? 0);
  return port > 0 && port <= MAX_PORT;
}

/**
 * Layers that a server holds. Entries and reports name them `layer_count`, which in the configuration is a
 * number.
 */
const SPAN = z.object({
  source: z.int().nonnegative(),
  to: z.int().positive().max(MAX_LAYERS),
});

const ENTRY = z.object({
  service: z.string(),
  address: z.string().refine(isAddress),
  zone: z.string(),
  slots: z.int().nonnegative().default(1),
  /** How much longer the server remains slow, in milliseconds. A bad hint makes no entry invalid. */
  cold_left_ms: z.number().nonnegative().optional().catch(undefined),
  state: z.enum(['ready', 'draining']),
  /** Unix time at which the server started, in milliseconds. */
  born: z.int().nonnegative().default(0),
  /** Accelerator type. On a route, the same name says whether requests may be repeated. */
  route_kind: z.string().default(''),
  layer_count: z.unknown().optional(),
});

/** Decodes the span of layers that a server holds; undefined if it holds none. */
export function decodeSpan(value: unknown): LayerSpan | undefined {
  const first: unknown = Array.isArray(value) ? value[0] : value;
  const parsed = SPAN.safeParse(first);
  if (!parsed.success || parsed.data.to <= parsed.data.source) return undefined;
  return { from: parsed.data.source, to: parsed.data.to };
}

/** Decodes a server's entry; undefined if another writer stored something that is not a valid entry. */
export function decodeServer(
  id: string,
  revision: number,
  value: unknown,
): BackendServer | undefined {
  const parsed = ENTRY.safeParse(value);
  if (!parsed.success || !ID.test(id)) return undefined;
  const { data } = parsed;
  return {
    id,
    revision,
    incarnation: data.born,
    service: data.service,
    address: data.address,
    failureDomain: data.zone,
    leaving: data.state === 'draining',
    slots: data.slots,
    ...(data.cold_left_ms !== undefined && { coldLeftMs: data.cold_left_ms }),
    accelerator: data.route_kind,
    span: decodeSpan(data.layer_count),
  };
}
