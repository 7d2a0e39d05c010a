/** Client of the platform's store: rows of the router's own tables, and feeds of the platform's tables. */
import type { HttpClient } from '../adapters/http/HttpClient.js';
import { Failure, FailureKind } from '../core/Failure.js';
import { eraOf, MAX_ERA, toRevision, versionOf, type Revision } from '../core/store/Revision.js';
import { StoreEra } from '../core/store/StoreEra.js';
import type { ChangeFeed, StoreEntries, StoreEntry, StoreSnapshot } from '../ports/ChangeFeed.js';
import {
  CommitStatus,
  type TransactionResult,
  type Row,
  type TableService,
  type Transaction,
} from '../ports/Types.js';
import { HEADER, PATH } from './WireNames.js';

/** Prefix of the router's own tables. The part of a key before its first slash completes the table's name. */
const OWN_TABLE_PREFIX = 'acaciadrum-';

/** Time limit for the head of an answer, in milliseconds; 250 times as long as a call usually takes. */
const CALL_TIMEOUT_MS = 1000;

/** Time limit for each part of an answer's body, in milliseconds. */
const IDLE_TIMEOUT_MS = 1000;

/** Time added to the wait of a feed call to form the time limit for the head of its answer, in milliseconds. */
const FEED_MARGIN_MS = 500;

/** Maximum size of an answer, in bytes; a page of rows has at most one megabyte besides its last row. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** Appended to a key, gives the next key in sort order. */
const KEY_SUCCESSOR_SUFFIX = '\u0000';

interface WireRow {
  readonly key: string;
  /** The value as JSON in Base64. */
  readonly payload?: string;
  readonly row_version: number;
  readonly deleted?: boolean;
}

interface WireRows {
  readonly rows: readonly WireRow[];
  readonly row_version: number;
  readonly has_more?: boolean;
  /** Steady clock of the store. */
  readonly now_ms?: number;
}

/** Decodes the value of one row; undefined if it is not valid. */
export type EntryDecoder<T> = (key: string, revision: Revision, value: unknown) => T | undefined;

/** An answer of the store, with the era in which it was given. */
interface StoreAnswer<T> {
  readonly status: number;
  readonly era: number;
  readonly value: T | undefined;
}

function parsePayload(payload: string | undefined): unknown {
  if (payload === undefined) return undefined;
  try {
    return JSON.parse(Buffer.from(payload, 'base64').toString('utf8'));
  } catch {
    // Another writer may store bytes that are not JSON; the decoder treats the entry as invalid.
    return undefined;
  }
}

export class StoreClient implements TableService {
  public constructor(
    private readonly http: HttpClient,
    private readonly address: string,
    private readonly storeEra = new StoreEra(),
  ) {}

  public get era(): number {
    return this.storeEra.current;
  }

  public read(keys: readonly string[]): Promise<(Row | undefined)[]> {
    return Promise.all(keys.map((key) => this.readRow(key)));
  }

  public async transact(transaction: Transaction): Promise<TransactionResult> {
    const { status, era, value } = await this.send<WireRows>(
      'POST',
      PATH.rowsTransact,
      CALL_TIMEOUT_MS,
      {
        precondition: transaction.conditions.map(({ key, version }) => ({
          ...toRowReference(key),
          row_version: versionOf(version),
        })),
        write: transaction.writes.map(({ key, value: written }) => ({
          ...toRowReference(key),
          payload: Buffer.from(JSON.stringify(written)).toString('base64'),
        })),
        remove: (transaction.removes ?? []).map(toRowReference),
      },
    );
    if (status === 200) {
      if (transaction.era === undefined || transaction.era === era)
        return { status: CommitStatus.Committed, conflicts: [] };
      return {
        status: CommitStatus.Conflict,
        conflicts: transaction.conditions.map(({ key }) => key),
      };
    }
    if (status === 412) {
      const conflicts = (value?.rows ?? []).map(({ key }) => key);
      return { status: CommitStatus.Conflict, conflicts };
    }
    throw storeUnavailable(PATH.rowsTransact, status);
  }

  /** Returns a feed of the rows that the router itself writes under keys `prefix/...`. */
  public ownFeed<T>(prefix: string, decode: EntryDecoder<T>): ChangeFeed<T> {
    return this.feed(OWN_TABLE_PREFIX + prefix, decode);
  }

  /** Returns a feed of one of the platform's tables. */
  public feed<T>(table: string, decode: EntryDecoder<T>): ChangeFeed<T> {
    return {
      readAll: () => this.readTable(table, decode),
      changesSince: (revision, waitMs) => this.changes(table, decode, revision, waitMs),
    };
  }

  private async readRow(key: string): Promise<Row | undefined> {
    const { table, key: name } = toRowReference(key);
    const query = new URLSearchParams({
      table,
      part: '',
      source: name,
      to: name + KEY_SUCCESSOR_SUFFIX,
    });
    const { era, value } = await this.get(`${PATH.rowsRead}?${query}`);
    const row = value.rows.find((found) => found.key === name);
    return (
      row && { key, version: toRevision(era, row.row_version), value: parsePayload(row.payload) }
    );
  }

  private async readTable<T>(table: string, decode: EntryDecoder<T>): Promise<StoreSnapshot<T>> {
    const entries: StoreEntry<T>[] = [];
    let revision = Infinity;
    let firstEra: number | undefined;
    let source = '';
    for (;;) {
      const query = new URLSearchParams({ table, part: '', ...(source !== '' && { source }) });
      const { era, value: page } = await this.get(`${PATH.rowsRead}?${query}`);
      firstEra ??= era;
      if (era !== firstEra) throw restoredWhileRead(table, firstEra, era);
      // Pages are read at different times. The oldest revision makes the feed repeat every change since then.
      revision = Math.min(revision, toRevision(era, page.row_version));
      for (const row of page.rows) entries.push(toEntry(row, era, decode));
      const last = page.rows.at(-1);
      if (page.has_more !== true || last === undefined)
        return { entries, revision, storeTimeMs: page.now_ms ?? 0 };
      source = last.key + KEY_SUCCESSOR_SUFFIX;
    }
  }

  private async changes<T>(
    table: string,
    decode: EntryDecoder<T>,
    revision: Revision,
    waitMs: number,
  ): Promise<StoreEntries<T> | undefined> {
    const query = new URLSearchParams({
      table,
      after: String(versionOf(revision)),
      wait_ms: String(waitMs),
    });
    const { status, era, value } = await this.send<WireRows>(
      'GET',
      `${PATH.rowsFeed}?${query}`,
      waitMs + FEED_MARGIN_MS,
    );
    if (status === 410) return undefined;
    if (status !== 200 || value === undefined) throw storeUnavailable(PATH.rowsFeed, status);
    // The store may have given the version out again in a new era; changes before it would be missed.
    if (era !== eraOf(revision)) return undefined;
    return {
      entries: value.rows.map((row) => toEntry(row, era, decode)),
      revision: toRevision(era, value.row_version),
    };
  }

  private async get(path: string): Promise<{ era: number; value: WireRows }> {
    const { status, era, value } = await this.send<WireRows>('GET', path, CALL_TIMEOUT_MS);
    if (status !== 200 || value === undefined) throw storeUnavailable(path, status);
    return { era, value };
  }

  private async send<T>(
    method: string,
    path: string,
    timeoutMs: number,
    body?: unknown,
  ): Promise<StoreAnswer<T>> {
    try {
      const { status, headers, value } = await this.http.json<T>(
        {
          address: this.address,
          method,
          path,
          timeoutMs,
          idleTimeoutMs: IDLE_TIMEOUT_MS,
          maxAnswerBytes: MAX_ANSWER_BYTES,
        },
        body,
      );
      const era = decodeEra(headers[HEADER.storeEra]);
      this.storeEra.note(era);
      return { status, era, value };
    } catch (error) {
      this.http.closeIdleConnections(this.address);
      throw new Failure(
        FailureKind.PlatformUnavailable,
        `The store did not answer: ${(error as Error).message} Check the store if this persists.`,
      );
    }
  }
}

function toRowReference(key: string): { table: string; part: string; key: string } {
  const slash = key.indexOf('/');
  return { table: OWN_TABLE_PREFIX + key.slice(0, slash), part: '', key: key.slice(slash + 1) };
}

/** Decodes the era of an answer; 0 if it states none. */
function decodeEra(header: string | string[] | undefined): number {
  if (header === undefined) return 0;
  const era = Number(header);
  if (Number.isInteger(era) && era >= 0 && era <= MAX_ERA) return era;
  throw new Failure(
    FailureKind.PlatformUnavailable,
    `The era "${String(header)}" is not a whole number up to ${MAX_ERA}, so the answer cannot be ordered.`,
  );
}

function toEntry<T>(row: WireRow, era: number, decode: EntryDecoder<T>): StoreEntry<T> {
  const { key } = row;
  const revision = toRevision(era, row.row_version);
  if (row.deleted === true) return { key, revision, value: undefined };
  return { key, revision, value: decode(key, revision, parsePayload(row.payload)) };
}

function restoredWhileRead(table: string, before: number, era: number): Failure {
  return new Failure(
    FailureKind.PlatformUnavailable,
    `The store went from era ${before} to ${era} while table ${table} was read. It is read again.`,
  );
}

function storeUnavailable(path: string, status: number): Failure {
  return new Failure(
    FailureKind.PlatformUnavailable,
    `The store answered ${status} to ${path.split('?')[0]}. Check the store if this persists.`,
  );
}
