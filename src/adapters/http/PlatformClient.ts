/** Client of the platform's table service, object store and instance list over HTTP. */
import type {
  TransactionResult,
  InstanceList,
  ListedInstance,
  ObjectStore,
  Row,
  TableService,
  Transaction,
} from '../../ports/Types.js';
import { Failure, FailureKind } from '../../core/Failure.js';
import { HttpClient } from './HttpClient.js';

const TIMEOUT_MS = 1500;

export class PlatformClient implements TableService, ObjectStore, InstanceList {
  public constructor(
    private readonly client: HttpClient,
    private readonly address: string,
  ) {}

  public async read(keys: readonly string[]): Promise<(Row | undefined)[]> {
    const { rows } = await this.send<{ rows: (Row | null)[] }>(
      'POST',
      '/table/read',
      { keys },
      true,
    );
    return rows.map((row) => row ?? undefined);
  }

  public transact(transaction: Transaction): Promise<TransactionResult> {
    return this.send<TransactionResult>('POST', '/table/transact', transaction);
  }

  public async get(name: string): Promise<string | undefined> {
    const { body } = await this.send<{ body: string | null }>(
      'GET',
      `/objects/${encodeURIComponent(name)}`,
    );
    return body ?? undefined;
  }

  public async put(name: string, body: string): Promise<void> {
    await this.send('PUT', `/objects/${encodeURIComponent(name)}`, { body });
  }

  public async list(): Promise<readonly ListedInstance[]> {
    const { instances } = await this.send<{ instances: ListedInstance[] }>('GET', '/instances');
    return instances;
  }

  private async send<T>(
    method: string,
    path: string,
    body?: unknown,
    isRepeatable?: boolean,
  ): Promise<T> {
    try {
      const answer = await this.client.json<T>(
        { address: this.address, method, path, timeoutMs: TIMEOUT_MS, isRepeatable },
        body,
      );
      if (answer.status === 200) return answer.value;
      throw new Error(`status ${answer.status}`);
    } catch (error) {
      throw new Failure(
        FailureKind.PlatformUnavailable,
        `The request to the platform at ${this.address} failed (${(error as Error).message}). Check the platform; this instance continues with the state it has.`,
      );
    }
  }
}
