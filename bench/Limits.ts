/**
 * `bench limits`: how far admission by all instances exceeds an account's limit, and how much of
 * the limit stays unused.
 */
import { AccountLimiter } from '../src/core/limits/AccountLimiter.js';
import { SeededRandom } from '../src/fakes/SeededRandom.js';
import { VirtualClock } from '../src/fakes/VirtualClock.js';

/** Distribution of the requests over the instances. */
export enum DemandShape {
  Even = 'even',
  /** Nine in ten requests go to one instance, each of the others to a random one. */
  Skewed = 'skewed',
  /** As skewed, but the instance changes every five seconds. */
  Shifting = 'shifting',
  /** Skewed, and the failure domain of that instance is partitioned from the others halfway through. */
  CutOff = 'cut-off',
}

/** Result of one case. */
export interface LimitRow {
  readonly demand: DemandShape;
  /** Offered requests per second, as a multiple of the limit. */
  readonly load: number;
  readonly seed: number;
  /** Mean admitted rate, as a fraction of the limit. */
  readonly admitted: number;
  /** Highest number of requests admitted in one second, as a fraction of the limit. */
  readonly highestSecond: number;
  /** Fraction of min(limit, offered load) that was not admitted. */
  readonly unused: number;
}

interface Instance {
  readonly domain: number;
  readonly limiter: AccountLimiter;
}

const DOMAINS = 3;
const INSTANCES_PER_DOMAIN = 2;
const LIMIT = 300;
const ACCOUNT = 'account';
const RUN_MS = 40_000;
const WARM_UP_MS = 5000;
const PARTITION_AT_MS = 20_000;
const EXCHANGE_INTERVAL_MS = 500;
const SHIFT_INTERVAL_MS = 5000;

/**
 * Fraction of the requests that go to one instance, unless the demand is even; the others are spread
 * over all instances.
 */
const SKEWED_SHARE = 0.9;
const LOADS = [0.8, 2];

class LimitRun {
  private readonly clock = new VirtualClock();

  private readonly random: SeededRandom;

  private readonly instances: Instance[] = [];

  private readonly admittedBySecond: number[] = [];

  private readonly lastExchanges = new Map<string, number>();

  private rounds = 0;

  private isPartitioned = false;

  public constructor(
    private readonly demand: DemandShape,
    private readonly load: number,
    private readonly seed: number,
  ) {
    this.random = new SeededRandom(seed);
    for (let index = 0; index < DOMAINS * INSTANCES_PER_DOMAIN; index += 1) {
      const limiter = new AccountLimiter({
        domains: DOMAINS,
        localInstances: INSTANCES_PER_DOMAIN,
      });
      this.instances.push({ domain: Math.floor(index / INSTANCES_PER_DOMAIN), limiter });
    }
  }

  public run(): LimitRow {
    this.exchange();
    this.scheduleArrival();
    if (this.demand === DemandShape.CutOff) {
      this.clock.schedule(PARTITION_AT_MS, () => {
        this.isPartitioned = true;
      });
    }
    this.clock.runSync(RUN_MS);
    const measured = this.admittedBySecond
      .slice(WARM_UP_MS / 1000, RUN_MS / 1000)
      .map((count) => count / LIMIT);
    const mean = measured.reduce((sum, part) => sum + part, 0) / measured.length;
    const achievable = Math.min(1, this.load);
    const round = (value: number) => Math.round(value * 1000) / 1000;
    return {
      demand: this.demand,
      load: this.load,
      seed: this.seed,
      admitted: round(mean),
      highestSecond: round(Math.max(...measured)),
      unused: round(Math.max(0, achievable - mean) / achievable),
    };
  }

  private scheduleArrival(): void {
    const gapMs = (-Math.log(1 - this.random.next()) * 1000) / (LIMIT * this.load);
    this.clock.schedule(gapMs, () => {
      const now = this.clock.now();
      const { limiter } = this.instances[this.pickInstance(now)];
      if (
        limiter.acquire(ACCOUNT, { requestsPerSecond: LIMIT, concurrency: 1e6 }, now) === undefined
      ) {
        const second = Math.floor(now / 1000);
        this.admittedBySecond[second] = (this.admittedBySecond[second] ?? 0) + 1;
        limiter.release(ACCOUNT);
      }
      this.scheduleArrival();
    });
  }

  private pickInstance(now: number): number {
    const count = this.instances.length;
    if (this.demand === DemandShape.Even || this.random.next() > SKEWED_SHARE)
      return Math.floor(this.random.next() * count);
    return this.demand === DemandShape.Shifting ? Math.floor(now / SHIFT_INTERVAL_MS) % count : 0;
  }

  /**
   * Exchanges as the gossip does: with one local peer in each round and one remote peer in every
   * other round.
   */
  private exchange(): void {
    this.rounds += 1;
    for (const [index, instance] of this.instances.entries()) {
      const localPeer = this.instances.findIndex(
        (peer, peerIndex) => peerIndex !== index && peer.domain === instance.domain,
      );
      this.exchangePair(index, localPeer);
      if (this.rounds % 2 > 0) continue;
      this.exchangePair(index, this.leastRecentRemotePeer(index));
    }
    this.clock.schedule(EXCHANGE_INTERVAL_MS, () => this.exchange());
  }

  private leastRecentRemotePeer(index: number): number {
    let best = -1;
    for (const [peerIndex, peer] of this.instances.entries()) {
      if (peer.domain === this.instances[index].domain) continue;
      if (best < 0 || this.lastExchangeAt(index, peerIndex) < this.lastExchangeAt(index, best))
        best = peerIndex;
    }
    return best;
  }

  private lastExchangeAt(a: number, b: number): number {
    return this.lastExchanges.get(`${Math.min(a, b)} ${Math.max(a, b)}`) ?? 0;
  }

  private exchangePair(first: number, second: number): void {
    const a = this.instances[first];
    const b = this.instances[second];
    if (this.isPartitioned && a.domain !== b.domain && (a.domain === 0 || b.domain === 0)) return;
    const now = this.clock.now();
    this.lastExchanges.set(`${Math.min(first, second)} ${Math.max(first, second)}`, now);
    a.limiter.applyPeerDemand(`i${second}`, b.limiter.guarantee, b.limiter.demands(now), now);
    b.limiter.applyPeerDemand(`i${first}`, a.limiter.guarantee, a.limiter.demands(now), now);
  }
}

/**
 * Runs one case.
 * @param load - offered requests per second, as a multiple of the limit
 */
export function runLimitCase(demand: DemandShape, load: number, seed: number): LimitRow {
  return new LimitRun(demand, load, seed).run();
}

/** Runs every case for every seed. */
export async function runLimitsBench(seeds: readonly number[]): Promise<LimitRow[]> {
  const rows: LimitRow[] = [];
  for (const demand of Object.values(DemandShape)) {
    for (const load of LOADS) {
      for (const seed of seeds) rows.push(runLimitCase(demand, load, seed));
    }
  }
  return rows;
}
