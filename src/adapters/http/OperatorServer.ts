/** Serves the operators' HTTP API: administration and metrics. */
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
import { JsonServer, type JsonAnswer, type JsonRequest } from './JsonServer.js';

/** One instance in a status report. */
export interface InstanceStatus {
  readonly instance: string;
  readonly failureDomain: string;
  /** Number of the last ticket applied there; 0 if it is not known. */
  readonly applied: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  /**
   * Time since the reporting instance last received the state of this one, in milliseconds; -1 if it never
   * did, 0 for the reporting instance itself.
   */
  readonly heardMsAgo: number;
}

/** One backend server in a status report. */
export interface ServerStatus {
  readonly server: string;
  readonly failureDomain: string;
  /** A `ServerMark`, or `live` for a server without one. */
  readonly mark: string;
  /** Estimated busy time that the server adds to each token, in milliseconds. */
  readonly busyMs: number;
}

/** The report that `acaciadrum ticket status` prints. */
export interface Status {
  readonly instance: string;
  /** Number of the last ticket applied by the reporting instance. */
  readonly ticket: number;
  readonly instances: readonly InstanceStatus[];
  /** Whether the reporting instance has read the platform's instance list since it started. */
  readonly isInstanceListKnown: boolean;
  readonly servers: readonly ServerStatus[];
  /** Waiting and running completions of the reporting instance. */
  readonly queues: readonly { pipeline: string; waiting: number; running: number }[];
}

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

type Handler = (
  request: JsonRequest,
  segments: readonly string[],
) => Promise<JsonAnswer> | JsonAnswer;

const MAX_TICKET_BYTES = 2 * 1024 * 1024;
const MAX_LISTED_TICKETS = 200;
const SUBMISSION_ID_BYTES = 12;
const SUBMISSION_ID_FORMAT = /^[A-Za-z0-9_-]{8,64}$/;

const HTTP_STATUS_BY_FILING: Readonly<Record<FilingStatus, number>> = {
  [FilingStatus.Accepted]: 200,
  [FilingStatus.Refused]: 409,
  [FilingStatus.Unknown]: 504,
};

const errorAnswer = (
  status: number,
  message: string,
  faults: readonly ValidationFault[] = [],
): JsonAnswer => ({
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
      value: await this.dependencies.metrics.text(this.dependencies.invariants),
    }),
    'GET status': () => ({ status: 200, value: this.dependencies.status() }),
    'GET objects': (request, segments) => this.readObjects(request, segments),
    'GET tickets': (request, segments) => this.readTickets(request, segments),
    'POST tickets': (request, segments) => this.fileTicket(request, segments),
    'POST submissions': (_request, segments) => this.settleSubmission(segments),
  };

  public constructor(private readonly dependencies: OperatorServerDependencies) {
    this.tokenHash = createHash('sha256').update(`Bearer ${dependencies.token}`).digest();
    this.server = new JsonServer((request) => this.handle(request), MAX_TICKET_BYTES);
  }

  public listen(address: string): Promise<string> {
    return this.server.listen(address);
  }

  public close(): Promise<void> {
    return this.server.close();
  }

  private handle(request: JsonRequest): Promise<JsonAnswer> | JsonAnswer {
    const given = createHash('sha256')
      .update(request.headers.authorization ?? '')
      .digest();
    if (!timingSafeEqual(given, this.tokenHash)) {
      return errorAnswer(
        401,
        'The operator token is missing or wrong. Pass it with --token or ACACIADRUM_TOKEN.',
      );
    }
    const [, resource = '', ...segments] = request.path.split('/').map(decodeURIComponent);
    const handler = this.handlers[`${request.method} ${resource}`];
    if (handler === undefined)
      return errorAnswer(
        404,
        `${request.method} ${request.path} is not served. See docs/OPERATORS.md.`,
      );
    return handler(request, segments);
  }

  private parseCheckedTicket(body: Buffer): CheckedTicket {
    const parsed = parseYaml(body.toString());
    if (parsed.isErr) return { faults: parsed.error };
    const pipelines = new Map<string, Pipeline>();
    for (const { name, state } of this.dependencies.configuration.list(ObjectKind.Pipeline))
      pipelines.set(name, state);
    return checkTicket(parsed.value.value, parsed.value.lineOf, pipelines);
  }

  private async fileTicket(request: JsonRequest, segments: readonly string[]): Promise<JsonAnswer> {
    const checked = this.parseCheckedTicket(request.body);
    if (checked.ticket === undefined)
      return errorAnswer(
        422,
        'The ticket has faults. Fix each of them and file it again.',
        checked.faults,
      );
    if (segments[0] === 'check')
      return { status: 200, value: { message: 'The ticket has no faults.' } };
    const submission =
      request.query.get('submission') ?? this.dependencies.random.id(SUBMISSION_ID_BYTES);
    if (!SUBMISSION_ID_FORMAT.test(submission))
      return errorAnswer(
        400,
        'A submission ID must have 8 to 64 characters of A-Z, a-z, 0-9, _ and -. Choose another.',
      );
    const filing = await this.dependencies.ticketCommitter.file(checked.ticket, submission);
    if (filing.status === FilingStatus.Accepted) this.dependencies.onTicketAccepted();
    return { status: HTTP_STATUS_BY_FILING[filing.status], value: { ...filing, submission } };
  }

  private async settleSubmission(segments: readonly string[]): Promise<JsonAnswer> {
    const [submission = ''] = segments;
    if (!SUBMISSION_ID_FORMAT.test(submission))
      return errorAnswer(
        400,
        'The submission ID is missing or malformed. Pass the ID that "ticket file" printed.',
      );
    const filing = await this.dependencies.ticketCommitter.settle(submission);
    return { status: HTTP_STATUS_BY_FILING[filing.status], value: { ...filing, submission } };
  }

  private async readTickets(
    request: JsonRequest,
    segments: readonly string[],
  ): Promise<JsonAnswer> {
    const head = this.dependencies.configuration.ticketNumber;
    if (segments[0] !== undefined && segments[0] !== '') {
      const number = Number(segments[0]);
      const [row] = await this.dependencies.table.read([ticketKey(number)]);
      return row === undefined
        ? errorAnswer(
            404,
            `There is no accepted ticket ${segments[0]}. Give a ticket number; the newest is ${head}.`,
          )
        : { status: 200, value: row.value };
    }
    const last = Number(request.query.get('before') ?? head + 1) - 1;
    const count = Math.min(
      MAX_LISTED_TICKETS,
      Number(request.query.get('most') ?? 20),
      Math.max(0, last),
    );
    const keys = Array.from({ length: count }, (_, index) => ticketKey(last - index));
    const rows = keys.length === 0 ? [] : await this.dependencies.table.read(keys);
    const tickets = rows.flatMap((row) =>
      row === undefined ? [] : [row.value as CommittedTicket],
    );
    return { status: 200, value: { head, tickets } };
  }

  private async readObjects(
    _request: JsonRequest,
    segments: readonly string[],
  ): Promise<JsonAnswer> {
    const [kind, name] = segments;
    if (!isKind(kind))
      return errorAnswer(
        404,
        `Unknown object kind ${kind ?? ''}. Use one of ${Object.values(ObjectKind).join(', ')}.`,
      );
    if (name === undefined)
      return { status: 200, value: { objects: this.dependencies.configuration.list(kind) } };
    const inForce = this.dependencies.configuration.find(kind, name);
    const last = this.dependencies.configuration.lastTicket(kind, name);
    if (last === 0)
      return errorAnswer(
        404,
        `No accepted ticket changes ${kind} ${name}. List the names with "acaciadrum ticket list ${kind}".`,
      );
    const replaced = inForce?.replaced ?? 0;
    const keys = [ticketKey(last), ...(replaced > 0 ? [ticketKey(replaced)] : [])];
    const rows = await this.dependencies.table.read(keys).catch(() => []);
    const [ticket, replacedTicket] = rows.map((row) => row?.value as CommittedTicket | undefined);
    const previous = replacedTicket?.changes.find(
      (change) => change.kind === kind && change.name === name,
    );
    return { status: 200, value: { kind, name, inForce, last, ticket, previous: previous?.state } };
  }
}
