interface Entry {
  readonly value: number;
  readonly sequence: number;
}

/** A name with its current value. */
export interface NamedValue {
  readonly name: string;
  readonly value: number;
}

/** Values that a reader has not yet received, with the sequence number to pass to the next `since`. */
export interface Delta {
  readonly entries: readonly NamedValue[];
  readonly sequence: number;
}

/** Changes smaller than this fraction of the previous value are not sent. */
const MIN_RELATIVE_CHANGE = 0.05;

/**
 * Assigns a sequence number to each change of a value, so that a reader that passes the last number it
 * received gets only later changes. A removed value is kept as 0 for the lifetime of the log.
 */
export class DeltaLog {
  /** Ordered by last change: a changed entry moves to the end. */
  private readonly entries = new Map<string, Entry>();

  private lastSequence = 0;

  /**
   * Records the changes from the previous state.
   * @param values - the complete current state; a name that is missing is recorded as removed
   */
  public update(values: ReadonlyMap<string, number>): void {
    for (const [name, value] of values) this.set(name, value);
    for (const [name, { value }] of this.entries) {
      if (value !== 0 && !values.has(name)) this.set(name, 0);
    }
  }

  /**
   * Returns the changes after a sequence number, oldest first.
   * @param limit - maximum number of entries; the next call returns the rest
   */
  public since(sequence: number, limit: number): Delta {
    const entries: NamedValue[] = [];
    let reached = sequence;
    for (const [name, entry] of this.entries) {
      if (entry.sequence <= sequence) continue;
      if (entries.length >= limit) return { entries, sequence: reached };
      entries.push({ name, value: entry.value });
      reached = entry.sequence;
    }
    return { entries, sequence: this.lastSequence };
  }

  private set(name: string, value: number): void {
    const previous = this.entries.get(name)?.value ?? 0;
    const isUnchanged =
      value === previous ||
      (value !== 0 && Math.abs(value - previous) < previous * MIN_RELATIVE_CHANGE);
    if (isUnchanged) return;
    this.lastSequence += 1;
    this.entries.delete(name);
    this.entries.set(name, { value, sequence: this.lastSequence });
  }
}
