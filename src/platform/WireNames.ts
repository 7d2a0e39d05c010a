/** Header names, paths and status codes of the platform's HTTP protocol. */

/** Header names, in lower case as Node's `http` reports them. */
export const HEADER = {
  requestId: 'x-attempt-id',
  deadlineMs: 'x-deadline-ms',
  /** Signature of the server that produced the answer. */
  signature: 'x-server-seal',
  account: 'x-tenant',
  /** Id of the only server that is allowed to run the request. */
  expectedServer: 'x-expect-instance',
  /** States that the server did not run the request. */
  notExecuted: 'x-not-executed',
  /** Number of prompt tokens and maximum number of answer tokens, separated by a comma. */
  tokens: 'x-token-count',
  /** The caller's estimate of the number of answer tokens. */
  answerEstimate: 'x-length-hint',
  /** Urgency that a server is told, from 0, the first, to 9. Callers' values are not forwarded. */
  urgency: 'x-request-urgency',
  /**
   * Parts of the prompt in order, as `ID:TOKENS` separated by commas. Despite its name, it lists the whole
   * prompt; the last part belongs to the request or its session alone.
   */
  promptParts: 'x-prompt-prefix',
  /** Servers of the route with their layers. Despite its name, the header is not a count. */
  stages: 'x-hop-count',
  /** Address of the server on the route that caused a rejection. */
  blamedAddress: 'at-server',
  lastEvent: 'last-event-id',
  /** Requests a second that the server takes from all instances together, while it names them. */
  requestLimit: 'server-limit',
  /** Seconds, possibly with a fraction, for which a server that answers 503 wants nothing from this instance. */
  retryAfter: 'retry-after',
  /** `1` in all answers of a server that is leaving. */
  leaving: 'server-leaving',
  /** Number of times that the store has come back from a copy; in all of its answers. */
  storeEra: 'store-era',
} as const;

/** Status with which a server states that it did not run a request. */
export const MISDIRECTED = 421;

export const PATH = {
  ready: '/-/readyz',
  order: '/-/order',
  report: '/-/report',
  rowsRead: '/-/rows-get',
  rowsFeed: '/-/rows-feed',
  rowsTransact: '/-/rows-tx',
} as const;

/** Hop-by-hop headers, which apply to a single connection. */
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
 * Copies raw headers without the hop-by-hop headers and those that the `connection` header names.
 * @param raw - alternating names and values
 * @param excluded - names of further headers to omit, in lower case
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
