/** Runs random combinations of faults and reports the checks, the outcomes and any violated invariant. */
import fc from 'fast-check';
import { InvariantKind, type Invariants } from '../../core/Invariant.js';
import { holdsAllRanges } from '../../core/placement/OrderDriver.js';
import { Callers, type CallerCounts } from './Callers.js';
import { scheduleFault } from './Faults.js';
import { Operators } from './Operators.js';
import { SoakEnvironment } from './SoakEnvironment.js';
import { FaultKind, type Fault } from './Types.js';

/** Totals over many runs. */
export interface SoakReport {
  readonly seed: number;
  runs: number;
  /** Number of timers fired. */
  steps: number;
  tickets: number;
  readonly outcomes: CallerCounts;
  readonly faults: Record<string, number>;
  readonly checks: Record<string, number>;
  violations: number;
  /** The violated invariant, with the run and seed that reproduce it; empty if none was violated. */
  failure: string;
}

const LOAD_AND_FAULTS_FROM_MS = 6000;
const LOAD_UNTIL_MS = 26_000;
const FAULTS_UNTIL_MS = 24_000;
const MAX_FAULT_MS = 8000;
const RECOVERY_MS = 40_000;

/**
 * Extra time after `RECOVERY_MS` if callers still wait, in milliseconds: they retry, and each try may
 * take up to the deadline of the pipeline.
 */
const EXTRA_WAIT_MS = 60_000;
const REQUESTS = 60;
const MAX_FAULTS = 7;
const SEED_RANGE = 2 ** 30;

const faultOf = (...kinds: FaultKind[]): fc.Arbitrary<Fault> =>
  fc.record({
    kind: fc.constantFrom(...kinds),
    at: fc.integer({ min: LOAD_AND_FAULTS_FROM_MS, max: FAULTS_UNTIL_MS }),
    durationMs: fc.integer({ min: 200, max: MAX_FAULT_MS }),
    target: fc.nat({ max: 1000 }),
  });

const anyFault = faultOf(...Object.values(FaultKind));

/** Operator actions only, without any failure. */
const anyOperatorAction = faultOf(FaultKind.TicketDrain, FaultKind.OperatorRace);

/** Generates a run: its own seed and its faults. The same fault may occur twice. */
export const runArbitrary = fc.record({
  seed: fc.nat({ max: SEED_RANGE }),
  faults: fc.oneof(
    { weight: 5, arbitrary: fc.array(anyFault, { minLength: 1, maxLength: MAX_FAULTS }) },
    { weight: 1, arbitrary: fc.array(anyOperatorAction, { minLength: 1, maxLength: MAX_FAULTS }) },
  ),
});

export interface GeneratedRun {
  readonly seed: number;
  readonly faults: readonly Fault[];
}

export function emptyReport(seed: number): SoakReport {
  return {
    seed,
    runs: 0,
    steps: 0,
    tickets: 0,
    outcomes: { requests: 0, complete: 0, notRun: 0, unknown: 0, cutOff: 0 },
    faults: {},
    checks: {},
    violations: 0,
    failure: '',
  };
}

function checkEnd(environment: SoakEnvironment, callers: Callers, operators: Operators): void {
  const { invariants, headTicketNumber } = environment;
  operators.checkFilings();
  for (const { host, core } of environment.instances) {
    invariants.check(
      InvariantKind.TicketOrder,
      core.configuration.ticketNumber === headTicketNumber,
      () =>
        `${host.name} holds ticket ${core.configuration.ticketNumber} of ${headTicketNumber} after all faults ended`,
    );
    // A request that never ends has no whole answer, so both checks for open requests have this kind.
    invariants.check(
      InvariantKind.WholeAnswer,
      core.openWorkCount === 0,
      () => `${host.name} still has ${core.openWorkCount} open requests after all faults ended`,
    );
  }
  invariants.check(
    InvariantKind.WholeAnswer,
    callers.openCount === 0,
    () => `callers are still waiting (${callers.openNames}) after all faults ended`,
  );
  for (const { name, ranges, sequences } of environment.servers) {
    invariants.check(
      InvariantKind.OrdersLand,
      sequences.loaded === undefined || holdsAllRanges(sequences.loaded, ranges),
      () => `${name} has not loaded its layers after all faults ended`,
    );
  }
  let repeatedLayerRuns = 0;
  for (const server of environment.servers) repeatedLayerRuns += server.sequences.repeatedLayerRuns;
  invariants.check(
    InvariantKind.LayersOnce,
    repeatedLayerRuns === 0,
    () => `${repeatedLayerRuns} tokens ran layers twice`,
  );
}

function addChecks(report: SoakReport, invariants: Invariants): void {
  for (const [kind, count] of invariants.checks)
    report.checks[kind] = (report.checks[kind] ?? 0) + count;
  report.violations += invariants.violationCount();
}

function addRun(
  report: SoakReport,
  run: GeneratedRun,
  environment: SoakEnvironment,
  callers: Callers,
  operators: Operators,
): void {
  report.runs += 1;
  report.tickets += operators.acceptedFilings;
  for (const { kind } of run.faults) report.faults[kind] = (report.faults[kind] ?? 0) + 1;
  for (const key of Object.keys(callers.counts) as (keyof CallerCounts)[]) {
    report.outcomes[key] += callers.counts[key];
  }
  addChecks(report, environment.invariants);
}

/**
 * Executes one run and adds it to the report.
 * @throws Error on a violated invariant
 */
export async function executeRun(run: GeneratedRun, report: SoakReport): Promise<void> {
  const environment = new SoakEnvironment(run.seed);
  const callers = new Callers(environment);
  const operators = new Operators(environment);
  try {
    await environment.start();
    callers.schedule(REQUESTS, LOAD_AND_FAULTS_FROM_MS, LOAD_UNTIL_MS);
    for (const fault of run.faults) scheduleFault(fault, environment, operators);
    report.steps += await environment.clock.runUntil(LOAD_UNTIL_MS + RECOVERY_MS);
    if (callers.openCount > 0)
      report.steps += await environment.clock.runUntil(LOAD_UNTIL_MS + RECOVERY_MS + EXTRA_WAIT_MS);
    checkEnd(environment, callers, operators);
    const [violation] = environment.violationMessages;
    if (violation !== undefined) throw new Error(violation);
  } finally {
    addRun(report, run, environment, callers, operators);
    for (const { core } of environment.instances) core.dispose();
  }
}

/** Generates runs from a seed and executes them until one fails. */
export async function soak(seed: number, runs: number): Promise<SoakReport> {
  const report = emptyReport(seed);
  const property = fc.asyncProperty(runArbitrary, (run) => executeRun(run, report));
  const details = await fc.check(property, { seed, numRuns: runs, endOnFailure: true });
  if (details.failed) {
    const [run] = details.counterexample ?? [];
    report.failure = `${String(details.errorInstance)} in run ${JSON.stringify(run)}`;
  }
  return report;
}

/** Repeats one run. */
export async function replay(run: GeneratedRun): Promise<SoakReport> {
  const report = emptyReport(run.seed);
  try {
    await executeRun(run, report);
  } catch (error) {
    report.failure = String(error);
  }
  return report;
}
