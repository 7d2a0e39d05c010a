/** Tracks the backend servers and their health, as far as this instance knows. */
import type { Clock } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';
import type { ServerProcess } from '../limits/ServerLimits.js';
import { eraOf, type Revision } from '../store/Revision.js';
import type { LayerSpan, BackendServer } from './Types.js';

/**
 * Why a server is avoided for new work. A declining server is still used as a last resort, and a full one
 * as well if it runs a plain service.
 */
export enum AvoidReason {
  /**
   * Its entry or an answer says that it is leaving, its entry in the store was removed, or another server now
   * has its address.
   */
  Leaving = 'leaving',
  /** It refused or dropped a connection, or went silent. */
  Suspect = 'suspect',
  /** It turned a request of this instance away and asked for a pause. */
  HeldBack = 'held-back',
  /** Its limit of requests a second allows no further request of this instance for now. */
  Limited = 'limited',
  /** It rejected a request a moment ago. */
  Full = 'full',
  /** It rejected several requests in a row and accepted none in between. */
  Declining = 'declining',
}

/** A server's entry in the store and its state as seen by this instance. */
export interface KnownServer {
  record: BackendServer;
  /** Revision of the last applied change, including removals. */
  revision: Revision;
  leaving: boolean;
  /** Time until which the server counts as suspect. */
  suspectUntil: number;
  /** Time until which the server counts as full because it rejected a request. */
  fullUntil: number;
  /**
   * Time until which the server counts as declining. Routes through an engine's servers use it only if
   * there is no route without declining servers.
   */
  decliningUntil: number;
  /** Consecutive rejections without an accepted request in between. */
  rejections: number;
  /** Consecutive failures with no sign in between that the server works; each doubles the next suspicion. */
  failures: number;
  /** Time of the last sign that the server works; -Infinity if there was none. */
  lastAliveAt: number;
  /** Time at which the server began to leave; Infinity before that. */
  leavingSince: number;
  /** Time at which the entry was found missing; undefined while it is present. */
  missingSince: number | undefined;
}

/** Duration of the first suspicion, in milliseconds; doubles with each consecutive failure. */
const FIRST_SUSPICION_MS = 700;

/**
 * Longest suspicion that a failure starts, in milliseconds; unanswered probes prolong it. A restarted server
 * is back within seconds.
 */
const MAX_SUSPICION_MS = 6000;

/** Pause for a server that rejected a request, in milliseconds. Some memory is freed by then. */
const FULL_MS = 150;

/** Longest time for which a server that rejects all requests is passed over, in milliseconds. */
const MAX_DECLINING_MS = 3000;

/**
 * Time after a failed store read during which missing entries do not count as removed, in milliseconds:
 * entries that expired during a store outage reappear within two seconds of its end.
 */
const STORE_RECOVERY_MS = 2000;

/** Time after which a leaving server is removed, in milliseconds. Its drain has ended by then. */
const REMOVE_AFTER_MS = 30_000;

/** Whether an entry says more than what is known of its server. */
function isNewer(
  record: BackendServer,
  { record: known, revision, leaving }: KnownServer,
): boolean {
  if (record.revision !== revision) return record.revision > revision;
  // A peer may know what the store lost: its entry then has the revision at which the store came back.
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation;
  return record.leaving && !leaving;
}

/** Returns the entry of a process that has said that it is leaving. */
function withSaidLeaving(record: BackendServer): BackendServer {
  return { ...record, leaving: true, saidLeaving: true };
}

export class ServerDirectory {
  private readonly known = new Map<string, KnownServer>();

  private readonly byAddress = new Map<string, KnownServer>();

  private readonly changes = new Emitter<KnownServer>();

  private newestRevision: Revision = 0;

  private storeRecoveryUntil = -Infinity;

  /**
   * Fires when a server's entry is added or replaced by a newer one, when its layers change, and when it
   * begins to leave or becomes suspect.
   */
  public readonly onChange = this.changes.event;

  /** Revision up to which every change has been applied; 0 if the entries come from peers alone. */
  private completeRevision: Revision = 0;

  public constructor(private readonly clock: Clock) {}

  /** Revision of the newest applied entry. */
  public get revision(): Revision {
    return this.newestRevision;
  }

  /** Records that a store read failed: an entry may be missing although its server still runs. */
  public noteStoreUnavailable(): void {
    this.storeRecoveryUntil = this.clock.now() + STORE_RECOVERY_MS;
  }

  /**
   * Applies a server's entry in the store.
   * @returns false if this or a newer revision was applied already
   */
  public put(record: BackendServer): boolean {
    this.newestRevision = Math.max(this.newestRevision, record.revision);
    const server = this.known.get(record.id);
    if (server === undefined) {
      this.add(record);
      // A peer that missed the removal of an entry would otherwise bring its server back into use.
      if (record.revision < this.completeRevision) this.remove(record.id, this.completeRevision);
      return true;
    }
    const beginsToLeave =
      record.saidLeaving === true && this.noteLeaving(record.id, record.incarnation);
    if (!isNewer(record, server)) return beginsToLeave;
    const isOfLaterEra = eraOf(record.revision) > eraOf(server.revision);
    server.revision = record.revision;
    server.missingSince = undefined;
    // The first entry of an era may be a copy from before the server's restart or before it began to leave.
    if (isOfLaterEra && record.incarnation < server.record.incarnation) {
      this.changes.fire(server);
      return true;
    }
    const isRestarted = record.incarnation !== server.record.incarnation;
    const remainsLeaving = isOfLaterEra && server.leaving && !isRestarted;
    if (server.record.address !== record.address) this.changeAddress(server, record.address);
    const saidLeaving = server.record.saidLeaving === true && !isRestarted;
    server.record = saidLeaving ? withSaidLeaving(record) : record;
    const isLeaving = server.record.leaving || remainsLeaving;
    if (isLeaving && !server.leaving) server.leavingSince = this.clock.now();
    server.leaving = isLeaving;
    if (isRestarted) {
      server.suspectUntil = 0;
      server.failures = 0;
      server.decliningUntil = 0;
      server.rejections = 0;
    }
    this.changes.fire(server);
    return true;
  }

  /**
   * Records that an answer of a server's process said that it is leaving. Only a new process ends that.
   * @returns false if the process is not the known one, or said so before
   */
  public noteLeaving(id: string, incarnation: number): boolean {
    const server = this.known.get(id);
    if (server === undefined || server.record.incarnation !== incarnation) return false;
    if (server.record.saidLeaving === true) return false;
    server.record = withSaidLeaving(server.record);
    if (!server.leaving) this.markLeaving(server);
    return true;
  }

  /** Applies the layers that a server itself reported, before its entry in the store shows them. */
  public applyReportedSpan(id: string, span: LayerSpan): void {
    const server = this.known.get(id);
    if (server !== undefined) this.setSpan(server, span);
  }

  /**
   * Clears the layers of a server that does not hold what its entry says, because it restarted and
   * the store is not up to date.
   */
  public clearSpan(id: string): void {
    const server = this.known.get(id);
    if (server?.record.span !== undefined) this.setSpan(server, undefined);
  }

  /**
   * Records that an entry is missing as of a revision. The server begins to leave at once, or, if the
   * store was unavailable lately, in a later `sweep`.
   */
  public remove(id: string, revision: Revision): void {
    const server = this.known.get(id);
    if (server === undefined || server.missingSince !== undefined || revision <= server.revision)
      return;
    server.revision = revision;
    server.missingSince = this.clock.now();
    if (server.missingSince < this.storeRecoveryUntil) return;
    this.markLeaving(server);
  }

  /** Records that every change of an entry up to a revision has been applied here. */
  public noteComplete(revision: Revision): void {
    this.completeRevision = Math.max(this.completeRevision, revision);
  }

  /** Applies all entries as of a revision. Servers without an entry are treated as removed. */
  public replaceAll(records: readonly BackendServer[], revision: Revision): void {
    const present = new Set<string>();
    for (const record of records) {
      present.add(record.id);
      this.put(record);
    }
    for (const id of this.known.keys()) if (!present.has(id)) this.remove(id, revision);
    this.noteComplete(revision);
  }

  /**
   * Marks servers whose entries have not reappeared after a store outage as leaving, and removes
   * servers that left long ago.
   */
  public sweep(): void {
    const now = this.clock.now();
    for (const [id, server] of this.known) {
      if (server.missingSince !== undefined && !server.leaving && now >= this.storeRecoveryUntil)
        this.markLeaving(server);
      if (!server.leaving || now - server.leavingSince < REMOVE_AFTER_MS) continue;
      // Its entry would bring a server back that only its own answers call leaving.
      if (server.record.saidLeaving === true && server.missingSince === undefined) continue;
      this.known.delete(id);
      if (this.byAddress.get(server.record.address) === server)
        this.byAddress.delete(server.record.address);
    }
  }

  /**
   * Marks a server as suspect, unless it already is.
   * @returns time for which the server remains suspect, in milliseconds; 0 if the server is unknown
   */
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

  /**
   * Sets how long a server remains suspect, without counting another failure.
   * @param durationMs - time from now, in milliseconds
   */
  public setRemainingSuspicion(id: string, durationMs: number): void {
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

  /** Time of the last sign that a server works; -Infinity if there was none. */
  public lastAliveAt(id: string): number {
    return this.known.get(id)?.lastAliveAt ?? -Infinity;
  }

  /**
   * Records that a server rejected a request. A single rejection means that it is short of memory.
   * Repeated ones suggest that it is leaving although its entry does not say so, for example because the
   * store is unavailable.
   */
  public noteRejection(id: string): void {
    const server = this.known.get(id);
    const now = this.clock.now();
    if (server === undefined || server.fullUntil > now) return;
    server.fullUntil = now + FULL_MS;
    server.decliningUntil = now + Math.min(MAX_DECLINING_MS, FULL_MS * 2 ** server.rejections);
    server.rejections += 1;
  }

  /** Records that a server accepted new work. */
  public noteAcceptance(id: string): void {
    const server = this.known.get(id);
    if (server !== undefined) server.rejections = 0;
  }

  public get(id: string): KnownServer | undefined {
    return this.known.get(id);
  }

  /** Returns the server that has an address now. */
  public findByAddress(address: string): KnownServer | undefined {
    return this.byAddress.get(address);
  }

  /** Number of known servers that are leaving or gone. */
  public get leavingCount(): number {
    let count = 0;
    for (const { leaving } of this.known.values()) if (leaving) count += 1;
    return count;
  }

  public all(): IterableIterator<KnownServer> {
    return this.known.values();
  }

  /** Whether a server that is not leaving gives no sign of life. `ServerAdmission` tells whether it may be given work. */
  public isSuspect({ leaving, suspectUntil }: KnownServer): boolean {
    return !leaving && suspectUntil > this.clock.now();
  }

  /**
   * Whether a server can continue the work that it has: it is known and neither leaving nor suspect, but
   * may be full or declining.
   */
  public isWorking(id: string): boolean {
    const server = this.known.get(id);
    return server !== undefined && !server.leaving && server.suspectUntil <= this.clock.now();
  }

  /** Whether a process of a server has ended: its entry is gone, or shows another process. */
  public hasEnded({ id, incarnation }: ServerProcess): boolean {
    const server = this.known.get(id);
    if (server === undefined || server.record.incarnation !== incarnation) return true;
    return server.leaving && server.missingSince !== undefined;
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

  /** Assigns an address to a server. Addresses are reused only after their previous server has ended. */
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
