/**
 * `bench recovery`: time from a fault to the next token of the same stream, and until the token rate
 * is back.
 */
import { Outcome } from '../src/core/Outcome.js';
import { generateFleet, FleetProfile } from './Fleet.js';
import { percentile } from './Percentile.js';
import { Policy } from './Policies.js';
import { Simulation, type RequestRecord } from './Simulation.js';

export enum BenchFault {
  Crash = 'crash',
  Silence = 'silence',
  /** Servers compute `SLOWDOWN_FACTOR` times slower until the end of the run; no link changes. */
  LinkDegraded = 'link-degraded',
  DomainCut = 'domain-cut',
  InstanceLost = 'instance-lost',
}

/** Result of one injected fault. */
export interface RecoveryRow {
  readonly user: FleetProfile;
  readonly fault: BenchFault;
  readonly seed: number;
  /**
   * Streams in progress that count as hit by the fault: for `domain-cut` those whose route crosses
   * failure domains, for all other faults, also `instance-lost`, those that use the busiest servers.
   */
  readonly hit: number;
  /**
   * Time from the fault to the next token of a hit stream, in milliseconds; streams without one are
   * left out.
   */
  readonly nextTokenP50Ms: number;
  readonly nextTokenP95Ms: number;
  /**
   * Time from the fault until the token rate is back at 95% of the previous rate, in milliseconds;
   * the rest of the run if it does not come back.
   */
  readonly goodputBackMs: number;
  /** Hit streams that ended without a complete answer. */
  readonly lost: number;
  /** Positions rebuilt in the whole run, per token generated after the fault. */
  readonly extraWork: number;
  /** Retries in the whole run. */
  readonly retries: number;
}

const FAULT_AT_MS = 15_000;
const FAULT_DURATION_MS = 10_000;
const END_MS = 45_000;

/** Offered load as a multiple of `Simulation.boundPerMs`. */
const LOAD = 0.7;
const WINDOW_MS = 1000;
const SAMPLE_MS = 50;
const RECOVERED_RATIO = 0.95;
const SLOWDOWN_FACTOR = 10;

type Injector = (simulation: Simulation, names: readonly string[]) => void;

const INJECTORS: Readonly<Record<BenchFault, Injector>> = {
  [BenchFault.Crash]: (simulation, names) => {
    for (const name of names) {
      simulation.servers.get(name)?.crash();
      simulation.engine.failStreams(name);
    }
  },
  [BenchFault.Silence]: (simulation, names) => {
    for (const name of names)
      simulation.servers.get(name)?.silence(FAULT_AT_MS + FAULT_DURATION_MS);
  },
  [BenchFault.LinkDegraded]: (simulation, names) => {
    for (const name of names)
      Object.assign(simulation.servers.get(name) ?? {}, { slowdownFactor: SLOWDOWN_FACTOR });
  },
  [BenchFault.DomainCut]: (simulation) => {
    const { domain } = simulation.instances[0];
    simulation.partitionedDomains.add(domain);
    simulation.clock.schedule(FAULT_DURATION_MS, () =>
      simulation.partitionedDomains.delete(domain),
    );
  },
  [BenchFault.InstanceLost]: (simulation) => simulation.removeInstance(simulation.instances[0]),
};

/** Samples the number of generated tokens over time. */
class TokenRateLog {
  private readonly counts: number[] = [];

  public constructor(simulation: Simulation) {
    const sample = () => {
      this.counts.push(simulation.engine.counts.tokens);
      simulation.clock.schedule(SAMPLE_MS, sample);
    };
    simulation.clock.schedule(0, sample);
  }

  /** Tokens generated in the window of `WINDOW_MS` that ends at a time. */
  public rateAt(timeMs: number): number {
    const end = Math.floor(timeMs / SAMPLE_MS);
    return (this.counts[end] ?? 0) - (this.counts[end - WINDOW_MS / SAMPLE_MS] ?? 0);
  }

  /** Mean tokens per window over the five seconds before a time. */
  public meanRateBefore(timeMs: number): number {
    let sum = 0;
    for (let step = 0; step < 5; step += 1) sum += this.rateAt(timeMs - step * WINDOW_MS);
    return sum / 5;
  }
}

function measureTokenRateRecovery(log: TokenRateLog): number {
  const targetRate = log.meanRateBefore(FAULT_AT_MS) * RECOVERED_RATIO;
  for (let at = FAULT_AT_MS + WINDOW_MS; at < END_MS; at += SAMPLE_MS) {
    if (log.rateAt(at) >= targetRate) return at - FAULT_AT_MS;
  }
  return END_MS - FAULT_AT_MS;
}

/**
 * Injects one fault at a load of `LOAD` times the upper bound on answer tokens and measures the
 * streams that it hits.
 * @param serversHit - number of servers, busiest first, that a server fault hits at the same moment
 */
export async function measureRecovery(
  profile: FleetProfile,
  fault: BenchFault,
  seed: number,
  serversHit = 1,
): Promise<RecoveryRow> {
  const simulation = new Simulation({
    fleet: generateFleet(profile, seed),
    policy: Policy.Ours,
    seed,
    load: LOAD,
  });
  const log = new TokenRateLog(simulation);
  let hit: RequestRecord[] = [];
  let tokensBefore = 0;
  simulation.clock.schedule(FAULT_AT_MS, () => {
    const busiest = [...simulation.servers]
      .sort(([, a], [, b]) => b.busyMs - a.busyMs)
      .slice(0, serversHit);
    const names = busiest.map(([name]) => name);
    hit = simulation.markHitRecords(fault === BenchFault.DomainCut ? undefined : names);
    tokensBefore = simulation.engine.counts.tokens;
    INJECTORS[fault](simulation, names);
  });
  await simulation.run(END_MS);
  const nextTokenDelaysMs = hit
    .filter((record) => record.firstTokenAfterFaultAt > 0)
    .map((record) => record.firstTokenAfterFaultAt - FAULT_AT_MS);
  const lost = hit.filter(({ outcome, endedAt }) => endedAt > 0 && outcome !== Outcome.Complete);
  const { counts } = simulation.engine;
  return {
    user: profile,
    fault,
    seed,
    hit: hit.length,
    nextTokenP50Ms: Math.round(percentile(nextTokenDelaysMs, 0.5)),
    nextTokenP95Ms: Math.round(percentile(nextTokenDelaysMs, 0.95)),
    goodputBackMs: measureTokenRateRecovery(log),
    lost: lost.length,
    extraWork:
      Math.round((counts.rebuiltPositions / Math.max(1, counts.tokens - tokensBefore)) * 1000) /
      1000,
    retries: simulation.retries,
  };
}

/** Injects every fault for every fleet profile and seed. */
export async function runRecoveryBench(
  profiles: readonly FleetProfile[],
  seeds: readonly number[],
  serversHit: number,
): Promise<RecoveryRow[]> {
  const rows: RecoveryRow[] = [];
  for (const profile of profiles) {
    for (const fault of Object.values(BenchFault)) {
      for (const seed of seeds) rows.push(await measureRecovery(profile, fault, seed, serversHit));
    }
  }
  return rows;
}
