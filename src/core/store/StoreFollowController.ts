/**
 * Decides whether this instance follows the store itself.
 *
 * The hub of each failure domain does, and the other instances receive the changes from it, so that the
 * number of calls to the store grows with the number of failure domains, not of instances. Any instance
 * also follows the store while no peer confirms that what it knows is the newest.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';

/** This instance's role, and what peers report about the store. */
export interface PeerStoreStatus {
  /** Whether this instance is the hub of its failure domain. */
  readonly isHub: boolean;
  /** Time since peers last confirmed that the store has nothing newer, in milliseconds. */
  readonly peerStoreAgeMs: number;
  /** Time since the last exchange with a peer that knew nothing newer, in milliseconds. */
  readonly exchangeAgeMs: number;
}

/** Follows the store while started. */
export interface StoreFollower {
  start(): void;
  /** Stops making calls to the store. */
  stop(): void;
}

export interface StoreFollowControllerDependencies {
  readonly clock: Clock;
  readonly peers: PeerStoreStatus;
  readonly follower: StoreFollower;
  readonly decisions: DecisionLog;
}

/** Interval between evaluations, in milliseconds; the same as that between the digests of peers. */
const EVALUATION_INTERVAL_MS = 250;

/** Delay of the first evaluation, in milliseconds: peers are asked first, and answer in a few link delays. */
const FIRST_EVALUATION_MS = 120;

/**
 * Age up to which a confirmation is recent, in milliseconds: the hub's feed waits 1.8 s for a change, and
 * configuration must be in force in 3 s.
 */
const MAX_ANSWER_AGE_MS = 2600;

/**
 * Time without a confirming exchange after which peers are not relied on, in milliseconds: a lost hub is
 * replaced sooner, and configuration must be in force in seconds.
 */
const MAX_EXCHANGE_AGE_MS = 1000;

/**
 * Time for which following continues after it is no longer needed, in milliseconds, so that a hub that is
 * slow now and then does not cause a read each time.
 */
const FOLLOW_HOLD_MS = 3000;

export class StoreFollowController {
  private followsUntil = -Infinity;

  private isFollowing = false;

  private timer: Disposable | undefined;

  public constructor(private readonly dependencies: StoreFollowControllerDependencies) {}

  public start(): void {
    this.timer = this.dependencies.clock.schedule(FIRST_EVALUATION_MS, () => this.evaluate());
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private evaluate(): void {
    const { clock, peers } = this.dependencies;
    const now = clock.now();
    const { isHub, peerStoreAgeMs, exchangeAgeMs } = peers;
    const isConfirmed = peerStoreAgeMs <= MAX_ANSWER_AGE_MS && exchangeAgeMs <= MAX_EXCHANGE_AGE_MS;
    if (isHub || !isConfirmed) this.followsUntil = now + FOLLOW_HOLD_MS;
    this.setFollowing(now < this.followsUntil, isHub, peerStoreAgeMs);
    this.timer = clock.schedule(EVALUATION_INTERVAL_MS, () => this.evaluate());
  }

  private setFollowing(follows: boolean, isHub: boolean, peerStoreAgeMs: number): void {
    if (follows === this.isFollowing) return;
    this.isFollowing = follows;
    const { follower, decisions } = this.dependencies;
    if (follows) follower.start();
    else follower.stop();
    decisions.record('store-duty', { follows, isHub, heardMs: Math.round(peerStoreAgeMs) });
  }
}
