/**
 * Decides whether this instance follows the store itself.
 *
 * One instance of each failure domain does, and the others hear from it: calls to the store then grow with
 * the number of failure domains, not of instances. An instance that hears of no fresh answer of the store
 * from anyone follows it as well.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';

/** What peers say of the store. */
export interface PeerStoreStatus {
  /** Whether this instance is the hub of its failure domain. */
  readonly isHub: boolean;
  /** Time since the store last answered a peer, as far as heard, in milliseconds. */
  readonly peerStoreAgeMs: number;
}

/** What follows the store. */
export interface StoreFollower {
  start(): void;
  /** Makes no more calls. */
  stop(): void;
}

export interface StoreFollowControllerDependencies {
  readonly clock: Clock;
  readonly peers: PeerStoreStatus;
  readonly follower: StoreFollower;
  readonly decisions: DecisionLog;
}

/** Time between looks, in milliseconds: as often as peers are heard. */
const EVALUATION_INTERVAL_MS = 250;

/** A process that starts asks its peers first, in milliseconds: their answers take a few link delays. */
const FIRST_EVALUATION_MS = 120;

/** An older answer heard of is not relied on, in milliseconds: the hub's own feed waits 2.5 s for a change. */
const MAX_ANSWER_AGE_MS = 4000;

/** Following goes on for this time after its last reason, so that a slow hub causes no reading anew. */
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
    const { isHub, peerStoreAgeMs } = peers;
    if (isHub || peerStoreAgeMs > MAX_ANSWER_AGE_MS) this.followsUntil = now + FOLLOW_HOLD_MS;
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
