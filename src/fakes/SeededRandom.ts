import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from '../ports/Types.js';

const HEX = 16;

/** Pseudo-random numbers that are reproducible from a seed. */
export class SeededRandom implements Random {
  private readonly generator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  public next(): number {
    return uniformFloat64(this.generator);
  }

  public id(bytes: number): string {
    let text = '';
    for (let digit = 0; digit < bytes * 2; digit += 1)
      text += Math.floor(this.next() * HEX).toString(HEX);
    return text;
  }

  /** Returns a number in [from, to). */
  public between(from: number, to: number): number {
    return from + this.next() * (to - from);
  }

  /** Returns a random item. */
  public pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.next() * items.length)];
  }

  /** Returns true with a given probability, from 0 to 1. */
  public chance(probability: number): boolean {
    return this.next() < probability;
  }
}
