import type { Disposable } from '../../ports/Types.js';

/** A share counts as stalled if less than `PROGRESS_BYTES` came or went for this long, in milliseconds. */
const STALLED_MS = 1000;

/** Bytes that count as progress: a sender of a byte now and then must not pass for one that moves on. */
const PROGRESS_BYTES = 128;

/** Memory that a kept part of a message takes besides its bytes: its object, and what the allocator adds. */
const PART_OVERHEAD_BYTES = 256;

/** What the holder of a share may say of itself. */
export interface MemoryHolder {
  /** Bytes that the holder may keep without being the one that ends, as long as it does not stall. */
  readonly allowanceBytes: number;
  /** Ends the holder, because the budget is spent; its share has been released. */
  onEvict(): void;
}

/** Counts what all shares keep together. */
export interface MemoryAccount {
  /** Time on the monotonic clock, in milliseconds. */
  now(): number;
  /** Counts a change of a share, and ends holders until the rest is within the limit. */
  count(bytes: number): void;
  close(share: MemoryShare): void;
}

/** The bytes that one message keeps. */
export class MemoryShare implements Disposable {
  private heldBytes = 0;

  /** Time of the last progress. */
  private movedAt: number;

  /** Bytes that came or went since `countedSince`. */
  private movedBytes = 0;

  private countedSince: number;

  /** Whether more of the message is expected to come or to be taken. */
  private isMoving = false;

  private isReleased = false;

  public constructor(
    private readonly account: MemoryAccount,
    private readonly holder: MemoryHolder,
  ) {
    this.movedAt = account.now();
    this.countedSince = this.movedAt;
  }

  public get bytes(): number {
    return this.heldBytes;
  }

  /** Whether the share has been released or its holder ended, so that nothing may be kept any more. */
  public get isClosed(): boolean {
    return this.isReleased;
  }

  /**
   * Counts a part that is kept from now on. If that spends the budget, holders end, perhaps this one.
   * @param bytes - size of the part
   */
  public add(bytes: number): void {
    this.isMoving = true;
    this.change(bytes + PART_OVERHEAD_BYTES);
  }

  /** Records that bytes have come, also those for which room was counted before. */
  public noteProgress(bytes: number): void {
    const now = this.account.now();
    if (now - this.countedSince >= STALLED_MS) {
      this.countedSince = now;
      this.movedBytes = 0;
    }
    this.movedBytes += bytes;
    if (this.movedBytes >= PROGRESS_BYTES) this.movedAt = now;
  }

  /** Records that what is kept is complete and waits for others, so that it cannot stall. */
  public settle(): void {
    this.isMoving = false;
  }

  /** Counts a part as not kept any more. */
  public remove(bytes: number): void {
    this.change(-Math.min(this.heldBytes, bytes + PART_OVERHEAD_BYTES));
  }

  /** Counts nothing as kept any more. */
  public clear(): void {
    this.change(-this.heldBytes);
  }

  /** Releases everything. */
  public dispose(): void {
    if (this.isReleased) return;
    this.change(-this.heldBytes);
    this.isReleased = true;
    this.account.close(this);
  }

  /** Bytes beyond the allowance, and whether the share has stalled: what decides who ends. */
  public excess(now: number): { bytes: number; isStalled: boolean } {
    return {
      bytes: this.heldBytes - this.holder.allowanceBytes,
      isStalled: this.isMoving && now - this.movedAt >= STALLED_MS,
    };
  }

  /** Releases the share and ends its holder. */
  public evict(): void {
    this.dispose();
    this.holder.onEvict();
  }

  private change(bytes: number): void {
    if (this.isReleased || bytes === 0) return;
    this.heldBytes += bytes;
    this.noteProgress(Math.abs(bytes));
    this.account.count(bytes);
  }
}
