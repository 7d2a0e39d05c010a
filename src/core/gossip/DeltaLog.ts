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
const MIN_CHANGE = 0.05;

/**
 * Values with a sequence number for each change, so that a reader that names the last number it saw
 * gets only what changed since. A value of 0 is kept until the end of the log, as a removal.
 */
export class DeltaLog {
  /** In the order of the last change: a changed entry moves to the end. */
  private readonly entries = new Map<string, Entry>();

  private last = 0;

  /** Takes the whole present state. */
  public update(values: ReadonlyMap<string, number>): void {
    for (const [name, value] of values) this.set(name, value);
    for (const [name, { value }] of this.entries) {
      if (value !== 0 && !values.has(name)) this.set(name, 0);
    }
  }

  /**
   * What changed after a sequence number, oldest first.
   * @param most - most entries to return; the rest follows at the next call
   */
  public since(sequence: number, most: number): Delta {
    const entries: NamedValue[] = [];
    let reached = sequence;
    for (const [name, entry] of this.entries) {
      if (entry.sequence <= sequence) continue;
      if (entries.length >= most) return { entries, sequence: reached };
      entries.push({ name, value: entry.value });
      reached = entry.sequence;
    }
    return { entries, sequence: this.last };
  }

  private set(name: string, value: number): void {
    const known = this.entries.get(name)?.value ?? 0;
    const isSame = value === known || (value !== 0 && Math.abs(value - known) < known * MIN_CHANGE);
    if (isSame) return;
    this.last += 1;
    this.entries.delete(name);
    this.entries.set(name, { value, sequence: this.last });
  }
}
