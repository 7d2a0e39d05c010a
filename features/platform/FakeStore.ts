/** A fake of the platform's store that follows its published protocol. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { resetConnection } from './Sockets.js';

interface StoredRow {
  readonly table: string;
  readonly key: string;
  readonly payload: string;
  readonly row_version: number;
  readonly deleted?: boolean;
}

interface RowRef {
  readonly table: string;
  readonly key: string;
  readonly payload?: string;
  readonly row_version?: number;
}

/** Faults that the store can simulate. */
export enum StoreFault {
  None = 'none',
  /** Answers 503 to every call. */
  Busy = 'busy',
  /** Never answers a call that arrives during the fault; feed calls already waiting are still answered. */
  Silent = 'silent',
  /** Commits transactions without answering. */
  LosesAnswers = 'loses answers',
  /** Replies to the next feed call that the history of changes is lost. */
  LosesHistory = 'loses history',
}

/** What the store held at one moment, to which it can be restored. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

type Handler = (query: URLSearchParams, response: ServerResponse, body: string) => void;

async function readAll(request: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of request) text += chunk;
  return text;
}

function answer(response: ServerResponse, status: number, value?: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(value === undefined ? '' : JSON.stringify(value));
}

export class FakeStore {
  public fault = StoreFault.None;

  private rows = new Map<string, StoredRow>();

  private history: StoredRow[] = [];

  private version = 0;

  /** Number that rises with each restoration; undefined while answers do not state it. */
  private era: number | undefined;

  private readonly waitingFeeds = new Set<() => void>();

  private readonly openSockets = new Set<Socket>();

  /** Open connections on which nothing is answered any more. */
  private readonly silentSockets = new WeakSet<Socket>();

  private readonly handlers: Readonly<Record<string, Handler>> = {
    '/-/rows-get': (query, response) => this.get(query, response),
    '/-/rows-feed': (query, response) => this.feed(query, response),
    '/-/rows-tx': (_query, response, body) => this.transact(response, body),
  };

  private readonly server: Server = createServer((request, response) => {
    this.handle(request, response);
  });

  public listen(): Promise<string> {
    this.server.on('connection', (socket: Socket) => {
      this.openSockets.add(socket);
      socket.once('close', () => this.openSockets.delete(socket));
    });
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Time on the store's steady clock, in whole milliseconds. */
  private get steadyMs(): number {
    return Math.round(performance.now());
  }

  /** Number of rows of a table. */
  public count(table: string): number {
    return [...this.rows.values()].filter((row) => row.table === table).length;
  }

  /** From now on, the connections that are open stay open, but bring no answer; new ones work. */
  public silenceConnections(): void {
    for (const socket of this.openSockets) this.silentSockets.add(socket);
  }

  /** Copies what the store holds; from now on, answers state the era. */
  public copy(): StoreCopy {
    this.era ??= 1;
    return { rows: new Map(this.rows), version: this.version };
  }

  /**
   * Goes back to a copy: later changes are lost, their versions are given out again, and every connection is
   * reset.
   */
  public restore(copy: StoreCopy): void {
    this.era = (this.era ?? 0) + 1;
    this.rows = new Map(copy.rows);
    this.history = this.history.filter((row) => row.row_version <= copy.version);
    this.version = copy.version;
    this.waitingFeeds.clear();
    for (const socket of this.openSockets) resetConnection(socket);
  }

  public close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row with a JSON value, as the operator or a server does. */
  public put(table: string, key: string, value: unknown): void {
    this.putText(table, key, JSON.stringify(value));
  }

  /** Writes a row whose value need not be JSON. */
  public putText(table: string, key: string, text: string): void {
    this.writeRow({ table, key, payload: Buffer.from(text).toString('base64') });
  }

  public remove(table: string, key: string): void {
    this.writeRow({ table, key, payload: '' }, true);
  }

  private writeRow({ table, key, payload = '' }: RowRef, deleted = false): void {
    this.version += 1;
    const row = { table, key, payload, row_version: this.version, ...(deleted && { deleted }) };
    if (deleted) this.rows.delete(`${table}/${key}`);
    else this.rows.set(`${table}/${key}`, row);
    this.history.push(row);
    for (const wake of this.waitingFeeds) wake();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readAll(request);
    if (this.fault === StoreFault.Silent || this.silentSockets.has(request.socket)) return;
    if (this.era !== undefined) response.setHeader('store-era', String(this.era));
    if (this.fault === StoreFault.Busy) {
      answer(response, 503);
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const handler = this.handlers[url.pathname];
    if (handler === undefined) answer(response, 404);
    else handler(url.searchParams, response, body);
  }

  private get(query: URLSearchParams, response: ServerResponse): void {
    const table = query.get('table');
    const source = query.get('source') ?? '';
    const to = query.get('to');
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.key >= source)
      .filter((row) => to === null || row.key < to);
    answer(response, 200, {
      rows,
      has_more: false,
      row_version: this.version,
      now_ms: this.steadyMs,
    });
  }

  private feed(query: URLSearchParams, response: ServerResponse): void {
    if (this.fault === StoreFault.LosesHistory) {
      this.fault = StoreFault.None;
      answer(response, 410);
      return;
    }
    const after = Number(query.get('after'));
    if (after > this.version) {
      answer(response, 410);
      return;
    }
    const table = query.get('table');
    const changed = () =>
      this.history.filter((row) => row.table === table && row.row_version > after);
    let timer: NodeJS.Timeout | undefined;
    const send = () => {
      clearTimeout(timer);
      if (response.socket !== null && this.silentSockets.has(response.socket)) return;
      answer(response, 200, { rows: changed(), row_version: this.version, now_ms: this.steadyMs });
    };
    const wake = () => {
      if (changed().length === 0) return;
      this.waitingFeeds.delete(wake);
      send();
    };
    timer = setTimeout(send, Number(query.get('wait_ms')));
    response.once('close', () => {
      this.waitingFeeds.delete(wake);
      clearTimeout(timer);
    });
    this.waitingFeeds.add(wake);
    wake();
  }

  private transact(response: ServerResponse, body: string): void {
    const { precondition, write, remove } = JSON.parse(body) as {
      precondition: RowRef[];
      write: RowRef[];
      remove: RowRef[];
    };
    const failed = precondition.filter(
      ({ table, key, row_version: version }) =>
        (this.rows.get(`${table}/${key}`)?.row_version ?? 0) !== version,
    );
    if (failed.length > 0) {
      answer(response, 412, { rows: failed });
      return;
    }
    for (const row of write) this.writeRow(row);
    for (const row of remove) this.writeRow(row, true);
    if (this.fault === StoreFault.LosesAnswers) response.destroy();
    else answer(response, 200, { row_version: this.version, now_ms: this.steadyMs });
  }
}
