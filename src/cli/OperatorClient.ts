import { HttpClient } from '../adapters/http/HttpClient.js';
import type { ValidationFault } from '../core/Failure.js';

/** An answer of the administration API. */
export interface OperatorAnswer<T> {
  readonly status: number;
  readonly value: T;
}

/** The part of a JSON body that describes an error; absent after success. */
export interface OperatorError {
  readonly error?: { readonly message: string; readonly faults: readonly ValidationFault[] };
}

const TIMEOUT_MS = 30_000;

/**
 * Calls the administration API. A body that is not JSON, as from a server of another kind, throws the
 * SyntaxError of `JSON.parse`.
 */
export class OperatorClient {
  private readonly client = new HttpClient();

  public constructor(
    private readonly address: string,
    private readonly token: string,
  ) {}

  public get<T>(path: string): Promise<OperatorAnswer<T & OperatorError>> {
    return this.send('GET', path);
  }

  public post<T>(path: string, body = ''): Promise<OperatorAnswer<T & OperatorError>> {
    return this.send('POST', path, body);
  }

  public dispose(): void {
    this.client.dispose();
  }

  private async send<T>(method: string, path: string, body?: string): Promise<OperatorAnswer<T>> {
    const answer = await this.client.call({
      address: this.address,
      method,
      path,
      timeoutMs: TIMEOUT_MS,
      headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/yaml' },
      ...(body !== undefined && { body }),
    });
    return { status: answer.status, value: JSON.parse(answer.body.toString()) as T };
  }
}
