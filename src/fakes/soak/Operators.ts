/** Simulated operators of the soak runs, who file concurrent tickets. */
import { InvariantKind } from '../../core/Invariant.js';
import {
  FilingStatus,
  submissionKey,
  ticketKey,
  type FilingResult,
  type SubmissionRow,
} from '../../core/tickets/TicketCommitter.js';
import { ObjectKind, type ChangeTicket, type CommittedTicket } from '../../core/tickets/Types.js';
import type { SoakServer } from './SoakServer.js';
import type { SoakInstance, SoakEnvironment } from './SoakEnvironment.js';

interface FiledTicket {
  readonly submission: string;
  readonly filing: FilingResult;
}

export class Operators {
  private readonly filed: FiledTicket[] = [];

  private open = 0;

  private serial = 0;

  public constructor(private readonly environment: SoakEnvironment) {}

  /** Number of filings without an answer. */
  public get openFilings(): number {
    return this.open;
  }

  public get acceptedFilings(): number {
    return this.filed.filter(({ filing }) => filing.status === FilingStatus.Accepted).length;
  }

  /** Files two tickets for the same server at the same time, each through a random instance. */
  public race(target: number): void {
    const server = this.environment.servers[target % this.environment.servers.length];
    const live = this.environment.instancesInRotation();
    if (live.length === 0) return;
    const first = this.environment.random.pick(live);
    const second = this.environment.random.pick(live);
    // Either ticket puts the server back in service, so an earlier drain no longer counts.
    server.drainedAt = Infinity;
    this.file(first, server, false, `race ${target} a`);
    this.file(second, server, false, `race ${target} b`);
  }

  /** Drains a server by ticket, and puts it back in service after `durationMs` milliseconds. */
  public async drain(server: SoakServer, durationMs: number): Promise<void> {
    const live = this.environment.instancesInRotation();
    if (live.length === 0) return;
    const filing = await this.file(this.environment.random.pick(live), server, true, 'drain');
    if (filing?.status !== FilingStatus.Accepted) return;

    server.drainedAt = this.environment.clock.now();
    await this.environment.clock.sleep(durationMs);

    server.drainedAt = Infinity;
    const liveAfterDrain = this.environment.instancesInRotation();
    if (liveAfterDrain.length > 0)
      await this.file(
        this.environment.random.pick(liveAfterDrain),
        server,
        false,
        'back in service',
      );
  }

  /**
   * Checks filings with a known outcome and accepted tickets against the table's rows at the end of a
   * run.
   */
  public checkFilings(): void {
    const { invariants, platform } = this.environment;
    for (const { submission, filing } of this.filed) {
      const [row] = platform.memory.readSync([submissionKey(submission)]);
      const committed = (row?.value as SubmissionRow | undefined)?.number ?? 0;
      if (filing.status === FilingStatus.Unknown) continue;
      const expected = filing.status === FilingStatus.Accepted ? filing.number : 0;
      invariants.check(
        InvariantKind.TicketOrder,
        committed === expected,
        () =>
          `${submission} was reported as ${filing.status} with ticket ${filing.number}, but the table holds ticket ${committed} for it (0: none)`,
      );
    }
    for (let number = 1; number <= this.environment.headTicketNumber; number += 1) {
      const [row] = platform.memory.readSync([ticketKey(number)]);
      invariants.check(
        InvariantKind.TicketOrder,
        (row?.value as CommittedTicket | undefined)?.number === number,
        () => `ticket ${number} is missing`,
      );
    }
  }

  private async file(
    instance: SoakInstance,
    server: SoakServer,
    leaving: boolean,
    reason: string,
  ): Promise<FilingResult | undefined> {
    this.serial += 1;
    const submission = `submission-${this.serial}`;
    const { configuration, ticketCommitter: committer } = instance.core;
    const ticket: ChangeTicket = {
      author: instance.host.name,
      reason,
      changes: [
        {
          kind: ObjectKind.BackendServer,
          name: server.name,
          base: configuration.lastTicket(ObjectKind.BackendServer, server.name),
          state: this.environment.serverState(server, leaving),
        },
      ],
    };
    this.open += 1;
    const filing = await Promise.race([
      committer.file(ticket, submission),
      instance.host.waitUntilStopped(),
    ]);
    this.open -= 1;
    if (filing === undefined) return undefined;
    this.filed.push({ submission, filing });
    if (filing.status === FilingStatus.Accepted) instance.core.propagateTicket();
    return filing;
  }
}
