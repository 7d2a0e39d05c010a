/** A request of a ranked service from its arrival until it is sent or refused. */
import type { RefusalReason } from '../Outcome.js';
import { WHOLE_ROOM, type RoomLimits } from './RoomLimits.js';
import type { WaitingRequest } from './WaitingRoom.js';

/**
 * Fraction of its objective for which a request waits: a caller hardly notices it in the time to the first event,
 * and one that is refused after it can still be served well elsewhere.
 */
const WAIT_SHARE = 0.125;

/** Layers for which a request finds no server; empty if there are none. */
export interface RouteGaps {
  /** Layers that no usable server holds. */
  readonly missing: string;
  /** Layers, the missing ones included, for which no usable server has room. */
  readonly full: string;
}

/** A request that asks for room. */
export interface Applicant {
  readonly id: string;
  readonly service: string;
  readonly route: string;
  /** Undefined if the service needs no keys. */
  readonly account: string | undefined;
  readonly rank: number;
  /** Identifies the request when its caller sends it again. */
  readonly fingerprint: string;
  /** Tokens of prompt and answer. */
  readonly tokens: number;
  readonly bytes: number;
  /** Time to the first event within which the caller is well served, in milliseconds. */
  readonly objectiveMs: number | undefined;
  /** Clock time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /**
   * Sends the request if a route has room for it within limits.
   * @returns false if none has
   */
  trySend(limits: RoomLimits): boolean;
  /** Tells why no route was found, whatever the limits. */
  explainNoRoute(): RouteGaps;
  refuse(reason: RefusalReason): void;
}

/** What the admission does with a request that it has taken. */
export interface AdmissionSteps {
  readonly tryAdmit: (admission: PendingAdmission) => boolean;
  readonly refuse: (admission: PendingAdmission) => void;
}

/** One request from its arrival until it is sent or refused. */
export class PendingAdmission implements WaitingRequest {
  public rank: number;

  public hasWaited = false;

  /** Limits that applied last. */
  public limits: RoomLimits = WHOLE_ROOM;

  public constructor(
    public readonly id: string,
    public readonly applicant: Applicant,
    public readonly isReturn: boolean,
    public readonly askedAt: number,
    private readonly steps: AdmissionSteps,
  ) {
    this.rank = applicant.rank;
  }

  /** Time until which the request may wait; that of its arrival if it has no objective. */
  public get endsAt(): number {
    return this.applicant.arrivedAt + WAIT_SHARE * (this.applicant.objectiveMs ?? 0);
  }

  public get account(): string {
    return this.applicant.account ?? '';
  }

  public get tokens(): number {
    return this.applicant.tokens;
  }

  public get bytes(): number {
    return this.applicant.bytes;
  }

  public tryAdmit(): boolean {
    return this.steps.tryAdmit(this);
  }

  public refuse(): void {
    this.steps.refuse(this);
  }
}
