import type { PeerState, Sequences } from '../../ports/Peer.js';
import type { AccountDemand } from '../limits/AccountLimiter.js';

const INITIAL_SEQUENCES: Sequences = { busy: 0, rates: 0, inFlight: 0, corrections: 0 };

/** The state of one peer, assembled from its deltas, and the sequence numbers that each side has received. */
export class PeerView {
  public readonly busy = new Map<string, number>();

  private readonly rates = new Map<string, number>();

  private readonly inFlight = new Map<string, number>();

  private incarnation = '';

  private receivedSequences = INITIAL_SEQUENCES;

  private acknowledgedSequences = INITIAL_SEQUENCES;

  /** Sequence numbers of the peer's last changes that this instance has received. */
  public get seen(): Sequences {
    return this.receivedSequences;
  }

  /** Sequence numbers of this instance's last changes that the peer has acknowledged. */
  public get acknowledged(): Sequences {
    return this.acknowledgedSequences;
  }

  /**
   * Applies a message of the peer.
   * @param ownIncarnation - incarnation of this instance; an acknowledgement of an earlier one is ignored
   */
  public apply(state: PeerState, ownIncarnation: string): void {
    if (state.incarnation !== this.incarnation) this.reset(state.incarnation);
    this.acknowledgedSequences =
      state.seenIncarnation === ownIncarnation ? state.seen : INITIAL_SEQUENCES;
    // A message that arrives out of order has lower sequence numbers; its entries are outdated.
    if (state.sequences.busy >= this.receivedSequences.busy)
      merge(
        this.busy,
        state.busy.map(({ server, busyMs }) => [server, busyMs]),
      );
    if (state.sequences.rates >= this.receivedSequences.rates)
      merge(
        this.rates,
        state.rates.map(({ account, value }) => [account, value]),
      );
    if (state.sequences.inFlight >= this.receivedSequences.inFlight) {
      merge(
        this.inFlight,
        state.inFlight.map(({ account, value }) => [account, value]),
      );
    }
    this.receivedSequences = {
      busy: Math.max(this.receivedSequences.busy, state.sequences.busy),
      rates: Math.max(this.receivedSequences.rates, state.sequences.rates),
      inFlight: Math.max(this.receivedSequences.inFlight, state.sequences.inFlight),
      corrections: Math.max(this.receivedSequences.corrections, state.sequences.corrections),
    };
  }

  /** Returns the peer's demand by account. */
  public demands(): AccountDemand[] {
    const accounts = new Set([...this.rates.keys(), ...this.inFlight.keys()]);
    return [...accounts].map((account) => ({
      account,
      rate: this.rates.get(account) ?? 0,
      inFlight: this.inFlight.get(account) ?? 0,
    }));
  }

  /** The peer's incarnation in its last message; empty before the first one. */
  public get peerIncarnation(): string {
    return this.incarnation;
  }

  private reset(incarnation: string): void {
    this.incarnation = incarnation;
    this.receivedSequences = INITIAL_SEQUENCES;
    this.acknowledgedSequences = INITIAL_SEQUENCES;
    this.busy.clear();
    this.rates.clear();
    this.inFlight.clear();
  }
}

function merge(target: Map<string, number>, entries: readonly (readonly [string, number])[]): void {
  for (const [name, value] of entries) {
    if (value === 0) target.delete(name);
    else target.set(name, value);
  }
}
