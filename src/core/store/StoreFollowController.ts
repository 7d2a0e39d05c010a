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
const LOOK_MS = 250;

/** A process that starts asks its peers first, in milliseconds: their answers take a few link delays. */
const FIRST_LOOK_MS = 120;

/** An older answer heard of is not relied on, in milliseconds: the hub's own feed waits 2.5 s for a change. */
const FRESH_MS = 4000;

/** Following goes on for this time after its last reason, so that a slow hub causes no reading anew. */
const KEEP_MS = 3000;

export class StoreFollowController {
  private followsUntil = -Infinity;

  private follows = false;

  private timer: Disposable | undefined;

  public constructor(private readonly parts: StoreFollowControllerDependencies) {}

  public start(): void {
    this.timer = this.parts.clock.schedule(FIRST_LOOK_MS, () => this.look());
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private look(): void {
    const { clock, peers } = this.parts;
    const now = clock.now();
    const { isHub, peerStoreAgeMs: heardStoreAgeMs } = peers;
    if (isHub || heardStoreAgeMs > FRESH_MS) this.followsUntil = now + KEEP_MS;
    this.set(now < this.followsUntil, isHub, heardStoreAgeMs);
    this.timer = clock.schedule(LOOK_MS, () => this.look());
  }

  private set(follows: boolean, isHub: boolean, heardStoreAgeMs: number): void {
    if (follows === this.follows) return;
    this.follows = follows;
    const { follower: following, decisions } = this.parts;
    if (follows) following.start();
    else following.stop();
    decisions.record('store-duty', { follows, isHub, heardMs: Math.round(heardStoreAgeMs) });
  }
}
