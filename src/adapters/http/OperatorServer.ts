/** The operators' listener: the administration API and metrics. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { ValidationFault } from '../../core/Failure.js';
import type { Invariants } from '../../core/Invariant.js';
import type { Configuration } from '../../core/tickets/Configuration.js';
import { checkTicket, type CheckedTicket } from '../../core/tickets/TicketCheck.js';
import {
  FilingStatus,
  ticketKey,
  type TicketCommitter,
} from '../../core/tickets/TicketCommitter.js';
import { ObjectKind, type CommittedTicket, type Pipeline } from '../../core/tickets/Types.js';
import type { Random, TableService } from '../../ports/Types.js';
import type { Metrics } from '../metrics/Metrics.js';
import { parseYaml } from '../yaml/CheckedYaml.js';
import { JsonServer, type JsonReply, type JsonRequest } from './JsonServer.js';

/** One instance in a status report. */
export interface InstanceStatus {
  readonly instance: string;
  readonly failureDomain: string;
  readonly applied: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Time since this instance last heard from it, in milliseconds; -1 when it never did. */
  readonly heardMsAgo: number;
}

/** One backend server in a status report. */
export interface ServerStatus {
  readonly server: string;
  readonly failureDomain: string;
  readonly mark: string;
  readonly busyMs: number;
}

/** What `acaciadrum ticket status` shows. */
export interface Status {
  readonly instance: string;
  readonly ticket: number;
  readonly instances: readonly InstanceStatus[];
  readonly servers: readonly ServerStatus[];
  readonly queues: readonly { pipeline: string; waiting: number; running: number }[];
}

/** What the listener works with. */
export interface OperatorServerDependencies {
  readonly token: string;
  readonly random: Random;
  readonly table: TableService;
  readonly configuration: Configuration;
  readonly ticketCommitter: TicketCommitter;
  readonly metrics: Metrics;
  readonly invariants: Invariants;
  readonly status: () => Status;
  readonly onTicketAccepted: () => void;
}

type Handler = (request: JsonRequest, words: readonly string[]) => Promise<JsonReply> | JsonReply;

const MAX_TICKET_BYTES = 2 * 1024 * 1024;
const MAX_LISTED = 200;
const SUBMISSION_BYTES = 12;
const SUBMISSION_FORMAT = /^[A-Za-z0-9_-]{8,64}$/;

const FILING_STATUS: Readonly<Record<FilingStatus, number>> = {
  [FilingStatus.Accepted]: 200,
  [FilingStatus.Refused]: 409,
  [FilingStatus.Unknown]: 504,
};

const failed = (
  status: number,
  message: string,
  faults: readonly ValidationFault[] = [],
): JsonReply => ({
  status,
  value: { error: { message, faults } },
});

const isKind = (word: string | undefined): word is ObjectKind =>
  (Object.values(ObjectKind) as string[]).includes(word ?? '');

export class OperatorServer {
  private readonly server: JsonServer;

  private readonly tokenHash: Buffer;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    'GET metrics': async () => ({
      status: 200,
      value: await this.parts.metrics.text(this.parts.invariants),
    }),
    'GET status': () => ({ status: 200, value: this.parts.status() }),
    'GET objects': (request, words) => this.explain(request, words),
    'GET tickets': (request, words) => this.tickets(request, words),
    'POST tickets': (request, words) => this.file(request, words),
    'POST submissions': (_request, words) => this.settle(words),
  };

  public constructor(private readonly parts: OperatorServerDependencies) {
    this.tokenHash = createHash('sha256').update(`Bearer ${parts.token}`).digest();
    this.server = new JsonServer((request) => this.handle(request), MAX_TICKET_BYTES);
  }

  public listen(address: string): Promise<string> {
    return this.server.listen(address);
  }

  public close(): Promise<void> {
    return this.server.close();
  }

  private handle(request: JsonRequest): Promise<JsonReply> | JsonReply {
    const given = createHash('sha256')
      .update(request.headers.authorization ?? '')
      .digest();
    if (!timingSafeEqual(given, this.tokenHash)) {
      return failed(
        401,
        'The operator token is missing or wrong. Pass it with --token or ACACIADRUM_TOKEN.',
      );
    }
    const [, first = '', ...words] = request.path.split('/').map(decodeURIComponent);
    const handler = this.handlers[`${request.method} ${first}`];
    if (handler === undefined)
      return failed(404, `${request.method} ${request.path} is not served. See docs/OPERATORS.md.`);
    return handler(request, words);
  }

  private check(body: Buffer): CheckedTicket {
    const parsed = parseYaml(body.toString());
    if (parsed.isErr) return { faults: parsed.error };
    const pipelines = new Map<string, Pipeline>();
    for (const { name, state } of this.parts.configuration.list(ObjectKind.Pipeline))
      pipelines.set(name, state);
    return checkTicket(parsed.value.value, parsed.value.lineOf, pipelines);
  }

  private async file(request: JsonRequest, words: readonly string[]): Promise<JsonReply> {
    const checked = this.check(request.body);
    if (checked.ticket === undefined)
      return failed(422, 'The ticket has faults. Mend each and file it again.', checked.faults);
    if (words[0] === 'check')
      return { status: 200, value: { message: 'The ticket has no faults.' } };
    const submission = request.query.get('submission') ?? this.parts.random.id(SUBMISSION_BYTES);
    if (!SUBMISSION_FORMAT.test(submission))
      return failed(400, 'A submission takes 8 to 64 of A-Z, a-z, 0-9, _ and -. Choose another.');
    const filing = await this.parts.ticketCommitter.file(checked.ticket, submission);
    if (filing.status === FilingStatus.Accepted) this.parts.onTicketAccepted();
    return { status: FILING_STATUS[filing.status], value: { ...filing, submission } };
  }

  private async settle(words: readonly string[]): Promise<JsonReply> {
    const [submission = ''] = words;
    if (!SUBMISSION_FORMAT.test(submission))
      return failed(400, 'Name the submission that "ticket file" printed.');
    const filing = await this.parts.ticketCommitter.settle(submission);
    return { status: FILING_STATUS[filing.status], value: { ...filing, submission } };
  }

  private async tickets(request: JsonRequest, words: readonly string[]): Promise<JsonReply> {
    const head = this.parts.configuration.ticketNumber;
    if (words[0] !== undefined && words[0] !== '') {
      const number = Number(words[0]);
      const [row] = await this.parts.table.read([ticketKey(number)]);
      return row === undefined
        ? failed(404, `No ticket ${words[0]} was accepted; the newest is ${head}.`)
        : { status: 200, value: row.value };
    }
    const last = Number(request.query.get('before') ?? head + 1) - 1;
    const count = Math.min(MAX_LISTED, Number(request.query.get('most') ?? 20), Math.max(0, last));
    const keys = Array.from({ length: count }, (_, index) => ticketKey(last - index));
    const rows = keys.length === 0 ? [] : await this.parts.table.read(keys);
    const tickets = rows.flatMap((row) =>
      row === undefined ? [] : [row.value as CommittedTicket],
    );
    return { status: 200, value: { head, tickets } };
  }

  private async explain(_request: JsonRequest, words: readonly string[]): Promise<JsonReply> {
    const [kind, name] = words;
    if (!isKind(kind))
      return failed(
        404,
        `No kind is named ${kind ?? ''}. Use one of ${Object.values(ObjectKind).join(', ')}.`,
      );
    if (name === undefined)
      return { status: 200, value: { objects: this.parts.configuration.list(kind) } };
    const inForce = this.parts.configuration.find(kind, name);
    const last = this.parts.configuration.lastTicket(kind, name);
    if (last === 0)
      return failed(
        404,
        `No ticket ever named ${kind} ${name}. List the names with "acaciadrum ticket list ${kind}".`,
      );
    const replaced = inForce?.replaced ?? 0;
    const keys = [ticketKey(last), ...(replaced > 0 ? [ticketKey(replaced)] : [])];
    const rows = await this.parts.table.read(keys).catch(() => []);
    const [ticket, before] = rows.map((row) => row?.value as CommittedTicket | undefined);
    const previous = before?.changes.find((change) => change.kind === kind && change.name === name);
    return { status: 200, value: { kind, name, inForce, last, ticket, previous: previous?.state } };
  }
}
