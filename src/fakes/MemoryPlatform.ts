/** An in-memory fake of the platform's services. */
import {
  CommitStatus,
  type TransactionResult,
  type InstanceList,
  type ListedInstance,
  type ObjectStore,
  type Row,
  type TableService,
  type Transaction,
} from '../ports/Types.js';

export class MemoryPlatform implements TableService, ObjectStore, InstanceList {
  public readonly instances = new Map<string, ListedInstance>();

  private readonly rows = new Map<string, Row>();

  private readonly objects = new Map<string, string>();

  private lastVersion = 0;

  public read(keys: readonly string[]): Promise<(Row | undefined)[]> {
    return Promise.resolve(this.readSync(keys));
  }

  public readSync(keys: readonly string[]): (Row | undefined)[] {
    return keys.map((key) => this.rows.get(key));
  }

  public transact(transaction: Transaction): Promise<TransactionResult> {
    return Promise.resolve(this.transactSync(transaction));
  }

  public transactSync(transaction: Transaction): TransactionResult {
    const conflicts: string[] = [];
    for (const { key, version } of transaction.conditions) {
      if ((this.rows.get(key)?.version ?? 0) !== version) conflicts.push(key);
    }
    if (conflicts.length > 0) return { status: CommitStatus.Conflict, conflicts };
    for (const { key, value } of transaction.writes) {
      this.lastVersion += 1;
      this.rows.set(key, { key, value: structuredClone(value), version: this.lastVersion });
    }
    for (const key of transaction.removes ?? []) this.rows.delete(key);
    return { status: CommitStatus.Committed, conflicts };
  }

  public get(name: string): Promise<string | undefined> {
    return Promise.resolve(this.objects.get(name));
  }

  public put(name: string, body: string): Promise<void> {
    this.objects.set(name, body);
    return Promise.resolve();
  }

  public list(): Promise<readonly ListedInstance[]> {
    return Promise.resolve([...this.instances.values()]);
  }
}
