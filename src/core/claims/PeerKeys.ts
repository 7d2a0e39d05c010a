/** Access to the keys that other instances hold: claims and minted keys. */
import type { PeerLink } from '../../ports/Peer.js';
import type { Clock } from '../../ports/Types.js';
import { PEER_LIVE_MS, type KnownPeer, type Peers } from '../gossip/Peers.js';
import { pause } from '../settle/SettleableWrite.js';
import type { KeyedRequest, KeyHolderClient, RunResult } from './KeyedRequestRunner.js';
import type { KeyMint, KeyOrigin } from './KeyMint.js';

/** Dependencies of {@link PeerKeys}. */
export interface PeerKeysDependencies {
  readonly clock: Clock;
  readonly link: PeerLink;
  readonly peers: Peers;
  readonly keyMint: KeyMint;
  readonly origin: KeyOrigin;
  readonly localDomain: string;
  /** Whether this instance is running or settling an attempt. */
  readonly isRunningLocally: (attempt: string) => boolean;
  readonly broadcast: () => Promise<void>;
  readonly log: (message: string) => void;
}

/** Delay between attempts to hand over keys, in milliseconds. */
const HAND_OVER_RETRY_MS = 50;

/** Time limit for forwarding one request, in milliseconds. */
const FORWARD_TIMEOUT_MS = 30_000;

/** Delay before a request is forwarded again, in milliseconds. */
const FORWARD_RETRY_MS = 100;

/** Attempts to hand the keys over to the same peer; if all of them fail, the keys are lost. */
const MAX_HAND_OVER_ATTEMPTS = 20;

export class PeerKeys implements KeyHolderClient {
  public constructor(private readonly dependencies: PeerKeysDependencies) {}

  public async isRunning(holder: string, attempt: string): Promise<boolean> {
    const [instance = '', incarnation = ''] = holder.split('~');
    if (instance === this.dependencies.origin.instance) {
      return (
        incarnation === this.dependencies.origin.incarnation &&
        this.dependencies.isRunningLocally(attempt)
      );
    }
    const peer = this.dependencies.peers.find(instance);
    if (peer === undefined) return false;
    return this.dependencies.link.isRunning(peer.address, attempt).catch(() => false);
  }

  /**
   * Forwards the request of a minted key, with retries: the holder of the key runs the request at most
   * once, and answers a repeat with the result of the first.
   */
  public async forward(origin: KeyOrigin, request: KeyedRequest): Promise<RunResult | undefined> {
    const { clock, link } = this.dependencies;
    const deadline = clock.now() + FORWARD_TIMEOUT_MS;
    while (clock.now() < deadline) {
      const holder = this.dependencies.peers.keyHolderOf(origin.incarnation, clock.now());
      const peer = this.dependencies.peers.find(holder ?? origin.instance);
      if (peer === undefined) return undefined;
      try {
        const result = await link.forward(peer.address, request);
        return result.answer === undefined && result.refusal === undefined ? undefined : result;
      } catch {
        if (clock.now() - peer.lastExchangeAt > PEER_LIVE_MS) return undefined;
        await pause(clock, FORWARD_RETRY_MS);
      }
    }
    return undefined;
  }

  /**
   * Hands the minted keys over to one peer, and to no other once the first attempt was made: an attempt that
   * got no answer may have succeeded, and two holders of a key could each run its request.
   */
  public async handOverKeys(): Promise<void> {
    const handOver = this.dependencies.keyMint.exportKeys();
    if (handOver.keys.length === 0) return;
    const live = this.dependencies.peers.livePeers(this.dependencies.clock.now());
    const newHolder = live.sort((a, b) => this.localityRank(b) - this.localityRank(a))[0] as
      KnownPeer | undefined;
    if (newHolder === undefined) return;
    for (let attempt = 0; attempt < MAX_HAND_OVER_ATTEMPTS; attempt += 1) {
      try {
        await this.dependencies.link.handOver(newHolder.address, handOver);
        this.dependencies.peers.recordKeyHandOver(
          handOver.incarnations,
          newHolder.name,
          this.dependencies.clock.now(),
        );
        await this.dependencies.broadcast();
        return;
      } catch {
        await pause(this.dependencies.clock, HAND_OVER_RETRY_MS);
      }
    }
    this.dependencies.log(
      `Peer ${newHolder.name} did not accept the minted keys; repeated requests with them get the outcome unknown. Check that the peer is reachable.`,
    );
  }

  private localityRank(peer: KnownPeer): number {
    return peer.failureDomain === this.dependencies.localDomain ? 1 : 0;
  }
}
