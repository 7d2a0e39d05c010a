/** Keeps the configuration at the newest ticket, from polls of the table service and from peers. */
import {
  CommitStatus,
  type Clock,
  type Disposable,
  type ObjectStore,
  type Row,
  type TableService,
} from '../../ports/Types.js';
import type { Configuration } from './Configuration.js';
import { HEAD_KEY, ticketKey, type HeadRow } from './TicketCommitter.js';
import type { CommittedTicket, Snapshot } from './Types.js';

/** Dependencies of a {@link TicketFollower}. */
export interface TicketFollowerDependencies {
  readonly clock: Clock;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly configuration: Configuration;
  /** Whether this instance is currently one of its failure domain's pollers. */
  readonly isPoller: () => boolean;
  readonly log: (message: string) => void;
}

/** Interval at which pollers read the head, which is the number of the newest ticket, in milliseconds. */
export const HEAD_POLL_INTERVAL_MS = 500;

/** An instance whose head was not confirmed for this long polls on its own, in milliseconds. */
export const HEAD_CONFIRMATION_TIMEOUT_MS = 1500;

/** Tickets read in one call. */
const READ_BATCH_SIZE = 64;

/** Tickets between two snapshots in the object store. */
const SNAPSHOT_INTERVAL = 200;

/**
 * Tickets kept in memory for peers that lag behind. An instance that lags by more loads the stored snapshot
 * before it reads tickets.
 */
const MAX_RECENT_TICKETS = 512;

/** Upper bound of the reported head age, in milliseconds. */
const MAX_HEAD_AGE_MS = 3_600_000;

const SNAPSHOT_NAME = 'snapshot/latest';

export class TicketFollower {
  private readonly recent = new Map<number, CommittedTicket>();

  private timer: Disposable | undefined;

  /** First head that was confirmed, or -1 before that; the instance is ready once it has reached it. */
  private readyHead = -1;

  private headConfirmedAt = -Infinity;

  private polling = false;

  private disposed = false;

  /** Number of reads of the table service, for measurements. */
  public reads = 0;

  public constructor(private readonly dependencies: TicketFollowerDependencies) {}

  /** Whether this instance has reached a head that a live peer or the table service confirmed. */
  public get isReady(): boolean {
    return this.readyHead >= 0 && this.dependencies.configuration.ticketNumber >= this.readyHead;
  }

  /** Starts polling, with the first check at once. */
  public start(): void {
    this.tick();
  }

  public dispose(): void {
    this.disposed = true;
    this.timer?.dispose();
  }

  /** Time since the table service last confirmed the head, here or at a peer, in milliseconds. */
  public get headAgeMs(): number {
    return Math.min(MAX_HEAD_AGE_MS, this.dependencies.clock.now() - this.headConfirmedAt);
  }

  /**
   * Receives the head of a live, ready peer. It confirms the head here only if all its tickets are applied:
   * otherwise this instance reads them itself unless a peer soon sends them.
   * @param head - number of the last ticket that the peer applied
   * @param ageMs - time since the table service confirmed it, in milliseconds
   * @param asOf - time from which the age counts, in milliseconds of the monotonic clock
   */
  public receivePeerHead(head: number, ageMs: number, asOf: number): void {
    if (this.dependencies.configuration.ticketNumber >= head)
      this.headConfirmedAt = Math.max(this.headConfirmedAt, asOf - ageMs);
    this.setReadyHead(head);
  }

  /** Applies tickets from a peer; those out of order are ignored. */
  public applyTickets(tickets: readonly CommittedTicket[]): void {
    for (const ticket of tickets) this.apply(ticket);
  }

  /** Applies a snapshot from a peer; an older one is ignored. */
  public applySnapshot(snapshot: Snapshot): void {
    this.dependencies.configuration.load(snapshot);
  }

  /**
   * Tickets after `number`, oldest first; empty when some of them are no longer in memory.
   * @param limit - largest number of tickets to return
   */
  public ticketsAfter(number: number, limit: number): CommittedTicket[] {
    const found: CommittedTicket[] = [];
    const last = Math.min(this.dependencies.configuration.ticketNumber, number + limit);
    for (let next = number + 1; next <= last; next += 1) {
      const ticket = this.recent.get(next);
      if (ticket === undefined) return [];
      found.push(ticket);
    }
    return found;
  }

  /** Reads the head and applies the missing tickets. After a failure, the next poll tries again. */
  public async poll(): Promise<void> {
    if (this.polling) return;
    this.polling = true;
    try {
      this.reads += 1;
      const [row] = await this.dependencies.table.read([HEAD_KEY]);
      const head = (row?.value as HeadRow | undefined)?.number ?? 0;
      if (head - this.dependencies.configuration.ticketNumber > MAX_RECENT_TICKETS)
        await this.loadStoredSnapshot();
      await this.readUpTo(head);
      if (!this.isReady) await this.confirmReadHead(row);
      this.headConfirmedAt = this.dependencies.clock.now();
    } catch {
      this.dependencies.log(
        'Failed to read tickets; the configuration stays at its current ticket, and the next poll retries. Check the table service if this persists.',
      );
    } finally {
      this.polling = false;
    }
  }

  private tick(): void {
    if (this.disposed) return;
    const isHeadStale =
      this.dependencies.clock.now() - this.headConfirmedAt > HEAD_CONFIRMATION_TIMEOUT_MS;
    if (isHeadStale || !this.isReady || this.dependencies.isPoller()) this.poll();
    this.timer = this.dependencies.clock.schedule(HEAD_POLL_INTERVAL_MS, () => this.tick());
  }

  private setReadyHead(head: number): void {
    if (this.readyHead < 0) this.readyHead = head;
  }

  /**
   * Confirms by a transaction that a head just read is current: reads may be stale, transactions
   * are not.
   */
  private async confirmReadHead(row: Row | undefined): Promise<void> {
    const commit = await this.dependencies.table.transact({
      conditions: [{ key: HEAD_KEY, version: row?.version ?? 0 }],
      writes: [],
    });
    if (commit.status === CommitStatus.Committed)
      this.setReadyHead((row?.value as HeadRow | undefined)?.number ?? 0);
  }

  private async readUpTo(head: number): Promise<void> {
    const { configuration } = this.dependencies;
    while (configuration.ticketNumber < head) {
      const from = configuration.ticketNumber + 1;
      const count = Math.min(READ_BATCH_SIZE, head - configuration.ticketNumber);
      const keys = Array.from({ length: count }, (_, index) => ticketKey(from + index));
      this.reads += 1;
      const rows = await this.dependencies.table.read(keys);
      if (!this.applyRows(rows) && configuration.ticketNumber < from) return;
    }
  }

  private applyRows(rows: readonly (Row | undefined)[]): boolean {
    let applied = false;
    for (const row of rows) {
      if (row === undefined) return applied;
      if (this.apply(row.value as CommittedTicket)) applied = true;
    }
    return applied;
  }

  private apply(ticket: CommittedTicket): boolean {
    if (!this.dependencies.configuration.apply(ticket)) return false;
    this.recent.set(ticket.number, ticket);
    this.recent.delete(ticket.number - MAX_RECENT_TICKETS);
    this.dependencies.log(`Ticket ${ticket.number} is in force on this instance.`);
    if (ticket.number % SNAPSHOT_INTERVAL === 0) this.storeSnapshot();
    return true;
  }

  private storeSnapshot(): void {
    if (!this.dependencies.isPoller()) return;
    const body = JSON.stringify(this.dependencies.configuration.snapshot());
    this.dependencies.objects
      .put(SNAPSHOT_NAME, body)
      .catch(() =>
        this.dependencies.log(
          'Failed to store a snapshot in the object store. The previous one remains in use until a later snapshot is stored.',
        ),
      );
  }

  /**
   * Loads the stored snapshot. An old one does no harm: the tickets after it are read from the
   * table service.
   */
  private async loadStoredSnapshot(): Promise<void> {
    const body = await this.dependencies.objects.get(SNAPSHOT_NAME);
    if (body !== undefined) this.dependencies.configuration.load(JSON.parse(body) as Snapshot);
  }
}
