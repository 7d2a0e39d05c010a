/** Port for calls to plain services. */

/** A call to a plain service, as it is sent to a server. */
export interface PlainCall {
  readonly method: string;
  /** Path with the query, relative to the server. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** The whole body, or a source that can be read once. */
  readonly body: Uint8Array | AsyncIterable<Uint8Array>;
  /** Time limit until the response begins, in milliseconds. */
  readonly timeoutMs: number;
}

export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: AsyncIterable<Uint8Array>;
  /** Whether the server states that it did not run the call. */
  readonly notRun: boolean;
}

/**
 * Sends calls to servers. Rejects with a `Failure` of kind `NotConnected` if nothing was sent, otherwise
 * `ConnectionLost`.
 */
export interface PlainTransport {
  send(address: string, call: PlainCall): Promise<PlainResponse>;
}
