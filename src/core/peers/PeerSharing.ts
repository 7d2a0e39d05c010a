/**
 * Tells peers of this instance's work at the servers, and passes on what the store said.
 *
 * Instances at home hear of each other often, since they compete for the same servers; the others less.
 */
import type { Clock, Disposable, Random } from '../../ports/Types.js';
import type { Decisions } from '../Decisions.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { KnownServer, ServerDirectory } from '../deployment/ServerDirectory.js';
import type { BackendServer } from '../deployment/Types.js';
import type { ServerLoad, Work } from '../routing/ServerLoad.js';
import type { PeerAddress, PeerDigest, PeerPort, PeerReceipt, WorkShare } from './Types.js';

export interface SharingParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly port: PeerPort;
  readonly self: PeerAddress;
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly decisions: Decisions;
  readonly isLeaving: () => boolean;
}

/** Time between digests to peers of the own failure domain, in milliseconds. */
const HOME_MS = 250;

/** Digests elsewhere go out in each n-th round only. */
const AWAY_ROUNDS = 3;

/** Most peers told in one round, at home and elsewhere each; more are told in turn. */
const FANOUT = 6;

/** A peer's work counts for this time after its last digest, in milliseconds. */
const WORK_MS = 2500;

/** A peer that was not heard of for this time is not counted, in milliseconds. */
const ALIVE_MS = 3000;

/** A peer that was not heard of for this time is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

/** Changes of servers are passed on for this time, in milliseconds. */
const NEWS_MS = 4000;

interface Peer {
  address: PeerAddress;
  incarnation: number;
  heardAt: number;
  work: readonly WorkShare[];
  /** What the peer last said that it holds. */
  receipt: PeerReceipt;
  sending: boolean;
}

interface News {
  readonly record: BackendServer;
  readonly at: number;
}

/** A server's entry with what is known beyond it: a removed entry says that the server leaves. */
function asBelieved({ record, leaving, revision }: KnownServer): BackendServer {
  return leaving === record.leaving && revision === record.revision
    ? record
    : { ...record, leaving, revision };
}

export class PeerSharing {
  private readonly peers = new Map<string, Peer>();

  private readonly news = new Map<string, News>();

  private round = 0;

  private timer: Disposable | undefined;

  private readonly subscription: Disposable;

  public constructor(private readonly parts: SharingParts) {
    this.subscription = parts.directory.onChange((server) => {
      this.news.set(server.record.id, { record: asBelieved(server), at: parts.clock.now() });
    });
  }

  /** Live instances, this one included. */
  public get liveInstances(): number {
    let live = 1;
    for (const peer of this.peers.values()) if (this.isAlive(peer)) live += 1;
    return live;
  }

  /** Instances heard of lately, live or not, this one included. */
  public get knownInstances(): number {
    return this.peers.size + 1;
  }

  public start(): void {
    this.tick();
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
    this.subscription.dispose();
  }

  /** Learns of a peer from the store. */
  public meet(address: PeerAddress): void {
    if (address.instance === this.parts.self.instance) return;
    const peer = this.peers.get(address.instance);
    if (peer !== undefined) return;
    this.peers.set(address.instance, {
      address,
      incarnation: 0,
      heardAt: -Infinity,
      work: [],
      receipt: { ticket: 0, revision: 0 },
      sending: false,
    });
  }

  /** Takes in a peer's digest. @returns what this instance holds now */
  public take(digest: PeerDigest): PeerReceipt {
    const { deployments, directory, clock } = this.parts;
    this.meet(digest.from);
    for (const address of digest.peers) this.meet(address);
    const peer = this.peers.get(digest.from.instance);
    if (peer !== undefined && this.isNewest(peer, digest)) {
      const wasAlive = this.isAlive(peer);
      peer.address = digest.from;
      peer.incarnation = digest.incarnation;
      peer.heardAt = digest.leaving ? -Infinity : clock.now();
      peer.work = digest.work;
      peer.receipt = { ticket: digest.ticket, revision: digest.revision };
      if (!wasAlive && !digest.leaving) this.note('peer', peer);
    }
    for (const record of digest.records) directory.put(record);
    if (digest.deployment !== undefined && deployments.offer(digest.deployment)) {
      this.parts.decisions.note('configuration', {
        ticket: digest.deployment.ticket,
        from: digest.from.instance,
      });
    }
    return this.receipt;
  }

  private get receipt(): PeerReceipt {
    return { ticket: this.parts.deployments.ticket, revision: this.parts.directory.revision };
  }

  /** Whether a digest is of the peer's newest process; clocks that jump back do not matter for long. */
  private isNewest(peer: Peer, { incarnation }: PeerDigest): boolean {
    return incarnation >= peer.incarnation || !this.isAlive(peer);
  }

  private isAlive(peer: Peer): boolean {
    return this.parts.clock.now() - peer.heardAt < ALIVE_MS;
  }

  private tick(): void {
    this.round += 1;
    this.forget();
    this.parts.load.setOthers(this.sumWork());
    const { failureDomain } = this.parts.self;
    const home: Peer[] = [];
    const away: Peer[] = [];
    for (const peer of this.peers.values()) {
      if (peer.address.failureDomain === failureDomain) home.push(peer);
      else away.push(peer);
    }
    for (const peer of this.pick(home, this.round)) this.tell(peer);
    if (this.round % AWAY_ROUNDS === 0) {
      for (const peer of this.pick(away, this.round / AWAY_ROUNDS)) this.tell(peer);
      if (home.length + away.length === 0) this.tellSeeds();
    }
    this.timer = this.parts.clock.schedule(HOME_MS, () => this.tick());
  }

  /** All peers of a small group; of a large one, those whose turn it is. */
  private pick(peers: readonly Peer[], turn: number): readonly Peer[] {
    if (peers.length <= FANOUT) return peers;
    const picked: Peer[] = [];
    for (let index = 0; index < FANOUT; index += 1) {
      picked.push(peers[(turn * FANOUT + index) % peers.length]);
    }
    return picked;
  }

  private sumWork(): Map<string, Work> {
    const now = this.parts.clock.now();
    const sum = new Map<string, Work>();
    for (const peer of this.peers.values()) {
      if (now - peer.heardAt > WORK_MS) continue;
      for (const share of peer.work) {
        const work = sum.get(share.server);
        if (work === undefined) {
          sum.set(share.server, { ...share });
          continue;
        }
        work.requests += share.requests;
        work.readingTokens += share.readingTokens;
        work.tokenLayers += share.tokenLayers;
      }
    }
    return sum;
  }

  private async tell(peer: Peer): Promise<void> {
    if (peer.sending) return;
    peer.sending = true;
    const wasAlive = this.isAlive(peer);
    try {
      peer.receipt = await this.parts.port.send(peer.address.address, this.digestFor(peer));
    } catch (error) {
      if (wasAlive && !this.isAlive(peer)) this.note('peer-lost', peer, (error as Error).message);
    } finally {
      peer.sending = false;
    }
  }

  private async tellSeeds(): Promise<void> {
    for (const seed of this.parts.seeds) {
      if (seed === this.parts.self.address) continue;
      // A seed may be stale or down; the store names the peers as well.
      this.parts.port.send(seed, this.digestFor(undefined)).catch(() => undefined);
    }
  }

  private digestFor(peer: Peer | undefined): PeerDigest {
    const { deployments, directory, self, incarnation, isLeaving } = this.parts;
    const table = deployments.current;
    const isBehind = peer !== undefined && peer.receipt.ticket < deployments.ticket;
    const knowsNone = peer !== undefined && peer.receipt.revision === 0;
    return {
      from: self,
      incarnation,
      leaving: isLeaving(),
      ticket: deployments.ticket,
      work: this.ownWork(),
      records: knowsNone ? this.allRecords() : this.recentRecords(),
      revision: directory.revision,
      peers: this.round % 10 === 0 ? [...this.peers.values()].map(({ address }) => address) : [],
      ...(isBehind && table !== undefined && { deployment: table.deployment }),
    };
  }

  private ownWork(): WorkShare[] {
    const shares: WorkShare[] = [];
    for (const [server, work] of this.parts.load.listOwn()) shares.push({ server, ...work });
    return shares;
  }

  private allRecords(): BackendServer[] {
    const records: BackendServer[] = [];
    for (const server of this.parts.directory.all()) records.push(asBelieved(server));
    return records;
  }

  private recentRecords(): BackendServer[] {
    const oldest = this.parts.clock.now() - NEWS_MS;
    const records: BackendServer[] = [];
    for (const [id, { record, at }] of this.news) {
      if (at < oldest) this.news.delete(id);
      else records.push(record);
    }
    return records;
  }

  private forget(): void {
    const oldest = this.parts.clock.now() - FORGET_MS;
    for (const [name, { heardAt }] of this.peers) {
      if (heardAt !== -Infinity && heardAt < oldest) this.peers.delete(name);
    }
  }

  private note(event: string, peer: Peer, error?: string): void {
    const { instance, address, failureDomain } = peer.address;
    this.parts.decisions.note(event, {
      peer: instance,
      address,
      domain: failureDomain,
      ticket: peer.receipt.ticket,
      error,
    });
  }
}
