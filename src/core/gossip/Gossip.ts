/**
 * Gossip between entry instances: in each round, an instance exchanges state with one or two of its peers.
 *
 * Entry instances commit change tickets and hold claims. Router instances, which read their configuration
 * from a store, share their state by the digests of `src/core/peers` instead.
 */
import type { Clock, Disposable, InstanceList } from '../../ports/Types.js';
import type { PeerExchange, PeerLink, PeerState } from '../../ports/Peer.js';
import type { AccountLimiter } from '../limits/AccountLimiter.js';
import type { ServerHealth } from '../membership/ServerHealth.js';
import type { PartQuarantine } from '../quarantine/PartQuarantine.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { Configuration } from '../tickets/Configuration.js';
import type { TicketFollower } from '../tickets/TicketFollower.js';
import { DeltaLog } from './DeltaLog.js';
import type { KnownPeer, Peers } from './Peers.js';
import { PeerView } from './PeerView.js';

export interface GossipDependencies {
  readonly clock: Clock;
  readonly link: PeerLink;
  readonly list: InstanceList;
  readonly peers: Peers;
  readonly configuration: Configuration;
  readonly ticketFollower: TicketFollower;
  readonly load: LoadTable;
  readonly health: ServerHealth;
  readonly quarantine: PartQuarantine;
  readonly limiter: AccountLimiter;
  readonly identity: Pick<PeerState, 'instance' | 'incarnation' | 'failureDomain'> & {
    address: string;
  };
  readonly isLeaving: () => boolean;
  readonly log: (message: string) => void;
}

/** Interval between exchanges with peers in the local failure domain, in milliseconds. */
export const EXCHANGE_INTERVAL_MS = 500;

/** Every this many rounds, an additional exchange goes to a peer in a remote failure domain. */
const ROUNDS_PER_REMOTE_EXCHANGE = 2;

/**
 * Interval between reads of the platform's instance list, in milliseconds; grows with the number of peers.
 */
const MIN_LIST_INTERVAL_MS = 1000;
const LIST_INTERVAL_MS_PER_PEER = 100;

/** A peer's reported state is discarded after this time without an exchange, in milliseconds. */
const VIEW_LIFETIME_MS = 15_000;

/**
 * Number of entries of each kind that is divided evenly among the peers. A message to a peer holds one share,
 * within the bounds below; the next message carries the rest.
 */
const ENTRY_BUDGET = 400;

/** Bounds of the number of entries of each kind in one message. */
const MIN_ENTRIES = 6;
const MAX_ENTRIES = 40;

/** Maximum number of tickets sent in one exchange. */
const MAX_TICKETS = 16;

/** An instance that is more than this many tickets behind a peer loads the peer's snapshot. */
const SNAPSHOT_LAG = 256;

export class Gossip {
  private readonly timers: Disposable[] = [];

  private readonly views = new Map<string, PeerView>();

  private readonly busy = new DeltaLog();

  private readonly rates = new DeltaLog();

  private readonly inFlight = new DeltaLog();

  private readonly corrections = new DeltaLog();

  private disposed = false;

  private rounds = 0;

  private hasReadList = false;

  public constructor(private readonly dependencies: GossipDependencies) {}

  public start(): void {
    this.repeat(
      () =>
        Math.max(MIN_LIST_INTERVAL_MS, this.dependencies.peers.count * LIST_INTERVAL_MS_PER_PEER),
      () => this.refreshInstanceList(),
    );
    this.repeat(
      () => EXCHANGE_INTERVAL_MS,
      () => this.runRound(),
    );
  }

  public dispose(): void {
    this.disposed = true;
    for (const timer of this.timers) timer.dispose();
  }

  /** Whether the platform's instance list has been read since the start. */
  public get isInstanceListKnown(): boolean {
    return this.hasReadList;
  }

  /**
   * Returns the state of this instance as sent in an exchange.
   * @param receiver - name of the receiving peer, whose acknowledged values are left out; if empty, none are
   */
  public state(receiver = ''): PeerState {
    const now = this.dependencies.clock.now();
    const { identity, limiter, load } = this.dependencies;
    const view = this.viewOf(receiver);
    const demands = limiter.demands(now);
    this.busy.update(load.listOwnBusyMs());
    this.rates.update(new Map(demands.map(({ account, rate }) => [account, rate])));
    this.inFlight.update(new Map(demands.map(({ account, inFlight }) => [account, inFlight])));
    this.corrections.update(load.corrections(now));
    const limit = this.entryLimit();
    const corrections = this.corrections.since(view.acknowledged.corrections, limit);
    const busy = this.busy.since(view.acknowledged.busy, limit);
    const rates = this.rates.since(view.acknowledged.rates, limit);
    const inFlight = this.inFlight.since(view.acknowledged.inFlight, limit);
    return {
      ...identity,
      applied: this.dependencies.configuration.ticketNumber,
      headAgeMs: this.dependencies.ticketFollower.headAgeMs,
      ready: this.dependencies.ticketFollower.isReady,
      leaving: this.dependencies.isLeaving(),
      guarantee: limiter.guarantee,
      sequences: {
        busy: busy.sequence,
        rates: rates.sequence,
        inFlight: inFlight.sequence,
        corrections: corrections.sequence,
      },
      seenIncarnation: view.peerIncarnation,
      seen: view.seen,
      busy: busy.entries.map(({ name, value }) => ({ server: name, busyMs: value })),
      rates: rates.entries.map(({ name, value }) => ({ account: name, value })),
      inFlight: inFlight.entries.map(({ name, value }) => ({ account: name, value })),
      corrections: corrections.entries.map(({ name, value }) => ({ server: name, factor: value })),
      marks: this.dependencies.health.list(now),
      heirs: this.dependencies.peers.listKeyHolders(now),
    };
  }

  /** Applies a peer's exchange and returns the reply. */
  public handleExchange(message: PeerExchange): PeerExchange {
    this.applyExchange(message, this.dependencies.clock.now());
    return {
      state: this.state(message.state.instance),
      tickets: this.dependencies.ticketFollower.ticketsAfter(message.state.applied, MAX_TICKETS),
      evidence: this.dependencies.quarantine.evidence(),
    };
  }

  /** Exchanges state with one peer immediately. */
  public async exchangeWith(peer: KnownPeer): Promise<void> {
    const now = this.dependencies.clock.now();
    const known = this.dependencies.peers.find(peer.name) ?? peer;
    known.lastAttemptAt = now;
    const tickets =
      peer.state === undefined
        ? []
        : this.dependencies.ticketFollower.ticketsAfter(peer.state.applied, MAX_TICKETS);
    try {
      const reply = await this.dependencies.link.exchange(peer.address, {
        state: this.state(peer.name),
        tickets,
        evidence: this.dependencies.quarantine.evidence(),
      });
      // The reply was written after the exchange was sent, so its ages are not understated.
      this.applyExchange(reply, now);
      if (reply.state.applied - this.dependencies.configuration.ticketNumber > SNAPSHOT_LAG) {
        this.dependencies.ticketFollower.applySnapshot(
          await this.dependencies.link.snapshot(peer.address),
        );
      }
    } catch {
      this.dependencies.load.removePeer(peer.name);
    }
  }

  /** Exchanges state with every live peer at once; for changes that must not wait for the next round. */
  public async broadcast(): Promise<void> {
    const live = this.dependencies.peers.livePeers(this.dependencies.clock.now());
    await Promise.all(live.map((peer) => this.exchangeWith(peer)));
  }

  /** Reads the platform's instance list once. If that fails, the known peers are kept. */
  public async refreshInstanceList(): Promise<void> {
    try {
      this.dependencies.peers.applyInstanceList(
        await this.dependencies.list.list(),
        this.dependencies.clock.now(),
      );
      this.hasReadList = true;
    } catch {
      this.dependencies.log(
        'Failed to read the instance list from the platform; the known peers are kept.',
      );
    }
  }

  /** Entries per message: fewer the more peers there are, so that the bytes sent per second stay bounded. */
  private entryLimit(): number {
    const share = Math.floor(ENTRY_BUDGET / Math.max(1, this.views.size));
    return Math.min(MAX_ENTRIES, Math.max(MIN_ENTRIES, share));
  }

  /** Discards the reported state of peers that are gone or have been silent for too long. */
  private prune(): void {
    const now = this.dependencies.clock.now();
    for (const name of this.views.keys()) {
      const lastExchangeAt = this.dependencies.peers.find(name)?.lastExchangeAt ?? -Infinity;
      if (now - lastExchangeAt <= VIEW_LIFETIME_MS) continue;
      this.views.delete(name);
      this.dependencies.load.removePeer(name);
      this.dependencies.limiter.removePeer(name);
    }
  }

  private viewOf(peer: string): PeerView {
    let view = this.views.get(peer);
    if (view === undefined) {
      view = new PeerView();
      if (peer !== '') this.views.set(peer, view);
    }
    return view;
  }

  /** @param asOf - time from which the ages in the message count */
  private applyExchange(message: PeerExchange, asOf: number): void {
    const now = this.dependencies.clock.now();
    const { state } = message;
    if (state.instance === this.dependencies.identity.instance) return;
    this.dependencies.peers.applyState(state, now);
    this.dependencies.ticketFollower.applyTickets(message.tickets);
    if (message.evidence !== undefined)
      this.dependencies.quarantine.merge(message.evidence, state.instance);
    if (state.ready)
      this.dependencies.ticketFollower.receivePeerHead(state.applied, state.headAgeMs, asOf);
    const view = this.viewOf(state.instance);
    view.apply(state, this.dependencies.identity.incarnation);
    this.dependencies.load.applyPeerLoad(state.instance, view.busy, now);
    for (const { server, factor } of state.corrections)
      this.dependencies.load.applyPeerCorrection(server, factor === 0 ? 1 : factor, now);
    for (const { server, mark, remainingMs } of state.marks)
      this.dependencies.health.adopt(server, mark, now, remainingMs);
    this.dependencies.limiter.applyPeerDemand(state.instance, state.guarantee, view.demands(), now);
    this.updateShareContext(now);
  }

  private updateShareContext(now: number): void {
    const { peers, identity, limiter } = this.dependencies;
    limiter.setContext({
      domains: peers.countDomains(identity.failureDomain),
      localInstances: 1 + peers.countLiveIn(identity.failureDomain, now),
    });
  }

  private async runRound(): Promise<void> {
    this.rounds += 1;
    this.prune();
    this.updateShareContext(this.dependencies.clock.now());
    const localPeer = this.dependencies.peers.nextExchangePeer(
      this.dependencies.identity.failureDomain,
      true,
    );
    const remotePeer =
      this.rounds % ROUNDS_PER_REMOTE_EXCHANGE === 0 || localPeer === undefined
        ? this.dependencies.peers.nextExchangePeer(this.dependencies.identity.failureDomain, false)
        : undefined;
    for (const peer of [localPeer, remotePeer]) {
      if (peer !== undefined) this.exchangeWith(peer);
    }
  }

  private repeat(intervalMs: () => number, action: () => Promise<void>): void {
    const index = this.timers.length;
    const run = () => {
      if (this.disposed) return;
      action();
      this.timers[index] = this.dependencies.clock.schedule(intervalMs(), run);
    };
    this.timers.push({ dispose: () => {} });
    run();
  }
}
