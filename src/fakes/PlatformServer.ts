/** The fake platform as an HTTP daemon, with faults that tests can switch on. */
import { JsonServer, type JsonAnswer, type JsonRequest } from '../adapters/http/JsonServer.js';
import { pause } from '../core/settle/SettleableWrite.js';
import { SystemClock } from '../adapters/SystemClock.js';
import type { ListedInstance, Transaction } from '../ports/Types.js';
import { MemoryPlatform } from './MemoryPlatform.js';

/** Faults of the fake platform. */
export interface PlatformFaults {
  /** Answers every call with status 503. */
  down: boolean;
  /** Delay of every answer, in milliseconds. */
  delayMs: number;
  /** Share of the transactions that are answered with status 504 although they were executed, from 0 to 1. */
  loseAnswers: number;
}

const MAX_BODY_BYTES = 8 * 1024 * 1024;

const ok = (value: unknown): JsonAnswer => ({ status: 200, value });

type Route = (request: JsonRequest, name: string) => Promise<JsonAnswer>;

export class PlatformServer {
  public readonly faults: PlatformFaults = { down: false, delayMs: 0, loseAnswers: 0 };

  /** Number of calls of `table/read` (`reads`) and of `table/transact` (`writes`) so far. */
  public readonly served = { reads: 0, writes: 0 };

  private readonly server = new JsonServer((request) => this.handle(request), MAX_BODY_BYTES);

  private readonly clock = new SystemClock();

  private readonly routes: Readonly<Record<string, Route>> = {
    'POST table/read': (request) => this.read(request),
    'POST table/transact': (request) => this.transact(request),
    'GET objects': async (_request, name) => ok({ body: (await this.memory.get(name)) ?? null }),
    'PUT objects': async (request, name) => {
      await this.memory.put(name, (JSON.parse(request.body.toString()) as { body: string }).body);
      return ok({});
    },
    'GET instances': async () => ok({ instances: await this.memory.list() }),
    'PUT instances': async (request, name) => {
      this.memory.instances.set(name, JSON.parse(request.body.toString()) as ListedInstance);
      return ok({});
    },
    'DELETE instances': async (_request, name) => {
      this.memory.instances.delete(name);
      return ok({});
    },
    'PUT faults': async (request) => {
      Object.assign(this.faults, JSON.parse(request.body.toString()));
      return ok(this.faults);
    },
  };

  public constructor(public readonly memory: MemoryPlatform = new MemoryPlatform()) {}

  public listen(address: string): Promise<string> {
    return this.server.listen(address);
  }

  public close(): Promise<void> {
    return this.server.close();
  }

  private async handle(request: JsonRequest): Promise<JsonAnswer> {
    const [, service = '', name = ''] = request.path.split('/');
    const route =
      this.routes[`${request.method} ${service}/${name}`] ??
      this.routes[`${request.method} ${service}`];
    if (route === undefined)
      return { status: 404, value: { error: { message: `No such path: ${request.path}.` } } };
    if (service !== 'faults') {
      if (this.faults.delayMs > 0) await pause(this.clock, this.faults.delayMs);
      if (this.faults.down) return { status: 503, value: {} };
    }
    return route(request, decodeURIComponent(name));
  }

  private async read(request: JsonRequest): Promise<JsonAnswer> {
    this.served.reads += 1;
    const { keys } = JSON.parse(request.body.toString()) as { keys: string[] };
    const rows = this.memory.readSync(keys);
    return ok({ rows: rows.map((row) => row ?? null) });
  }

  private async transact(request: JsonRequest): Promise<JsonAnswer> {
    this.served.writes += 1;
    const commit = this.memory.transactSync(JSON.parse(request.body.toString()) as Transaction);
    if (Math.random() < this.faults.loseAnswers) return { status: 504, value: {} };
    return ok(commit);
  }
}
