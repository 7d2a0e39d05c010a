interface Entry {
  readonly value: number;
  readonly sequence: number;
}

/** One named value and how it stands. */
export interface NamedValue {
  readonly name: string;
  readonly value: number;
}

/** Values that a reader has not seen, with the sequence number that it has seen then. */
export interface Delta {
  readonly entries: readonly NamedValue[];
  readonly sequence: number;
}

/** Changes below this part of the value are not worth a message. */
const MIN_RELATIVE_CHANGE = 0.05;

/**
 * Values with a sequence number for each change, so that a reader that names the last number it saw
 * gets only what changed since. A value of 0 is kept until the end of the log, as a removal.
 */
export class DeltaLog {
  /** In the order of the last change: a changed entry moves to the end. */
  private readonly entries = new Map<string, Entry>();

  private lastSequence = 0;

  /** Takes the whole present state. */
  public update(values: ReadonlyMap<string, number>): void {
    for (const [name, value] of values) this.set(name, value);
    for (const [name, { value }] of this.entries) {
      if (value !== 0 && !values.has(name)) this.set(name, 0);
    }
  }

  /**
   * What changed after a sequence number, oldest first.
   * @param limit - most entries to return; the rest follows at the next call
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
