/** Headers and paths of the platform's protocol. */

/** Headers, in lower case as Node's `http` gives them. */
export const HEADER = {
  requestId: 'x-attempt-id',
  deadlineMs: 'x-deadline-ms',
  /** Signature of the server that made an answer. */
  signature: 'x-server-seal',
  account: 'x-tenant',
  /** Id of the only server that may run the request. */
  expectedServer: 'x-expect-instance',
  /** States that the server did not run the request. */
  notExecuted: 'x-not-executed',
  /** Prompt tokens and most answer tokens. */
  tokens: 'x-token-count',
  /** Servers of the route with their layers; not a count, in spite of its name. */
  stages: 'x-hop-count',
  /** Server on the route that a refusal blames. */
  faultAddress: 'at-server',
  lastEvent: 'last-event-id',
} as const;

/** Statuses by which a server says that it did not run a request. */
export const MISDIRECTED = 421;

export const PATH = {
  ready: '/-/readyz',
  order: '/-/order',
  report: '/-/report',
  rowsRead: '/-/rows-get',
  rowsFeed: '/-/rows-feed',
  rowsTransact: '/-/rows-tx',
} as const;

/** Headers that concern one connection only. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Copies raw headers without those that concern only one connection.
 * @param raw - names and values by turns
 * @param excluded - further names to leave out, in lower case
 */
export function endToEndHeaders(raw: readonly string[], excluded: ReadonlySet<string>): string[] {
  let connectionOptions: Set<string> | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index].toLowerCase() !== 'connection') continue;
    connectionOptions = new Set(
      raw[index + 1]
        .toLowerCase()
        .split(',')
        .map((name) => name.trim()),
    );
  }
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || excluded.has(name) || connectionOptions?.has(name) === true)
      continue;
    kept.push(raw[index], raw[index + 1]);
  }
  return kept;
}
