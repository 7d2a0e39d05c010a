/** A simulated fleet: instances that know of each other's work with delay, and servers of a plain service. */
import { Deployments } from '../../../src/core/deployment/Deployments.js';
import { ServerDirectory } from '../../../src/core/deployment/ServerDirectory.js';
import type { BackendServer } from '../../../src/core/deployment/Types.js';
import { ServerPace } from '../../../src/core/pace/ServerPace.js';
import type { PaceLimit, SharedPace } from '../../../src/core/pace/Types.js';
import { choosePlainServer } from '../../../src/core/routing/PlainServerChoice.js';
import { ServerLoad, type OutstandingWork } from '../../../src/core/routing/ServerLoad.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';
import { backendServer, deployment, route, openServerAdmission } from '../FleetFixture.js';

/** Time to the first event of a stream at a warm server, in milliseconds. */
const FIRST_EVENT_MS = 200;

/** Duration of a stream as a multiple of the time to its first event. */
const STREAM_FACTOR = 7;

const SLOTS = 16;

/** Requests beyond its slots that a server queues. */
const QUEUE = 8;

/** Interval of digests, in milliseconds. */
const DIGEST_MS = 250;

/** Time until a digest has reached all instances, in milliseconds. */
const DIGEST_LAG_MS = 500;

/** Time to the first event within which callers are well served, in milliseconds. */
const OBJECTIVE_MS = 600;

const SERVICE = { name: 'plain', engine: undefined };

/** How a server behaves after a start. */
export interface StartBehaviour {
  /** Multiple of the usual time of work right after the start; falls to 1. */
  readonly coldFactor: number;
  /** Time until the server works as usual, in milliseconds; Infinity if it never does. */
  readonly coldMs: number;
}

export const WARM: StartBehaviour = { coldFactor: 1, coldMs: 0 };

interface SimulatedServer extends StartBehaviour {
  record: BackendServer;
  startedAt: number;
  inProgress: number;
}

interface SimulatedInstance {
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly pace: ServerPace;
  isDead: boolean;
}

/** What became of the requests since the counts were reset. */
export interface FleetCounts {
  /** Rejections by servers. */
  rejections: number;
  late: number;
  /** Requests that no server took. */
  refused: number;
  answers: number;
  /** Answers of watched servers. */
  watchedAnswers: number;
  /** Rejections by watched servers. */
  watchedRejections: number;
  /** Most requests in progress at a watched server. */
  watchedPeak: number;
}

export function noCounts(): FleetCounts {
  return {
    rejections: 0,
    late: 0,
    refused: 0,
    answers: 0,
    watchedAnswers: 0,
    watchedRejections: 0,
    watchedPeak: 0,
  };
}

export class PacedFleet {
  public readonly clock = new VirtualClock();

  public readonly instances: SimulatedInstance[] = [];

  public counts = noCounts();

  /** Servers whose answers are counted apart. */
  public readonly watched = new Set<string>();

  private readonly random: SeededRandom;

  private readonly servers = new Map<string, SimulatedServer>();

  /**
   * @param instances - number of router instances
   * @param limit - replaces the pace in the choice of servers
   */
  public constructor(
    instances: number,
    seed: number,
    private readonly limit?: PaceLimit,
  ) {
    this.random = new SeededRandom(seed);
    for (let rank = 0; rank < instances; rank += 1) this.addInstance(rank, instances);
    this.clock.schedule(0, () => this.exchangeDigests());
  }

  public resetCounts(): void {
    this.counts = noCounts();
  }

  /** Adds an instance that knows every server that runs, and no pace. */
  public addInstance(rank: number, instances: number): void {
    const { clock } = this;
    const directory = new ServerDirectory(clock);
    const load = new ServerLoad();
    const deployments = new Deployments();
    deployments.applyIfNewer(deployment([route({ shares: [{ service: 'plain', weight: 1 }] })]));
    const turn = () => ({ rank, instances });
    const pace = new ServerPace({ clock, directory, load, deployments, turn });
    for (const { record } of this.servers.values()) directory.put(record);
    this.instances.push({ directory, load, pace, isDead: false });
  }

  /** Starts a server, or starts one again as a new process. */
  public start(id: string, behaviour: StartBehaviour): void {
    const incarnation = 1 + this.clock.now();
    const record = backendServer(id, { service: 'plain', slots: SLOTS, incarnation });
    const startedAt = this.clock.now();
    this.servers.set(id, { ...behaviour, record, startedAt, inProgress: 0 });
    this.publish(record);
  }

  /** Announces that a server leaves; it ends what it has. */
  public drain(id: string): void {
    const server = this.servers.get(id);
    if (server === undefined) return;
    const { revision } = backendServer(id);
    this.publish({ ...server.record, revision, leaving: true });
  }

  /** Runs until a time, in milliseconds, with requests at random instances. */
  public async run(untilMs: number, requestsPerSecond: number): Promise<void> {
    for (let at = this.clock.now(); at < untilMs; at += 1000 / requestsPerSecond) {
      await this.clock.runUntil(at);
      const alive = this.instances.filter(({ isDead }) => !isDead);
      this.request(this.random.pick(alive));
    }
  }

  private publish(record: BackendServer): void {
    for (const { directory } of this.instances)
      this.clock.schedule(this.random.next() * DIGEST_LAG_MS, () => directory.put(record));
  }

  private exchangeDigests(): void {
    const alive = this.instances.filter(({ isDead }) => !isDead);
    const total = new Map<string, OutstandingWork>();
    const own = alive.map(
      ({ load }) => new Map([...load.listOwnWork()].map(([id, work]) => [id, { ...work }])),
    );
    for (const work of own)
      for (const [id, { requests }] of work) {
        const sum = total.get(id)?.requests ?? 0;
        total.set(id, { requests: sum + requests, readingTokens: 0, tokenLayers: 0 });
      }
    const lists = JSON.stringify(
      alive.map(({ pace }) => pace.list()).filter(({ length }) => length > 0),
    );
    for (const [index, { load, pace }] of alive.entries()) {
      const others = new Map<string, OutstandingWork>();
      for (const [id, sum] of total) {
        const requests = sum.requests - (own[index].get(id)?.requests ?? 0);
        if (requests > 0) others.set(id, { ...sum, requests });
      }
      // Digests reach instances at different times.
      this.clock.schedule(DIGEST_LAG_MS * (0.5 + this.random.next() / 2), () => {
        load.setPeerWork(others);
        for (const list of JSON.parse(lists) as SharedPace[][]) pace.merge(list, 'peer');
      });
    }
    this.clock.schedule(DIGEST_MS, () => this.exchangeDigests());
  }

  private request(instance: SimulatedInstance): void {
    this.send(instance, this.clock.now(), new Set());
  }

  private send(instance: SimulatedInstance, arrivedAt: number, avoid: Set<string>): void {
    const { directory, load, pace } = instance;
    const chosen = choosePlainServer({
      directory,
      load,
      pace: this.limit ?? pace,
      avoid,
      serverAdmission: openServerAdmission(this.clock),
      service: SERVICE.name,
      localDomain: 'a',
    });
    const server = chosen && this.servers.get(chosen.record.id);
    if (chosen === undefined || server === undefined) {
      this.counts.refused += 1;
      return;
    }
    const { id } = chosen.record;
    const trial = pace.startTrial(SERVICE, [], id, 0);
    const stages = [{ server: id, address: '', from: 0, to: 0 }];
    const isWatched = this.watched.has(id);
    if (server.inProgress >= SLOTS + QUEUE) {
      this.counts.rejections += 1;
      if (isWatched) this.counts.watchedRejections += 1;
      directory.noteRejection(id);
      pace.recordRejection(trial, id);
      // A route sends a request to two servers at most.
      if (avoid.size > 0) this.counts.refused += 1;
      else this.send(instance, arrivedAt, new Set([id]));
      return;
    }
    load.add(stages, 1, 0, 0);
    server.inProgress += 1;
    if (isWatched) this.counts.watchedPeak = Math.max(this.counts.watchedPeak, server.inProgress);
    const firstEventMs = this.firstEventMs(server);
    this.clock.schedule(firstEventMs, () => {
      directory.noteAlive(id);
      directory.noteAcceptance(id);
      pace.recordAnswer(trial);
      this.counts.answers += 1;
      if (isWatched) this.counts.watchedAnswers += 1;
      if (this.clock.now() - arrivedAt > OBJECTIVE_MS) this.counts.late += 1;
    });
    this.clock.schedule(firstEventMs * STREAM_FACTOR, () => {
      server.inProgress -= 1;
      load.add(stages, -1, 0, 0);
    });
  }

  private firstEventMs({ coldFactor, coldMs, startedAt, inProgress }: SimulatedServer): number {
    const cold = Math.max(0, 1 - (this.clock.now() - startedAt) / Math.max(1, coldMs));
    const factor = coldMs === Infinity ? coldFactor : 1 + (coldFactor - 1) * cold;
    return FIRST_EVENT_MS * factor * Math.max(1, inProgress / SLOTS);
  }
}
