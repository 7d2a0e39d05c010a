/** Validates change tickets. */
import { z } from 'zod';
import type { ValidationFault } from '../Failure.js';
import { objectKey } from './Configuration.js';
import { ObjectKind, type BackendServer, type ChangeTicket, type Pipeline } from './Types.js';

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'must be 1 to 63 characters of a-z, 0-9, dot and dash');
const ADDRESS = z
  .string()
  .regex(
    /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
    'must be an IP address and a port, such as 10.0.0.7:9000',
  );
const MAX_LAYERS = 10_000;

const clientAccount = z.strictObject({
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of the key in lower-case hex'))
    .min(1)
    .max(16),
  weight: z.number().positive().max(1000).default(1),
  requestsPerSecond: z.number().positive(),
  concurrency: z.number().int().positive(),
});

const pipeline = z.strictObject({
  layers: z.number().int().positive().max(MAX_LAYERS),
  idempotent: z.boolean().default(true),
  maxTokens: z.number().int().positive().default(1024),
  deadlineMs: z.number().int().positive().default(60_000),
  firstTokenMs: z.number().positive().default(1300),
  tokenGapMs: z.number().positive().default(59),
  layerMs: z.record(NAME, z.number().positive()),
});

const layerRange = z
  .strictObject({
    pipeline: NAME,
    from: z.number().int().nonnegative(),
    to: z.number().int().positive(),
  })
  .refine((range) => range.from < range.to, 'from must be less than to');

const backendServer = z.strictObject({
  address: ADDRESS,
  failureDomain: NAME,
  accelerator: NAME.default('none'),
  layerRanges: z.array(layerRange).max(64).default([]),
  services: z.array(NAME).max(64).default([]),
  maxSequences: z.number().int().positive().default(32),
  linkMs: z.number().nonnegative().default(0),
  leaving: z.boolean().default(false),
  checksFence: z.boolean().default(true),
});

const plainService = z.strictObject({
  rules: z
    .array(
      z.strictObject({
        method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
        path: z.string().startsWith('/', 'the path must start with /'),
        repeatable: z.boolean(),
      }),
    )
    .default([]),
  timeoutMs: z.number().int().positive().default(30_000),
});

const change = <K extends ObjectKind, S extends z.ZodType>(kind: K, state: S) =>
  z
    .strictObject({
      kind: z.literal(kind),
      name: NAME,
      base: z.number().int().nonnegative(),
      state: state.optional(),
      remove: z.literal(true).optional(),
    })
    .refine(
      (value) => (value.state === undefined) === (value.remove === true),
      'must have either the complete new state or remove: true',
    );

const ticketSchema = z.strictObject({
  author: z.string().min(1).max(100),
  reason: z.string().min(1).max(1000),
  changes: z
    .array(
      z.discriminatedUnion('kind', [
        change(ObjectKind.ClientAccount, clientAccount),
        change(ObjectKind.Pipeline, pipeline),
        change(ObjectKind.BackendServer, backendServer),
        change(ObjectKind.PlainService, plainService),
      ]),
    )
    .min(1)
    .max(500),
});

/** A valid ticket, or every fault of an invalid one. */
export interface CheckedTicket {
  readonly ticket?: ChangeTicket;
  readonly faults: readonly ValidationFault[];
}

/** Returns the line of a path within the document; 0 when it is unknown. */
export type LineFinder = (path: readonly PropertyKey[]) => number;

/** Page that tells operators which values the fields of a ticket accept. */
const TICKET_PAGE = '"The fields of a ticket" in docs/OPERATORS.md';

/**
 * Converts the issues of a schema check to faults with lines.
 * @param page - page that describes the fields; each remedy names it
 */
export function schemaFaults(
  error: z.ZodError,
  lineOf: LineFinder,
  page: string,
): ValidationFault[] {
  return error.issues.map((issue) => ({
    line: lineOf(issue.path),
    path: issue.path.join('.'),
    problem: issue.message,
    remedy: `See ${page} for the values that the field accepts.`,
  }));
}

function rangeFaults(
  server: BackendServer,
  pipelines: ReadonlyMap<string, Pipeline>,
  path: (string | number)[],
  lineOf: LineFinder,
): ValidationFault[] {
  const faults: ValidationFault[] = [];
  for (const [index, range] of server.layerRanges.entries()) {
    const at = [...path, 'layerRanges', index];
    const target = pipelines.get(range.pipeline);
    if (target === undefined) continue;
    if (range.to > target.layers) {
      faults.push({
        line: lineOf(at),
        path: at.join('.'),
        problem: `the layer range ends at ${range.to}, but pipeline ${range.pipeline} has ${target.layers} layers`,
        remedy: `Set the field "to" to ${target.layers} or less.`,
      });
    }
    if (target.layerMs[server.accelerator] === undefined) {
      faults.push({
        line: lineOf(at),
        path: at.join('.'),
        problem: `pipeline ${range.pipeline} has no layerMs for accelerator ${server.accelerator}`,
        remedy: `Add layerMs.${server.accelerator} to the pipeline.`,
      });
    }
  }
  return faults;
}

/**
 * Validates a ticket and reports all of its faults at once.
 * @param document - the parsed YAML document
 * @param lineOf - returns the line of a path
 * @param inForce - pipelines in force, against which layer ranges are checked
 */
export function checkTicket(
  document: unknown,
  lineOf: LineFinder = () => 0,
  inForce: ReadonlyMap<string, Pipeline> = new Map(),
): CheckedTicket {
  const parsed = ticketSchema.safeParse(document);
  if (!parsed.success) return { faults: schemaFaults(parsed.error, lineOf, TICKET_PAGE) };
  const changes = parsed.data.changes.map(({ remove: _remove, ...rest }) => rest);
  const ticket: ChangeTicket = { ...parsed.data, changes };
  const faults: ValidationFault[] = [];
  const seen = new Set<string>();
  const pipelines = new Map(inForce);
  for (const item of ticket.changes) {
    if (item.kind === ObjectKind.Pipeline && item.state)
      pipelines.set(item.name, item.state as Pipeline);
  }
  for (const [index, item] of ticket.changes.entries()) {
    const key = objectKey(item.kind, item.name);
    if (seen.has(key)) {
      faults.push({
        line: lineOf(['changes', index]),
        path: `changes.${index}`,
        problem: `${key} occurs more than once in the ticket`,
        remedy: 'Keep one change per object.',
      });
    }
    seen.add(key);
    if (item.kind === ObjectKind.BackendServer && item.state) {
      faults.push(
        ...rangeFaults(item.state as BackendServer, pipelines, ['changes', index, 'state'], lineOf),
      );
    }
  }
  return faults.length > 0 ? { faults } : { ticket, faults };
}

/** Keys of the objects that a ticket refers to but does not contain, sorted. */
export function externalReferences(ticket: ChangeTicket): string[] {
  const own = new Set<string>();
  const found = new Set<string>();
  for (const item of ticket.changes) {
    if (item.state !== undefined) own.add(objectKey(item.kind, item.name));
    if (item.kind !== ObjectKind.BackendServer || item.state === undefined) continue;
    const server = item.state as BackendServer;
    for (const range of server.layerRanges)
      found.add(objectKey(ObjectKind.Pipeline, range.pipeline));
    for (const service of server.services) found.add(objectKey(ObjectKind.PlainService, service));
  }
  return [...found].filter((key) => !own.has(key)).sort();
}
