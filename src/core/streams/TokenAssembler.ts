import { VALUES_PER_HOP, type TokenFrame } from './Types.js';

/** What the assembler did with an arriving token. */
export enum TokenVerdict {
  Delivered = 'delivered',
  Held = 'held',
  StaleEpoch = 'stale-epoch',
  Repeated = 'repeated',
}

/**
 * Maximum number of tokens held back until an earlier one arrives. Further tokens are dropped; the attempt
 * then fails, because tokens are missing at its end.
 */
const MAX_HELD = 4096;

/** Puts the tokens of one answer in order and drops those of any epoch but the current one. */
export class TokenAssembler {
  private readonly held = new Map<number, string>();

  private currentEpoch = 1;

  private nextIndex = 0;

  /** @param deliver - called once for each index, in order */
  public constructor(private readonly deliver: (text: string, index: number) => void) {}

  public get epoch(): number {
    return this.currentEpoch;
  }

  /** Index of the next token to deliver. */
  public get next(): number {
    return this.nextIndex;
  }

  /** Whether tokens are held back until an earlier one arrives. */
  public get hasGap(): boolean {
    return this.held.size > 0;
  }

  /**
   * Starts a new epoch and drops the held tokens of the old one.
   * @returns the index to resume at
   */
  public raiseEpoch(): number {
    this.currentEpoch += 1;
    this.held.clear();
    return this.nextIndex;
  }

  /**
   * Delivers a token and the held ones that follow it, or holds or drops it. The verdict is also `Held` for a
   * token that is dropped because MAX_HELD tokens are held already.
   */
  public accept(epoch: number, index: number, text: string): TokenVerdict {
    if (epoch !== this.currentEpoch) return TokenVerdict.StaleEpoch;
    if (index < this.nextIndex || this.held.has(index)) return TokenVerdict.Repeated;
    if (index > this.nextIndex) {
      if (this.held.size < MAX_HELD) this.held.set(index, text);
      return TokenVerdict.Held;
    }
    this.deliverNext(text);
    this.deliverHeld();
    return TokenVerdict.Delivered;
  }

  private deliverNext(text: string): void {
    const index = this.nextIndex;
    this.nextIndex += 1;
    this.deliver(text, index);
  }

  private deliverHeld(): void {
    while (this.held.size > 0) {
      const text = this.held.get(this.nextIndex);
      if (text === undefined) return;
      this.held.delete(this.nextIndex);
      this.deliverNext(text);
    }
  }
}

/** Whether a token's hops show that each layer of [0, layers) ran exactly once, in order. */
export function ranEachLayerOnce(frame: TokenFrame, layers: number): boolean {
  let next = 0;
  for (let hop = 0; hop < frame.hopCount; hop += 1) {
    const at = hop * VALUES_PER_HOP;
    const from = frame.hops[at];
    const to = frame.hops[at + 1];
    const epoch = frame.hops[at + 2];
    if (from !== next || to <= from || epoch > frame.epoch) return false;
    next = to;
  }
  return next === layers;
}
