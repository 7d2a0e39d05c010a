/**
 * Decides whether this instance follows the store itself.
 *
 * One instance of each failure domain does, and the others hear from it: calls to the store then grow with
 * the number of failure domains, not of instances. An instance that hears of no fresh answer of the store
 * from anyone follows it as well.
 */
import type { Clock, Disposable } from '../../ports/Types.js';
import type { Decisions } from '../Decisions.js';

/** What peers say of the store. */
export interface StorePeers {
  /** Whether this instance is the hub of its failure domain. */
  readonly isHub: boolean;
  /** Time since the store last answered a peer, as far as heard, in milliseconds. */
  readonly heardStoreAgeMs: number;
}

/** What follows the store. */
export interface StoreFollowing {
  follow(): void;
  /** Makes no more calls. */
  rest(): void;
}

export interface StoreDutyParts {
  readonly clock: Clock;
  readonly peers: StorePeers;
  readonly following: StoreFollowing;
  readonly decisions: Decisions;
}

/** Time between looks, in milliseconds: as often as peers are heard. */
const LOOK_MS = 250;

/** A process that starts asks its peers first, in milliseconds: their answers take a few link delays. */
const FIRST_LOOK_MS = 120;

/** An older answer heard of is not relied on, in milliseconds: the hub's own feed waits 2.5 s for a change. */
const FRESH_MS = 4000;

/** Following goes on for this time after its last reason, so that a slow hub causes no reading anew. */
const KEEP_MS = 3000;

export class StoreDuty {
  private followsUntil = -Infinity;

  private follows = false;

  private timer: Disposable | undefined;

  public constructor(private readonly parts: StoreDutyParts) {}

  public start(): void {
    this.timer = this.parts.clock.schedule(FIRST_LOOK_MS, () => this.look());
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private look(): void {
    const { clock, peers } = this.parts;
    const now = clock.now();
    const { isHub, heardStoreAgeMs } = peers;
    if (isHub || heardStoreAgeMs > FRESH_MS) this.followsUntil = now + KEEP_MS;
    this.set(now < this.followsUntil, isHub, heardStoreAgeMs);
    this.timer = clock.schedule(LOOK_MS, () => this.look());
  }

  private set(follows: boolean, isHub: boolean, heardStoreAgeMs: number): void {
    if (follows === this.follows) return;
    this.follows = follows;
    const { following, decisions } = this.parts;
    if (follows) following.follow();
    else following.rest();
    decisions.note('store-duty', { follows, isHub, heardMs: Math.round(heardStoreAgeMs) });
  }
}
