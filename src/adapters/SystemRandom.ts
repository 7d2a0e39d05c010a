import { randomBytes } from 'node:crypto';
import type { Random } from '../ports/Types.js';

/** Random numbers and identifiers from Node.js. */
export class SystemRandom implements Random {
  public next(): number {
    return Math.random();
  }

  public id(bytes: number): string {
    return randomBytes(bytes).toString('hex');
  }
}
