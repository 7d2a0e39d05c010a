/** Commands that call the administration API. */
import { readFile } from 'node:fs/promises';
import { randomBytes } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { stringify } from 'yaml';
import type { Status } from '../adapters/http/OperatorServer.js';
import { parseYaml } from '../adapters/yaml/CheckedYaml.js';
import { describeFaults } from '../core/Failure.js';
import { checkTicket } from '../core/tickets/TicketCheck.js';
import { FilingStatus, type FilingResult } from '../core/tickets/TicketCommitter.js';
import {
  ObjectKind,
  type CommittedTicket,
  type ObjectInForce,
  type ObjectState,
} from '../core/tickets/Types.js';
import { isLive, mayChange } from './FilingWait.js';
import { OperatorClient, type OperatorAnswer, type OperatorError } from './OperatorClient.js';
import { table } from './Table.js';

const POLL_INTERVAL_MS = 200;
const SUBMISSION_ID_BYTES = 12;

const EXIT_CODES: Readonly<Record<FilingStatus, number>> = {
  [FilingStatus.Accepted]: 0,
  [FilingStatus.Refused]: 1,
  [FilingStatus.Unknown]: 2,
};

abstract class OperatorCommand extends Command {
  public server = Option.String('--server', process.env.ACACIADRUM_SERVER ?? '127.0.0.1:8090', {
    description: 'Operator address of any instance (or ACACIADRUM_SERVER).',
  });

  public token = Option.String('--token', process.env.ACACIADRUM_TOKEN ?? '', {
    description: 'Operator token (or ACACIADRUM_TOKEN).',
  });

  public json = Option.Boolean('--json', false, { description: 'Print JSON for programs.' });

  public async execute(): Promise<number> {
    const client = new OperatorClient(this.server, this.token);
    try {
      return await this.run(client);
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return 1;
    } finally {
      client.dispose();
    }
  }

  protected abstract run(client: OperatorClient): Promise<number>;

  /** Prints a value as JSON with `--json`, otherwise as the given text. */
  protected print(value: unknown, text: () => string): void {
    this.context.stdout.write(this.json ? `${JSON.stringify(value, null, 2)}\n` : text());
  }

  /** Prints an error of the administration API. */
  protected fail(answer: OperatorAnswer<OperatorError>): number {
    const { error } = answer.value;
    const faults = error?.faults ?? [];
    this.context.stderr.write(`${error?.message ?? `Status ${answer.status}.`}\n`);
    if (faults.length > 0) this.context.stderr.write(`${describeFaults(faults)}\n`);
    return 1;
  }
}

export class TicketCheckCommand extends OperatorCommand {
  public static override paths = [['ticket', 'check']];

  public static override usage = Command.Usage({
    description: 'Shows every fault of a ticket without filing it.',
    examples: [
      ['Check against what is in force', 'acaciadrum ticket check add-server.yaml'],
      ['Check without contacting an instance', 'acaciadrum ticket check --offline add-server.yaml'],
    ],
  });

  public offline = Option.Boolean('--offline', false, {
    description: 'Check without contacting an instance.',
  });

  public file = Option.String();

  protected async run(client: OperatorClient): Promise<number> {
    const text = await readFile(this.file, 'utf8');
    if (this.offline) return this.checkOffline(text);
    const answer = await client.post<{ message: string }>('/tickets/check', text);
    if (answer.status !== 200) return this.fail(answer);
    this.print(answer.value, () => `${answer.value.message}\n`);
    return 0;
  }

  private checkOffline(text: string): number {
    const parsed = parseYaml(text);
    const faults = parsed.isErr
      ? parsed.error
      : checkTicket(parsed.value.value, parsed.value.lineOf).faults;
    this.print({ faults }, () =>
      faults.length === 0 ? 'The ticket has no faults.\n' : `${describeFaults(faults)}\n`,
    );
    return faults.length === 0 ? 0 : 1;
  }
}

export class TicketFileCommand extends OperatorCommand {
  public static override paths = [['ticket', 'file']];

  public static override usage = Command.Usage({
    description:
      'Files a ticket, waits up to 15 s until it is in force on every live instance, and prints the instances that lag.',
    examples: [['File a ticket', 'acaciadrum ticket file add-server.yaml']],
  });

  public submission = Option.String(
    '--submission',
    randomBytes(SUBMISSION_ID_BYTES).toString('hex'),
    {
      description:
        'Submission ID; a ticket that is filed again with the same ID is accepted at most once.',
    },
  );

  public file = Option.String();

  protected async run(client: OperatorClient): Promise<number> {
    const text = await readFile(this.file, 'utf8');
    const answer = await client.post<FilingResult>(`/tickets?submission=${this.submission}`, text);
    if (answer.value.status === undefined) return this.fail(answer);
    const { value } = answer;
    if (value.status !== FilingStatus.Accepted) {
      this.print(value, () => `${value.message}\n`);
      return EXIT_CODES[value.status];
    }
    const status = await this.waitUntilInForce(client, value.number);
    const live = status.instances.filter(isLive);
    const behind = live.filter((instance) => instance.applied < value.number);
    this.print(
      { ...value, live: live.length, behind: behind.map((instance) => instance.instance) },
      () =>
        [
          value.message,
          `In force on ${live.length - behind.length} of ${live.length} live instances.`,
          ...(status.isInstanceListKnown
            ? []
            : [
                `More instances may be live: ${status.instance} could not read the platform's instance list. Check the platform, then run "acaciadrum ticket status".`,
              ]),
          ...status.instances
            .filter((instance) => !isLive(instance))
            .map(
              (instance) =>
                `Not live: ${instance.instance} in ${instance.failureDomain}; it is not ready, or nothing was heard from it for 5 s. Check it.`,
            ),
          ...behind.map(
            (instance) =>
              `Not yet on ${instance.instance} in ${instance.failureDomain}; it applies the ticket when it can be reached.`,
          ),
          '',
        ].join('\n'),
    );
    return 0;
  }

  private async waitUntilInForce(client: OperatorClient, number: number): Promise<Status> {
    const startedAt = Date.now();
    for (;;) {
      const { value } = await client.get<Status>('/status');
      if (!mayChange(value, number, Date.now() - startedAt)) return value;
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
  }
}

export class TicketSettleCommand extends OperatorCommand {
  public static override paths = [['ticket', 'settle']];

  public static override usage = Command.Usage({
    description:
      'Determines whether a ticket with unknown outcome was accepted; if it was not, cancels it for good.',
    examples: [['Settle after an outage', 'acaciadrum ticket settle 3f9c01d2a4b5']],
  });

  public submission = Option.String();

  protected async run(client: OperatorClient): Promise<number> {
    const { value } = await client.post<FilingResult>(`/submissions/${this.submission}/settle`);
    this.print(value, () => `${value.message}\n`);
    return EXIT_CODES[value.status] ?? 1;
  }
}

export class TicketShowCommand extends OperatorCommand {
  public static override paths = [['ticket', 'show']];

  public static override usage = Command.Usage({
    description: 'Shows an accepted ticket.',
    examples: [['Show ticket 12', 'acaciadrum ticket show 12']],
  });

  public number = Option.String();

  protected async run(client: OperatorClient): Promise<number> {
    const answer = await client.get<CommittedTicket>(`/tickets/${this.number}`);
    if (answer.status !== 200) return this.fail(answer);
    this.print(answer.value, () => stringify(answer.value));
    return 0;
  }
}

export class TicketListCommand extends OperatorCommand {
  public static override paths = [['ticket', 'list']];

  public static override usage = Command.Usage({
    description: 'Lists the newest tickets, or the objects of one kind in force.',
    examples: [
      ['The newest tickets', 'acaciadrum ticket list'],
      ['All backend servers', 'acaciadrum ticket list BackendServer'],
    ],
  });

  public kind = Option.String({ required: false });

  protected async run(client: OperatorClient): Promise<number> {
    if (this.kind !== undefined) return this.listObjects(client, this.kind);
    const answer = await client.get<{ tickets: CommittedTicket[] }>('/tickets');
    if (answer.status !== 200) return this.fail(answer);
    const rows = answer.value.tickets.map((ticket) => [
      ticket.number,
      ticket.at,
      ticket.author,
      ticket.changes
        .map((change) => `${change.kind} ${change.name}`)
        .slice(0, 3)
        .join(', ') + (ticket.changes.length > 3 ? ', …' : ''),
      ticket.reason,
    ]);
    this.print(answer.value, () => table(['TICKET', 'AT', 'AUTHOR', 'CHANGES', 'REASON'], rows));
    return 0;
  }

  private async listObjects(client: OperatorClient, kind: string): Promise<number> {
    const answer = await client.get<{ objects: ObjectInForce[] }>(`/objects/${kind}`);
    if (answer.status !== 200) return this.fail(answer);
    const rows = answer.value.objects.map((object) => [
      object.name,
      object.ticket,
      object.at,
      object.author,
      object.reason,
    ]);
    this.print(answer.value, () =>
      table([kind.toUpperCase(), 'TICKET', 'AT', 'AUTHOR', 'REASON'], rows),
    );
    return 0;
  }
}

interface Explanation {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly inForce?: ObjectInForce;
  readonly last: number;
  readonly ticket?: CommittedTicket;
  readonly previous?: ObjectState;
}

export class TicketExplainCommand extends OperatorCommand {
  public static override paths = [['ticket', 'explain']];

  public static override usage = Command.Usage({
    description:
      'Shows what is in force for an object, since which ticket, by whom, why, and what it replaced.',
    examples: [
      ['Why is this server as it is?', 'acaciadrum ticket explain BackendServer almaty-1-a'],
    ],
  });

  public kind = Option.String();

  public name = Option.String();

  protected async run(client: OperatorClient): Promise<number> {
    const answer = await client.get<Explanation>(`/objects/${this.kind}/${this.name}`);
    if (answer.status !== 200) return this.fail(answer);
    const { value } = answer;
    this.print(value, () => this.describe(value));
    return 0;
  }

  private describe(value: Explanation): string {
    const { ticket, inForce } = value;
    const lines = [
      `${value.kind} ${value.name}`,
      `  since ticket ${value.last}${ticket ? `, ${ticket.at}` : ''}`,
      `  by     ${ticket?.author ?? inForce?.author ?? '(the table service does not answer)'}`,
      `  why    ${ticket?.reason ?? inForce?.reason ?? ''}`,
      `  base for your next ticket: ${value.last}`,
      inForce === undefined ? 'Removed.' : `In force:\n${indent(stringify(inForce.state))}`,
    ];
    if (value.previous !== undefined)
      lines.push(
        `Replaced (ticket ${inForce?.replaced ?? 0}):\n${indent(stringify(value.previous))}`,
      );
    return `${lines.join('\n')}\n`;
  }
}

function indent(text: string): string {
  return text
    .trimEnd()
    .split('\n')
    .map((line) => `  ${line}`)
    .join('\n');
}

export class TicketStatusCommand extends OperatorCommand {
  public static override paths = [['ticket', 'status'], ['status']];

  public static override usage = Command.Usage({
    description:
      'Shows the instances with the ticket in force at each, the servers, the queues and what is leaving.',
    examples: [['Show the fleet', 'acaciadrum ticket status']],
  });

  protected async run(client: OperatorClient): Promise<number> {
    const answer = await client.get<Status>('/status');
    if (answer.status !== 200) return this.fail(answer);
    const { value } = answer;
    this.print(value, () =>
      [
        `Status as known to ${value.instance}; ticket ${value.ticket} is in force there.\n`,
        table(
          ['INSTANCE', 'FAILURE DOMAIN', 'TICKET', 'READY', 'LEAVING', 'LAST HEARD (MS AGO)'],
          value.instances.map((row) => [
            row.instance,
            row.failureDomain,
            row.applied,
            row.ready,
            row.leaving,
            row.heardMsAgo,
          ]),
        ),
        table(
          ['SERVER', 'FAILURE DOMAIN', 'MARK', 'BUSY MS'],
          value.servers.map((row) => [row.server, row.failureDomain, row.mark, row.busyMs]),
        ),
        table(
          ['PIPELINE', 'WAITING', 'RUNNING'],
          value.queues.map((row) => [row.pipeline, row.waiting, row.running]),
        ),
      ].join('\n'),
    );
    return 0;
  }
}
