import type { PeerState, Sequences } from '../../ports/Peer.js';
import type { AccountDemand } from '../limits/AccountLimiter.js';

const NOTHING_SEEN: Sequences = { busy: 0, rates: 0, inFlight: 0, corrections: 0 };

/** What one peer has said so far, put together from its deltas, and how far each side has seen the other. */
export class PeerView {
  public readonly busy = new Map<string, number>();

  private readonly rates = new Map<string, number>();

  private readonly inFlight = new Map<string, number>();

  private incarnation = '';

  private seenOfPeer = NOTHING_SEEN;

  private seenByPeer = NOTHING_SEEN;

  /** How far this instance has seen the peer. */
  public get seen(): Sequences {
    return this.seenOfPeer;
  }

  /** How far the peer said that it has seen this instance. */
  public get acknowledged(): Sequences {
    return this.seenByPeer;
  }

  /**
   * Takes a message of the peer.
   * @param self - the incarnation of this instance
   */
  public take(state: PeerState, self: string): void {
    if (state.incarnation !== this.incarnation) this.reset(state.incarnation);
    this.seenByPeer = state.seenIncarnation === self ? state.seen : NOTHING_SEEN;
    // A message that was overtaken starts before what is already known; its entries are older.
    if (state.sequences.busy >= this.seenOfPeer.busy)
      merge(
        this.busy,
        state.busy.map(({ server, busyMs }) => [server, busyMs]),
      );
    if (state.sequences.rates >= this.seenOfPeer.rates)
      merge(
        this.rates,
        state.rates.map(({ account, value }) => [account, value]),
      );
    if (state.sequences.inFlight >= this.seenOfPeer.inFlight) {
      merge(
        this.inFlight,
        state.inFlight.map(({ account, value }) => [account, value]),
      );
    }
    this.seenOfPeer = {
      busy: Math.max(this.seenOfPeer.busy, state.sequences.busy),
      rates: Math.max(this.seenOfPeer.rates, state.sequences.rates),
      inFlight: Math.max(this.seenOfPeer.inFlight, state.sequences.inFlight),
      corrections: Math.max(this.seenOfPeer.corrections, state.sequences.corrections),
    };
  }

  /** The peer's demand by account. */
  public demands(): AccountDemand[] {
    const accounts = new Set([...this.rates.keys(), ...this.inFlight.keys()]);
    return [...accounts].map((account) => ({
      account,
      rate: this.rates.get(account) ?? 0,
      inFlight: this.inFlight.get(account) ?? 0,
    }));
  }

  /** Incarnation of the peer that was last heard. */
  public get peerIncarnation(): string {
    return this.incarnation;
  }

  private reset(incarnation: string): void {
    this.incarnation = incarnation;
    this.seenOfPeer = NOTHING_SEEN;
    this.seenByPeer = NOTHING_SEEN;
    this.busy.clear();
    this.rates.clear();
    this.inFlight.clear();
  }
}

function merge(into: Map<string, number>, entries: readonly (readonly [string, number])[]): void {
  for (const [name, value] of entries) {
    if (value === 0) into.delete(name);
    else into.set(name, value);
  }
}
