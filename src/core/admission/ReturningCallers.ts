/** Remembers refused requests for a while, so that those that come back go before newcomers. */

/** Time for which a refusal is remembered, in milliseconds: longer than the longest retry-after delay. */
const MEMORY_MS = 10_000;

/** Maximum number of refusals that are remembered; about 100 KB. */
const MAX_REMEMBERED = 1000;

export class ReturningCallers {
  /** Time of the refusal by fingerprint, the oldest first. */
  private readonly refusedAt = new Map<string, number>();

  public recordRefusal(fingerprint: string, now: number): void {
    this.refusedAt.delete(fingerprint);
    this.refusedAt.set(fingerprint, now);
    for (const [oldest, at] of this.refusedAt) {
      if (this.refusedAt.size <= MAX_REMEMBERED && now - at <= MEMORY_MS) return;
      this.refusedAt.delete(oldest);
    }
  }

  /** Whether the request was refused lately; a refusal counts for one return. */
  public takeReturn(fingerprint: string, now: number): boolean {
    const at = this.refusedAt.get(fingerprint);
    this.refusedAt.delete(fingerprint);
    return at !== undefined && now - at <= MEMORY_MS;
  }
}
