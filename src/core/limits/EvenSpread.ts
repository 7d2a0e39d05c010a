/** Spreads what happens at the same time evenly, also if there are few of it. */
import type { Random } from '../../ports/Types.js';

/** Step of the golden ratio: any number of successive values are about equally far apart. */
const GOLDEN_STEP = (Math.sqrt(5) - 1) / 2;

/** A source of values that begin at random and then cover [0, 1) evenly. */
export class EvenSpread implements Random {
  private value: number;

  public constructor(private readonly random: Random) {
    this.value = random.next();
  }

  public next(): number {
    this.value = (this.value + GOLDEN_STEP) % 1;
    return this.value;
  }

  public id(bytes: number): string {
    return this.random.id(bytes);
  }
}
