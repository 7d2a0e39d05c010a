/**
 * `bench throughput`: goodput as a fraction of the upper bound on answer tokens
 * (`Simulation.boundPerMs`), by policy and load.
 */
import { Outcome } from '../src/core/Outcome.js';
import { DEADLINE_MS, generateFleet, FIRST_TOKEN_MS, TOKEN_GAP_MS, FleetProfile } from './Fleet.js';
import { percentile } from './Percentile.js';
import { Policy } from './Policies.js';
import { Simulation } from './Simulation.js';

/** Result of one run, measured after the warm-up unless the field says otherwise. */
export interface ThroughputRow {
  readonly user: FleetProfile;
  readonly policy: Policy;
  readonly load: number;
  readonly seed: number;
  /** Tokens of answers that were complete by the deadline, as a fraction of the bound. */
  readonly goodput: number;
  /** Tokens generated, as a fraction of the bound. */
  readonly tokens: number;
  /** Fraction of the ended requests whose answer was complete by the deadline. */
  readonly inTime: number;
  /** Fraction of the ended requests without a complete answer, whatever the outcome. */
  readonly refused: number;
  readonly firstTokenP95Ms: number;
  /** 95th percentile over the answers of the mean gap between tokens, in milliseconds. */
  readonly tokenGapP95Ms: number;
  /** Fraction of the answers whose first token and mean gap were within the target times. */
  readonly withinTargets: number;
  /** Mean fraction of the time in which servers were working, over the whole run with its warm-up. */
  readonly busy: number;
}

const WARM_UP_MS = 18_000;
const MEASURE_MS = 25_000;

const roundToTenths = (value: number): number => Math.round(value * 10) / 10;

const roundToThousandths = (value: number): number => Math.round(value * 1000) / 1000;

/** Runs one fleet under one policy and load. */
export async function measureThroughput(
  profile: FleetProfile,
  policy: Policy,
  load: number,
  seed: number,
): Promise<ThroughputRow> {
  const simulation = new Simulation({ fleet: generateFleet(profile, seed), policy, seed, load });
  const from = WARM_UP_MS;
  const to = WARM_UP_MS + MEASURE_MS;
  let tokensBefore = 0;
  simulation.clock.schedule(from, () => {
    tokensBefore = simulation.engine.counts.tokens;
  });
  await simulation.run(to);
  const ended = simulation.records.filter(({ endedAt }) => endedAt >= from && endedAt < to);
  const answers = ended.filter(({ outcome }) => outcome === Outcome.Complete);
  const inTime = answers.filter(({ arrivedAt, endedAt }) => endedAt <= arrivedAt + DEADLINE_MS);
  const tokensOf = (records: typeof answers) =>
    records.reduce((sum, { tokens }) => sum + tokens, 0);
  const boundTokens = simulation.boundPerMs * MEASURE_MS;
  const meanGapsMs = answers.map(
    (item) => (item.lastTokenAt - item.firstTokenAt) / Math.max(1, item.tokens - 1),
  );
  const firstTokenDelaysMs = answers.map(({ firstTokenAt, arrivedAt }) => firstTokenAt - arrivedAt);
  const answersWithinTargets = answers.filter(
    (_, index) => firstTokenDelaysMs[index] <= FIRST_TOKEN_MS && meanGapsMs[index] <= TOKEN_GAP_MS,
  );
  let busy = 0;
  for (const server of simulation.servers.values())
    busy += server.busyTotalMs / (to * simulation.servers.size);
  return {
    user: profile,
    policy,
    load,
    seed,
    goodput: roundToThousandths(tokensOf(inTime) / boundTokens),
    tokens: roundToThousandths((simulation.engine.counts.tokens - tokensBefore) / boundTokens),
    inTime: roundToThousandths(inTime.length / Math.max(1, ended.length)),
    refused: roundToThousandths((ended.length - answers.length) / Math.max(1, ended.length)),
    firstTokenP95Ms: roundToTenths(percentile(firstTokenDelaysMs, 0.95)),
    tokenGapP95Ms: roundToTenths(percentile(meanGapsMs, 0.95)),
    withinTargets: roundToThousandths(answersWithinTargets.length / Math.max(1, answers.length)),
    busy: roundToThousandths(busy),
  };
}

/** Values of each parameter; a bench run measures every combination. */
export interface ThroughputPlan {
  readonly profiles: readonly FleetProfile[];
  readonly policies: readonly Policy[];
  readonly loads: readonly number[];
  readonly seeds: readonly number[];
}

export const FULL_PLAN: ThroughputPlan = {
  profiles: Object.values(FleetProfile),
  policies: Object.values(Policy),
  loads: [0.5, 0.8, 1, 1.5, 2],
  seeds: [1, 2, 3],
};

/** Runs a plan, with the same seeds for every policy. */
export async function runThroughputBench(plan: ThroughputPlan): Promise<ThroughputRow[]> {
  const rows: ThroughputRow[] = [];
  for (const profile of plan.profiles) {
    for (const seed of plan.seeds) {
      for (const load of plan.loads) {
        for (const policy of plan.policies)
          rows.push(await measureThroughput(profile, policy, load, seed));
      }
    }
  }
  return rows;
}
