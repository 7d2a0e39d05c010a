/** Keys that other instances hold: claims that they run and keys that they minted. */
import type { PeerLink } from '../../ports/Peer.js';
import type { Clock } from '../../ports/Types.js';
import { PEER_LIVE_MS, type KnownPeer, type Peers } from '../gossip/Peers.js';
import { pause } from '../settle/SettledWrite.js';
import type { KeyedRequest, KeyHolders, RunResult } from './KeyedRequestRunner.js';
import type { KeyMint, KeyOrigin } from './KeyMint.js';

/** What the keys of peers are reached with. */
export interface PeerKeysDependencies {
  readonly clock: Clock;
  readonly link: PeerLink;
  readonly peers: Peers;
  readonly mint: KeyMint;
  readonly origin: KeyOrigin;
  readonly localDomain: string;
  /** Whether this instance runs a claim attempt. */
  readonly runsHere: (attempt: string) => boolean;
  readonly broadcast: () => Promise<void>;
  readonly log: (message: string) => void;
}

/** Time between hand-over attempts, in milliseconds. */
const HAND_OVER_AGAIN_MS = 50;

/** Longest time to forward one request, in milliseconds. */
const MAX_FORWARD_MS = 30_000;

/** Delay before a request is forwarded again, in milliseconds. */
const FORWARD_AGAIN_MS = 100;

/** Hand-over attempts to the same peer before the keys are lost. */
const HAND_OVER_ATTEMPTS = 20;

export class PeerKeys implements KeyHolders {
  public constructor(private readonly parts: PeerKeysDependencies) {}

  public async isRunning(holder: string, attempt: string): Promise<boolean> {
    const [instance = '', incarnation = ''] = holder.split('~');
    if (instance === this.parts.origin.instance) {
      return incarnation === this.parts.origin.incarnation && this.parts.runsHere(attempt);
    }
    const peer = this.parts.peers.find(instance);
    if (peer === undefined) return false;
    return this.parts.link.isRunning(peer.address, attempt).catch(() => false);
  }

  /**
   * Forwards a minted key's request, again and again: its holder runs it at most once, and answers a
   * repeat with what the first one came to.
   */
  public async forward(origin: KeyOrigin, request: KeyedRequest): Promise<RunResult | undefined> {
    const { clock, link } = this.parts;
    const deadline = clock.now() + MAX_FORWARD_MS;
    while (clock.now() < deadline) {
      const heir = this.parts.peers.keyHolderOf(origin.incarnation, clock.now());
      const peer = this.parts.peers.find(heir ?? origin.instance);
      if (peer === undefined) return undefined;
      try {
        const result = await link.forward(peer.address, request);
        return result.answer === undefined && result.refusal === undefined ? undefined : result;
      } catch {
        if (clock.now() - peer.lastExchangeAt > PEER_LIVE_MS) return undefined;
        await pause(clock, FORWARD_AGAIN_MS);
      }
    }
    return undefined;
  }

  /** Hands the minted keys to one peer, and to no other once the first attempt was made. */
  public async handOverKeys(): Promise<void> {
    const handed = this.parts.mint.handOver();
    if (handed.keys.length === 0) return;
    const live = this.parts.peers.livePeers(this.parts.clock.now());
    const heir = live.sort((a, b) => this.closeness(b) - this.closeness(a))[0] as
      KnownPeer | undefined;
    if (heir === undefined) return;
    for (let attempt = 0; attempt < HAND_OVER_ATTEMPTS; attempt += 1) {
      try {
        await this.parts.link.handOver(heir.address, handed);
        this.parts.peers.recordKeyHandOver(handed.incarnations, heir.name, this.parts.clock.now());
        await this.parts.broadcast();
        return;
      } catch {
        await pause(this.parts.clock, HAND_OVER_AGAIN_MS);
      }
    }
    this.parts.log(
      `Peer ${heir.name} did not take the minted keys; their fate is unknown to callers.`,
    );
  }

  private closeness(peer: KnownPeer): number {
    return peer.failureDomain === this.parts.localDomain ? 1 : 0;
  }
}
