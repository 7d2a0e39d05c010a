/** Bounds the number and the total size of the requests that wait. */

/** Limits of one queue. */
export interface QueueBounds {
  readonly maxEntries: number;
  /** Maximum total size of the waiting requests. */
  readonly maxBytes: number;
}

export class QueueSpace {
  private readonly sizes = new Map<string, number>();

  private bytes = 0;

  public constructor(private readonly bounds: QueueBounds) {}

  /** Number of waiting requests. */
  public get size(): number {
    return this.sizes.size;
  }

  /** Whether another request of a size fits. */
  public fits(bytes: number): boolean {
    return this.sizes.size < this.bounds.maxEntries && this.bytes + bytes <= this.bounds.maxBytes;
  }

  public add(id: string, bytes: number): void {
    this.delete(id);
    this.sizes.set(id, bytes);
    this.bytes += bytes;
  }

  /** @returns false if the request does not wait */
  public delete(id: string): boolean {
    const bytes = this.sizes.get(id);
    if (bytes === undefined) return false;
    this.bytes -= bytes;
    return this.sizes.delete(id);
  }
}
