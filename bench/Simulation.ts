/**
 * Simulates entry instances under load in virtual time: the router's own decision code over
 * simulated servers.
 */
import { Invariants } from '../src/core/Invariant.js';
import { AccountLimiter } from '../src/core/limits/AccountLimiter.js';
import { RetryBudget } from '../src/core/limits/RetryBudget.js';
import { Prober } from '../src/core/membership/Prober.js';
import { PartQuarantine } from '../src/core/quarantine/PartQuarantine.js';
import { PromptQuarantine } from '../src/core/streams/PromptQuarantine.js';
import { ServerHealth } from '../src/core/membership/ServerHealth.js';
import { Outcome } from '../src/core/Outcome.js';
import {
  CompletionDispatcher,
  REROUTE_REASONS,
} from '../src/core/requests/CompletionDispatcher.js';
import { planFlow } from '../src/core/routing/FlowPlan.js';
import { LoadTable } from '../src/core/routing/LoadTable.js';
import { PipelineRouting } from '../src/core/routing/PipelineRouting.js';
import { Topology } from '../src/core/routing/Topology.js';
import { Configuration } from '../src/core/tickets/Configuration.js';
import { SeededRandom } from '../src/fakes/SeededRandom.js';
import { VirtualClock } from '../src/fakes/VirtualClock.js';
import { BatchServer } from './BatchServer.js';
import { BenchEngine, PREFILL_COST_FACTOR } from './BenchEngine.js';
import { changesOf, PIPELINE, type Fleet } from './Fleet.js';
import { PLANNERS, type Policy } from './Policies.js';

/** A simulated entry instance. */
export interface BenchInstance {
  readonly domain: string;
  readonly dispatcher: CompletionDispatcher;
  readonly load: LoadTable;
  readonly health: ServerHealth;
  readonly prober: Prober;
}

/** Timeline of one request; times are in virtual milliseconds. */
export interface RequestRecord {
  readonly id: string;
  readonly tokens: number;
  readonly arrivedAt: number;
  firstTokenAt: number;
  lastTokenAt: number;
  /** Longest gap between tokens, in milliseconds. */
  longestGapMs: number;
  endedAt: number;
  /** Time of the first token after the fault that hit the stream; 0 until then. */
  firstTokenAfterFaultAt: number;
  /** Whether a fault hit the stream. */
  isHit: boolean;
  outcome: Outcome | undefined;
}

export interface SimulationOptions {
  readonly fleet: Fleet;
  readonly policy: Policy;
  readonly seed: number;
  /** Offered load as a multiple of `Simulation.boundPerMs`. */
  readonly load: number;
}

const INSTANCES_PER_DOMAIN = 2;
const EXCHANGE_INTERVAL_MS = 500;
const CHARACTERS_PER_TOKEN = 4;

export class Simulation {
  public readonly clock = new VirtualClock();

  public readonly servers = new Map<string, BatchServer>();

  public readonly engine: BenchEngine;

  public readonly instances: BenchInstance[] = [];

  public readonly records: RequestRecord[] = [];

  /**
   * Upper bound on the answer tokens per millisecond: the optimal flow over the servers, reduced by
   * the work of the prefills.
   */
  public readonly boundPerMs: number;

  /** Failure domains that are partitioned from all others. */
  public readonly partitionedDomains = new Set<string>();

  public readonly invariants = new Invariants(true);

  public retries = 0;

  private readonly random: SeededRandom;

  private readonly configuration = new Configuration(this.invariants);

  private stopAt = 0;

  public constructor(private readonly options: SimulationOptions) {
    const { fleet, seed } = options;
    this.random = new SeededRandom(seed);
    for (const name of fleet.servers.keys()) this.servers.set(name, new BatchServer(this.clock));
    this.engine = new BenchEngine(this.clock, fleet, this.servers, (from, to) =>
      this.isPartitioned(from, to),
    );
    this.configuration.apply({
      number: 1,
      submission: '',
      at: '',
      author: '',
      reason: '',
      changes: changesOf(fleet),
    });
    this.boundPerMs = this.computeBoundPerMs();
    for (const domain of fleet.domains) {
      for (let index = 0; index < INSTANCES_PER_DOMAIN; index += 1) this.addInstance(domain);
    }
  }

  /** Runs the simulation and submits requests until a time. */
  public async run(untilMs: number): Promise<void> {
    this.stopAt = untilMs;
    for (const { prober } of this.instances) prober.start();
    this.exchange();
    this.scheduleArrival();
    await this.clock.runUntil(untilMs);
    for (const { prober } of this.instances) prober.dispose();
  }

  /**
   * Marks and returns the requests that count as hit by a fault: those with a first token whose route
   * uses one of the servers, or crosses failure domains, also domains that are not partitioned.
   * @param servers - servers that a fault hits; undefined for the routes that cross failure domains
   */
  public markHitRecords(servers: readonly string[] | undefined): RequestRecord[] {
    const hitRequests = this.engine.requestsMatching((stages) =>
      servers === undefined
        ? new Set(stages.map(({ server }) => this.options.fleet.servers.get(server)?.failureDomain))
            .size > 1
        : stages.some(({ server }) => servers.includes(server)),
    );
    const hit = this.records.filter(
      ({ id, firstTokenAt }) => firstTokenAt > 0 && hitRequests.has(id),
    );
    for (const record of hit) record.isHit = true;
    return hit;
  }

  /**
   * Removes an instance: it gets no further requests, probes no servers and exchanges no load. Its
   * streams in progress continue.
   */
  public removeInstance(instance: BenchInstance): void {
    this.instances.splice(this.instances.indexOf(instance), 1);
    instance.prober.dispose();
  }

  /** Whether two failure domains are partitioned from each other. */
  public isPartitioned(from: string, to: string): boolean {
    return from !== to && (this.partitionedDomains.has(from) || this.partitionedDomains.has(to));
  }

  private computeBoundPerMs(): number {
    const { fleet } = this.options;
    const { workload } = fleet;
    const flow = planFlow(
      new Topology(this.configuration).candidatesFor(PIPELINE),
      fleet.pipeline.layers,
    ).tokensPerMs;
    const meanTokens = (workload.minAnswerTokens + workload.maxAnswerTokens) / 2;
    return flow * (meanTokens / (meanTokens + workload.promptTokens * PREFILL_COST_FACTOR));
  }

  private addInstance(domain: string): void {
    const { clock, configuration, invariants } = this;
    const engine = this.engine.engineFor(domain);
    const { policy } = this.options;
    const load = new LoadTable();
    const health = new ServerHealth();
    const retryBudget = new RetryBudget();
    const topology = new Topology(configuration);
    const random = new SeededRandom(Math.floor(this.random.next() * 2 ** 31));
    const dependencies = {
      clock,
      engine,
      configuration,
      topology,
      load,
      health,
      retryBudget,
      localDomain: domain,
    };
    const routing = new PipelineRouting(dependencies, (query) => PLANNERS[policy](query, random));
    const counters = {
      countRetry: () => {
        this.retries += 1;
      },
      countToken: () => {},
    };
    const dispatcher = new CompletionDispatcher({
      sessionDependencies: {
        clock,
        engine,
        routing,
        counters,
        quarantine: new PromptQuarantine({
          clock,
          engine,
          configuration,
          quarantine: new PartQuarantine(clock, () => ({ rank: 0, instances: 1 })),
        }),
        invariants,
      },
      clock,
      configuration,
      topology,
      limiter: new AccountLimiter({ domains: 1, localInstances: 1 }),
      retryBudget,
      localDomain: domain,
      isUsable: (server) => routing.isUsable(server, clock.now()),
      countLocalInstances: () => INSTANCES_PER_DOMAIN,
    });
    const prober = new Prober({
      clock,
      engine,
      configuration,
      load,
      health,
      isAssigned: (_server, failureDomain) => failureDomain === domain,
      log: () => {},
    });
    health.onMark((server, mark) => {
      const reason = REROUTE_REASONS[mark];
      if (reason !== undefined) dispatcher.rerouteFrom(server, reason);
    });
    this.instances.push({ domain, dispatcher, load, health, prober });
  }

  /**
   * Sends each instance's busy times, corrections and marks to all instances that it reaches, with
   * a random delay.
   */
  private exchange(): void {
    for (const [index, { load, health, domain }] of this.instances.entries()) {
      const own = load.listOwnBusyMs();
      const marks = health.list(this.clock.now());
      const corrections = load.corrections(this.clock.now());
      const delayMs = this.random.between(0, EXCHANGE_INTERVAL_MS);
      this.clock.schedule(delayMs, () => {
        for (const [other, peer] of this.instances.entries()) {
          if (other === index || this.isPartitioned(domain, peer.domain)) continue;
          peer.load.applyPeerLoad(`i${index}`, own, this.clock.now());
          for (const [server, factor] of corrections)
            peer.load.applyPeerCorrection(server, factor, this.clock.now());
          for (const { server, mark, remainingMs } of marks) {
            peer.health.mark(server, mark, this.clock.now(), remainingMs);
          }
        }
      });
    }
    this.clock.schedule(EXCHANGE_INTERVAL_MS, () => this.exchange());
  }

  private scheduleArrival(): void {
    const { fleet, load } = this.options;
    const { minAnswerTokens, maxAnswerTokens } = fleet.workload;
    const meanTokens = (minAnswerTokens + maxAnswerTokens) / 2;
    const ratePerMs = (this.boundPerMs * load) / meanTokens;
    const gapMs = -Math.log(1 - this.random.next()) / ratePerMs;
    this.clock.schedule(gapMs, () => {
      if (this.clock.now() >= this.stopAt) return;
      this.submit(Math.floor(this.random.between(minAnswerTokens, maxAnswerTokens + 1)));
      this.scheduleArrival();
    });
  }

  private submit(tokens: number): void {
    const { fleet } = this.options;
    const now = this.clock.now();
    const record: RequestRecord = {
      id: `r${this.records.length}`,
      tokens,
      arrivedAt: now,
      firstTokenAt: 0,
      lastTokenAt: 0,
      longestGapMs: 0,
      endedAt: 0,
      firstTokenAfterFaultAt: 0,
      isHit: false,
      outcome: undefined,
    };
    this.records.push(record);
    // Squaring the random value gives a few accounts most of the requests.
    const account = fleet.accounts[Math.floor(this.random.next() ** 2 * fleet.accounts.length)];
    const prompt = 'x'.repeat(fleet.workload.promptTokens * CHARACTERS_PER_TOKEN);
    const end = (outcome: Outcome) => {
      record.outcome = outcome;
      record.endedAt = this.clock.now();
    };
    this.random.pick(this.instances).dispatcher.submit(
      {
        id: record.id,
        account,
        pipeline: PIPELINE,
        prompt,
        maxTokens: tokens,
        priority: 0,
        bytes: prompt.length,
      },
      {
        onToken: () => {
          const at = this.clock.now();
          if (record.firstTokenAt === 0) record.firstTokenAt = at;
          else record.longestGapMs = Math.max(record.longestGapMs, at - record.lastTokenAt);
          if (record.isHit && record.firstTokenAfterFaultAt === 0)
            record.firstTokenAfterFaultAt = at;
          record.lastTokenAt = at;
        },
        onEnd: () => end(Outcome.Complete),
        onRefusal: (refused) => end(refused.outcome),
      },
    );
  }
}
