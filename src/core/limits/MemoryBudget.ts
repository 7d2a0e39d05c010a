/**
 * Bounds the bytes that a process keeps for others: callers' bodies, answers that are not complete or not taken
 * yet, and what the store sends.
 *
 * Answers the load pattern of many messages at once, each within its own bound, whose senders stop before the
 * end or whose receivers do not read. Messages that move on hold little, so they are not the ones that end.
 */
import type { Clock } from '../../ports/Types.js';
import { MemoryShare, type MemoryAccount, type MemoryHolder } from './MemoryShare.js';

export class MemoryBudget implements MemoryAccount {
  private readonly shares = new Set<MemoryShare>();

  private usedBytes = 0;

  private evictedCount = 0;

  /** @param limitBytes - bytes that all shares together may keep */
  public constructor(
    private readonly clock: Clock,
    private readonly limitBytes: number,
  ) {}

  /** Bytes that all shares keep together. */
  public get used(): number {
    return this.usedBytes;
  }

  /** Number of holders that ended because the budget was spent. */
  public get evictions(): number {
    return this.evictedCount;
  }

  public open(holder: MemoryHolder): MemoryShare {
    const share = new MemoryShare(this, holder);
    this.shares.add(share);
    return share;
  }

  /** Time on the monotonic clock, in milliseconds. */
  public now(): number {
    return this.clock.now();
  }

  /** Counts a change of a share, and ends holders until the rest is within the limit. */
  public count(bytes: number): void {
    this.usedBytes += bytes;
    while (this.usedBytes > this.limitBytes) {
      const share = this.chooseVictim();
      if (share === undefined) return;
      this.evictedCount += 1;
      share.evict();
    }
  }

  public close(share: MemoryShare): void {
    this.shares.delete(share);
  }

  /** Finds the share that keeps most beyond its allowance, among the stalled ones if there are any. */
  private chooseVictim(): MemoryShare | undefined {
    const now = this.now();
    let victim: MemoryShare | undefined;
    let most = { bytes: 0, isStalled: false };
    for (const share of this.shares) {
      const excess = share.excess(now);
      if (excess.bytes <= 0 || (most.isStalled && !excess.isStalled)) continue;
      const isWorse = excess.isStalled && !most.isStalled;
      if (!isWorse && excess.bytes <= most.bytes) continue;
      victim = share;
      most = excess;
    }
    return victim;
  }
}
