/** Backend servers as this instance believes them to be. */
import type { Clock } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';
import type { LayerSpan, BackendServer } from './Types.js';

/** Why a server gets no new work. */
export enum UnusableReason {
  /** It said that it leaves, or its entry was removed. */
  Leaving = 'leaving',
  /** It refused connections, broke off or fell silent. */
  Suspect = 'suspect',
  /** It turned a request away a moment ago. */
  Full = 'full',
  /** It turned several requests away and took none between them. */
  Declining = 'declining',
}

/** One server with what is believed of it. */
export interface KnownServer {
  record: BackendServer;
  /** Revision of the last change taken in, removals included. */
  revision: number;
  leaving: boolean;
  /** Time until which the server counts as suspect. */
  suspectUntil: number;
  /** Time until which the server gets no new work, since it turned one away. */
  fullUntil: number;
  /** Time until which it gets new work only if nothing else holds its layers. */
  decliningUntil: number;
  /** Times that it turned work away without taking any between them. */
  rejections: number;
  /** Failures without a sign of life between them; lengthens the next suspicion. */
  failures: number;
  /** Time of the last sign that the server works. */
  lastAliveAt: number;
  /** Time since which the server leaves. */
  leavingSince: number;
  /** Time at which the entry was found missing; undefined while it is present. */
  missingSince: number | undefined;
}

/** First suspicion lasts this long; doubled with each failure in a row, in milliseconds. */
const FIRST_SUSPICION_MS = 700;

/** A suspicion never lasts longer, in milliseconds: a restarted server comes back within seconds. */
const MAX_SUSPICION_MS = 6000;

/** A server that turned a request away gets none for this time, in milliseconds: some memory is freed by then. */
const FULL_MS = 150;

/** A server that turns all requests away is passed over for at most this time, in milliseconds. */
const MAX_DECLINING_MS = 3000;

/** Entries that lapsed while the store was away return within two seconds of its return. */
const STORE_RECOVERY_MS = 2000;

/** A server that left is forgotten after this time, in milliseconds; its drain is over by then. */
const REMOVE_AFTER_MS = 30_000;

export class ServerDirectory {
  private readonly known = new Map<string, KnownServer>();

  private readonly byAddress = new Map<string, KnownServer>();

  private readonly changes = new Emitter<KnownServer>();

  private newestRevision = 0;

  private storeRecoveryUntil = -Infinity;

  /** Fires when a server is new, changed its layers, leaves or became suspect. */
  public readonly onChange = this.changes.event;

  public constructor(private readonly clock: Clock) {}

  /** Revision of the newest entry taken in. */
  public get revision(): number {
    return this.newestRevision;
  }

  /** Tells that the store could not be read: entries may be missing without their server being gone. */
  public noteStoreUnavailable(): void {
    this.storeRecoveryUntil = this.clock.now() + STORE_RECOVERY_MS;
  }

  /** Takes in an entry as the store holds it. @returns whether it says something new */
  public put(record: BackendServer): boolean {
    this.newestRevision = Math.max(this.newestRevision, record.revision);
    const server = this.known.get(record.id);
    if (server === undefined) {
      this.add(record);
      return true;
    }
    if (record.revision <= server.revision) return false;
    const isRestarted = record.incarnation !== server.record.incarnation;
    if (server.record.address !== record.address) this.changeAddress(server, record.address);
    server.record = record;
    server.revision = record.revision;
    server.missingSince = undefined;
    if (record.leaving && !server.leaving) server.leavingSince = this.clock.now();
    server.leaving = record.leaving;
    if (isRestarted) {
      server.suspectUntil = 0;
      server.failures = 0;
      server.decliningUntil = 0;
      server.rejections = 0;
    }
    this.changes.fire(server);
    return true;
  }

  /** Takes in the layers that a server itself has named, ahead of its entry in the store. */
  public applyReportedSpan(id: string, span: LayerSpan): void {
    const server = this.known.get(id);
    if (server !== undefined) this.setSpan(server, span);
  }

  /** Records that a server does not hold what its entry says: it started again, and the store is behind. */
  public clearSpan(id: string): void {
    const server = this.known.get(id);
    if (server?.record.span !== undefined) this.setSpan(server, undefined);
  }

  /** Takes in that an entry is missing since a revision. */
  public remove(id: string, revision: number): void {
    const server = this.known.get(id);
    if (server === undefined || server.missingSince !== undefined || revision <= server.revision)
      return;
    server.revision = revision;
    server.missingSince = this.clock.now();
    if (server.missingSince < this.storeRecoveryUntil) return;
    this.markLeaving(server);
  }

  /** Takes in all entries as of a revision; servers without one are treated as removed. */
  public replaceAll(records: readonly BackendServer[], revision: number): void {
    const present = new Set<string>();
    for (const record of records) {
      present.add(record.id);
      this.put(record);
    }
    for (const id of this.known.keys()) if (!present.has(id)) this.remove(id, revision);
  }

  /** Ends the benefit of the doubt of missing entries, and forgets servers that left long ago. */
  public sweep(): void {
    const now = this.clock.now();
    for (const [id, server] of this.known) {
      if (server.missingSince !== undefined && !server.leaving && now >= this.storeRecoveryUntil)
        this.markLeaving(server);
      if (!server.leaving || now - server.leavingSince < REMOVE_AFTER_MS) continue;
      this.known.delete(id);
      if (this.byAddress.get(server.record.address) === server)
        this.byAddress.delete(server.record.address);
    }
  }

  /** Suspects a server for a while. @returns how long, in milliseconds */
  public suspect(id: string): number {
    const server = this.known.get(id);
    if (server === undefined) return 0;
    const now = this.clock.now();
    if (server.suspectUntil > now) return server.suspectUntil - now;
    const durationMs = Math.min(MAX_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** server.failures);
    server.failures += 1;
    server.suspectUntil = now + durationMs;
    this.changes.fire(server);
    return durationMs;
  }

  /** Goes on suspecting a server, whatever it did before. */
  public extendSuspicion(id: string, durationMs: number): void {
    const server = this.known.get(id);
    if (server !== undefined) server.suspectUntil = this.clock.now() + durationMs;
  }

  /** Records a sign that a server works. */
  public noteAlive(id: string): void {
    const server = this.known.get(id);
    if (server === undefined) return;
    server.lastAliveAt = this.clock.now();
    server.failures = 0;
  }

  /** Time of the last sign that a server works. */
  public lastAliveAt(id: string): number {
    return this.known.get(id)?.lastAliveAt ?? -Infinity;
  }

  /**
   * Records that a server turned a request away. Once, it is short of memory; time after time, it leaves
   * and its entry does not say so, as the store may be away.
   */
  public noteRejection(id: string): void {
    const server = this.known.get(id);
    const now = this.clock.now();
    if (server === undefined || server.fullUntil > now) return;
    server.fullUntil = now + FULL_MS;
    server.decliningUntil = now + Math.min(MAX_DECLINING_MS, FULL_MS * 2 ** server.rejections);
    server.rejections += 1;
  }

  /** Records that a server took new work. */
  public noteAcceptance(id: string): void {
    const server = this.known.get(id);
    if (server !== undefined) server.rejections = 0;
  }

  public get(id: string): KnownServer | undefined {
    return this.known.get(id);
  }

  /** The server now at an address. */
  public findByAddress(address: string): KnownServer | undefined {
    return this.byAddress.get(address);
  }

  public all(): IterableIterator<KnownServer> {
    return this.known.values();
  }

  /** Why a server gets no new work; undefined when it may. */
  public unusableReason(server: KnownServer): UnusableReason | undefined {
    if (server.leaving) return UnusableReason.Leaving;
    const now = this.clock.now();
    if (server.suspectUntil > now) return UnusableReason.Suspect;
    if (server.fullUntil > now) return UnusableReason.Full;
    return server.decliningUntil > now ? UnusableReason.Declining : undefined;
  }

  public isUsable(id: string): boolean {
    const server = this.known.get(id);
    return server !== undefined && this.unusableReason(server) === undefined;
  }

  /** Whether a server can go on with work that it has. */
  public isWorking(id: string): boolean {
    const server = this.known.get(id);
    return server !== undefined && !server.leaving && server.suspectUntil <= this.clock.now();
  }

  private setSpan(server: KnownServer, span: LayerSpan | undefined): void {
    server.record = { ...server.record, span };
    this.changes.fire(server);
  }

  private add(record: BackendServer): void {
    const server: KnownServer = {
      record,
      revision: record.revision,
      leaving: record.leaving,
      suspectUntil: 0,
      fullUntil: 0,
      decliningUntil: 0,
      rejections: 0,
      failures: 0,
      lastAliveAt: -Infinity,
      leavingSince: record.leaving ? this.clock.now() : Infinity,
      missingSince: undefined,
    };
    this.known.set(record.id, server);
    this.assignAddress(server, record.address);
    this.changes.fire(server);
  }

  private changeAddress(server: KnownServer, address: string): void {
    if (this.byAddress.get(server.record.address) === server)
      this.byAddress.delete(server.record.address);
    this.assignAddress(server, address);
  }

  /** Notes where a server is reached. Addresses are used again only after their server has ended. */
  private assignAddress(server: KnownServer, address: string): void {
    const previous = this.byAddress.get(address);
    if (previous !== undefined && previous !== server) {
      if (previous.record.incarnation > server.record.incarnation) return;
      if (!previous.leaving) this.markLeaving(previous);
    }
    this.byAddress.set(address, server);
  }

  private markLeaving(server: KnownServer): void {
    server.leaving = true;
    server.leavingSince = this.clock.now();
    this.changes.fire(server);
  }
}
