/**
 * Decides which requests are sent, wait or are refused where ranks compete for the room of an engine's servers.
 *
 * Answers the load pattern of crowds of different urgency on too little room: what is sent first is not what came
 * first. Requests of services without competing ranks do not come here.
 */
import type { Clock, Disposable, Random } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import { RefusalReason } from '../Outcome.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { RouteTable } from '../deployment/RouteTable.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import { EvenSpread } from '../limits/EvenSpread.js';
import { RetryAfterEstimator } from '../limits/RetryAfterEstimator.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import { PendingAdmission, type Applicant } from './PendingAdmission.js';
import { RankedDemand } from './RankedDemand.js';
import { ReturningCallers } from './ReturningCallers.js';
import { WHOLE_ROOM, type RoomLimits } from './RoomLimits.js';
import { WaitingRoom } from './WaitingRoom.js';

/** How a request of a ranked service passed admission. */
export enum AdmissionEnd {
  Admitted = 'admitted',
  AdmittedAfterWait = 'waited',
  Refused = 'refused',
}

/** Counts how the requests of each rank pass admission, and how long they wait. */
export interface AdmissionCounters {
  countAdmission(rank: number, end: AdmissionEnd): void;
  /** @param ms - time in the waiting room, in milliseconds, of those that waited */
  recordWait(rank: number, ms: number): void;
}

export interface RankedAdmissionDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly decisions: DecisionLog;
  readonly counters: AdmissionCounters;
}

/** What decided about a request; fields of log lines. */
type AdmissionInputs = Readonly<
  Record<'rank' | 'room' | 'maxBacklogMs' | 'waitedMs' | 'waiting', number | undefined>
>;

/**
 * Fraction of each server that is kept for more urgent requests if they use all of it: what they take within
 * half a second, the age of peers' reports, of answers that take two to four seconds.
 */
const MAX_RESERVE = 0.2;

/** Fraction of the reserve that stays while all of the more urgent requests find room. */
const CALM_RESERVE = 0.5;

/** Share of more urgent requests without room at which the whole reserve is kept. */
const FULL_RESERVE_MISSES = 0.1;

/** Fraction of each server that is kept for a starved rank from more urgent ones. */
const STARVED_RESERVE = 0.05;

/** Fraction of the reserve that a request leaves free that comes back after a refusal. */
const RETURN_RESERVE = 0.5;

/**
 * Fraction of the objective of more urgent requests up to which the busiest server of a route may have prefill to do
 * when a less urgent prompt is added. The rest is for the urgent prompt itself, links and decode steps.
 */
const BACKLOG_SHARE = 0.35;

/** Maximum number of requests of one service that wait, and their total size, on one instance. */
const WAITING_BOUNDS = { maxEntries: 64, maxBytes: 8 * 1024 * 1024 };

export class RankedAdmission implements Disposable {
  private readonly demand = new RankedDemand();

  private readonly returning = new ReturningCallers();

  private readonly rooms = new Map<string, WaitingRoom>();

  /** Estimators of retry-after delays by service, and by service and rank. */
  private readonly estimators = new Map<string, RetryAfterEstimator>();

  /** Ranks of each service, as logged last. */
  private readonly loggedRanks = new Map<string, string>();

  private submitted = 0;

  private readonly subscriptions: readonly Disposable[];

  private isDisposed = false;

  public constructor(private readonly dependencies: RankedAdmissionDependencies) {
    const offer = () => {
      for (const room of this.rooms.values()) room.offerSoon();
    };
    const { load, directory, deployments } = dependencies;
    this.subscriptions = [
      load.onRelease(offer),
      directory.onChange(offer),
      deployments.onChange((table) => this.applyRanks(table)),
    ];
  }

  /** Number of waiting requests. */
  public get waiting(): number {
    let waiting = 0;
    for (const room of this.rooms.values()) waiting += room.size;
    return waiting;
  }

  /**
   * Sends, holds or refuses a new request.
   * @returns withdraws the request, whose caller has gone or that has ended otherwise, from those that wait
   */
  public submit(applicant: Applicant): Disposable {
    const { clock } = this.dependencies;
    const { service, rank, tokens, fingerprint } = applicant;
    const now = clock.now();
    this.demand.recordRequest(service, rank, tokens, now);
    const isReturn = this.returning.takeReturn(fingerprint, now);
    this.submitted += 1;
    const id = String(this.submitted);
    const pending = new PendingAdmission(id, applicant, isReturn, now, {
      tryAdmit: (admission) => this.tryAdmit(admission),
      refuse: (admission) => this.refuse(admission),
    });
    pending.limits = this.limitsOf(service, rank, isReturn);
    const room = this.roomOf(service);
    // What becomes free is for those that wait already, unless the newcomer is more urgent.
    const isSent = !room.isAhead(rank) && pending.tryAdmit();
    if (!isSent && !this.hold(pending, room)) pending.refuse();
    return { dispose: () => room.leave(id) };
  }

  /** Returns what estimates the retry-after delays of a rank's requests to a service. */
  public retryAfterEstimator(service: string, rank: number): RetryAfterEstimator {
    const key = `${service}/${rank}`;
    let estimator = this.estimators.get(key);
    if (estimator === undefined) {
      const spread = new EvenSpread(this.dependencies.random);
      estimator = new RetryAfterEstimator(spread, this.wholeEstimator(service));
      this.estimators.set(key, estimator);
    }
    return estimator;
  }

  /** Returns the estimator of all requests to a service, for ranks with few of their own. */
  private wholeEstimator(service: string): RetryAfterEstimator {
    let whole = this.estimators.get(service);
    if (whole === undefined) {
      whole = new RetryAfterEstimator(this.dependencies.random);
      this.estimators.set(service, whole);
    }
    return whole;
  }

  /** Refuses all requests that wait; later ones do not wait. */
  public dispose(): void {
    this.isDisposed = true;
    for (const subscription of this.subscriptions) subscription.dispose();
    for (const room of this.rooms.values()) room.dispose();
  }

  /** Returns the limits of a rank's requests now. */
  public limitsOf(service: string, rank: number, isReturn: boolean): RoomLimits {
    const now = this.dependencies.clock.now();
    const table = this.dependencies.deployments.currentTable;
    if (table?.hasRanks(service) !== true) return WHOLE_ROOM;
    const objectiveMs = table.objectiveAbove(service, rank);
    const urgentShare = this.demand.moreUrgentShare(service, rank, now);
    if (this.demand.isStarved(service, rank, now)) return WHOLE_ROOM;
    const floor = this.demand.isLessUrgentStarved(service, rank, now) ? STARVED_RESERVE : 0;
    if (urgentShare === 0)
      return floor === 0 ? WHOLE_ROOM : { share: 1 - floor, maxBacklogMs: Infinity };
    const misses = this.demand.moreUrgentMisses(service, rank, now) / FULL_RESERVE_MISSES;
    const needed = CALM_RESERVE + (1 - CALM_RESERVE) * Math.min(1, misses);
    // A request that comes back finds a part of what newcomers of its rank leave.
    const reserve = MAX_RESERVE * urgentShare * needed * (isReturn ? RETURN_RESERVE : 1);
    return {
      share: 1 - Math.max(reserve, floor),
      maxBacklogMs: BACKLOG_SHARE * (objectiveMs ?? Infinity),
    };
  }

  private tryAdmit(admission: PendingAdmission): boolean {
    const { clock, counters, decisions } = this.dependencies;
    const { applicant, rank, isReturn } = admission;
    const { service, tokens, id } = applicant;
    const limits = this.limitsOf(service, rank, isReturn);
    admission.limits = limits;
    if (!applicant.trySend(limits)) return false;
    const now = clock.now();
    this.demand.recordAdmission(service, rank, tokens, now);
    counters.countAdmission(
      rank,
      admission.hasWaited ? AdmissionEnd.AdmittedAfterWait : AdmissionEnd.Admitted,
    );
    if (!admission.hasWaited) return true;
    counters.recordWait(rank, now - admission.askedAt);
    decisions.record('admit', { id, ...this.inputs(admission) });
    return true;
  }

  private hold(admission: PendingAdmission, room: WaitingRoom): boolean {
    const { applicant } = admission;
    if (this.isDisposed || admission.endsAt <= this.dependencies.clock.now()) return false;
    // Layers come back after seconds, so that nothing could be sent in time.
    if (applicant.explainNoRoute().missing !== '') return false;
    if (!room.join(admission)) return false;
    admission.hasWaited = true;
    this.dependencies.decisions.record('hold', { id: applicant.id, ...this.inputs(admission) });
    return true;
  }

  private refuse(admission: PendingAdmission): void {
    const { clock, counters, decisions } = this.dependencies;
    const { applicant, rank, hasWaited, askedAt } = admission;
    const now = clock.now();
    this.returning.recordRefusal(applicant.fingerprint, now);
    counters.countAdmission(rank, AdmissionEnd.Refused);
    if (hasWaited) counters.recordWait(rank, now - askedAt);
    decisions.record('not-admitted', { id: applicant.id, ...this.inputs(admission) });
    const { missing, full } = applicant.explainNoRoute();
    if (missing !== '') this.demand.recordUnservable(applicant.service, rank, now);
    applicant.refuse(full === '' ? RefusalReason.RoomKept : RefusalReason.NoRoute);
  }

  private inputs({ applicant, rank, limits, askedAt }: PendingAdmission): AdmissionInputs {
    const { maxBacklogMs } = limits;
    return {
      rank,
      room: Math.round(limits.share * 100) / 100,
      maxBacklogMs: Number.isFinite(maxBacklogMs) ? Math.round(maxBacklogMs) : undefined,
      waitedMs: Math.round(this.dependencies.clock.now() - askedAt),
      waiting: this.rooms.get(applicant.service)?.size ?? 0,
    };
  }

  /** Applies the ranks of a new configuration to the requests that wait. */
  private applyRanks(table: RouteTable): void {
    this.logRanks(table);
    for (const room of this.rooms.values()) {
      room.rerank((request) => {
        const { applicant } = request as PendingAdmission;
        return table.rankOf(applicant.service, applicant.route, applicant.account) ?? request.rank;
      });
    }
  }

  private logRanks(table: RouteTable): void {
    const { services, ticket } = table.deployment;
    for (const service of services.keys()) {
      const ranks = table.ranksOf(service).join(',');
      if (this.loggedRanks.get(service) === ranks) continue;
      this.loggedRanks.set(service, ranks);
      this.dependencies.decisions.record('ranks', { service, ranks, ticket });
    }
  }

  private roomOf(service: string): WaitingRoom {
    let room = this.rooms.get(service);
    if (room === undefined) {
      room = new WaitingRoom(this.dependencies.clock, WAITING_BOUNDS);
      this.rooms.set(service, room);
    }
    return room;
  }
}
