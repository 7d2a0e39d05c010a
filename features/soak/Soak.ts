/**
 * Runs the soak with one seed: real instances, callers and a series of overlapping faults injected from
 * outside.
 */
import { performance } from 'node:perf_hooks';
import { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { RoutePath } from '../platform/SampleConfiguration.js';
import { pause } from '../platform/Ports.js';
import { answerTo, EVENTS_PER_STREAM } from '../platform/FakeBackendServer.js';
import { Callers } from './Callers.js';
import { SoakFleet, folderFor } from './SoakFleet.js';
import { GuaranteeChecker } from './GuaranteeChecker.js';
import { checkNotices } from './NoticeChecker.js';
import { injectFault, SoakFault, type FaultContext } from './FaultInjector.js';

export interface SoakOptions {
  readonly seed: number;
  readonly instances: number;
  readonly callers: number;
  /** Time during which faults begin, in milliseconds. */
  readonly faultsMs: number;
  /** Whether some requests have a part under which the engine servers crash. */
  readonly hasCrashingPart?: boolean;
  /** Whether servers say in their answers that they are leaving, and ask for pauses. */
  readonly hasServerNotices?: boolean;
}

export interface ProcessSoakResult {
  readonly attempts: number;
  readonly served: number;
  readonly faults: readonly string[];
  readonly violations: readonly string[];
}

/** Time within which new instances must serve, in milliseconds. */
const READY_TIMEOUT_MS = 10_000;

/**
 * Time within which instances must serve again after the last fault, in milliseconds: the shorter
 * of the recovery bounds that the router's two users set.
 */
const RECOVERY_TIMEOUT_MS = 12_000;

/** Time until the handles of closed sockets are released, in milliseconds. */
const CLOSE_DELAY_MS = 500;

const CRASHING_PART = 'crashing';

const ALL_FAULTS = Object.values(SoakFault);

/** Faults of seeds without servers' notices, whose series must stay the same. */
const USUAL_FAULTS = ALL_FAULTS.filter((fault) => fault !== SoakFault.AskForPause);

/** Ranges of the duration of a fault and of the interval until the next one, in milliseconds. */
const FAULT_DURATION_MS = { from: 200, to: 3000 };
const FAULT_INTERVAL_MS = { from: 100, to: 900 };

async function waitUntilServing(
  callers: Callers,
  fleet: SoakFleet,
  timeoutMs: number,
): Promise<string[]> {
  const waiting = new Set(fleet.routers);
  const endsAt = performance.now() + timeoutMs;
  while (waiting.size > 0 && performance.now() < endsAt) {
    for (const router of waiting) {
      const stream = await callers.send(router, RoutePath.Stream);
      const booking = await callers.send(router, RoutePath.Book);
      if (stream.status === 200 && stream.isComplete && booking.status === 200)
        waiting.delete(router);
    }
    await pause(100);
  }
  return [...waiting].map(
    ({ name }) => `${name} did not serve a stream and a booking within ${timeoutMs} ms`,
  );
}

async function injectFaults(context: FaultContext, faultsMs: number): Promise<string[]> {
  const { random } = context;
  const injected: string[] = [];
  const pending: Promise<void>[] = [];
  const startedAt = performance.now();
  while (performance.now() - startedAt < faultsMs) {
    const next = random.pick(context.hasServerNotices ? ALL_FAULTS : USUAL_FAULTS);
    const durationMs = random.between(FAULT_DURATION_MS.from, FAULT_DURATION_MS.to);
    injected.push(
      `${Math.round(performance.now() - startedAt)} ${next} (${Math.round(durationMs)} ms)`,
    );
    pending.push(injectFault(next, context, durationMs));
    await pause(random.between(FAULT_INTERVAL_MS.from, FAULT_INTERVAL_MS.to));
  }
  await Promise.all(pending);
  return injected;
}

/** Runs the soak with one seed and checks the guarantees afterwards. */
export async function soakProcesses(options: SoakOptions): Promise<ProcessSoakResult> {
  const random = new SeededRandom(options.seed);
  const fleet = new SoakFleet(folderFor(options.seed));
  await fleet.start(options.instances);
  const callers = new Callers(fleet.routers, random);
  const violations: string[] = [];
  const context: FaultContext = {
    fleet,
    callers,
    random,
    violations,
    revocations: [],
    leavingServers: [],
    stops: [],
    interruptions: [],
    disruptions: [],
    linkDisruptions: [],
    hasServerNotices: options.hasServerNotices === true,
  };
  let faults: string[] = [];
  try {
    violations.push(...(await waitUntilServing(callers, fleet, READY_TIMEOUT_MS)));
    callers.start(options.callers);
    if (options.hasCrashingPart === true) {
      // Its crashes cut answers off for as long as it comes.
      context.interruptions.push({ at: performance.now(), endedAt: Infinity });
      callers.crashingPart = CRASHING_PART;
      fleet.setCrashingPart(CRASHING_PART);
    }
    faults = await injectFaults(context, options.faultsMs);
    await fleet.restore();
    violations.push(...(await waitUntilServing(callers, fleet, RECOVERY_TIMEOUT_MS)));
    await callers.stop();
  } finally {
    await fleet.dispose();
  }
  await pause(CLOSE_DELAY_MS);
  if (fleet.openSockets > 0)
    violations.push(`${fleet.openSockets} sockets of the links are still open`);
  const checker = new GuaranteeChecker(EVENTS_PER_STREAM, answerTo);
  const servers = fleet.servers.map(({ server }) => server);
  const { attempts } = callers;
  checker.checkAttempts(attempts, servers, (path) => path !== (RoutePath.Book as string));
  checker.checkRoutes(servers);
  checker.checkKeys(attempts, context.revocations);
  checker.checkLeaving(context.leavingServers);
  checker.checkCrashingPart(CRASHING_PART, attempts, servers, context.disruptions);
  checker.checkStops(attempts, context.stops, context.interruptions);
  const { disruptions, linkDisruptions } = context;
  violations.push(...checkNotices({ attempts, servers, disruptions, linkDisruptions }));
  return {
    attempts: attempts.length,
    served: attempts.filter(({ status, isComplete }) => status === 200 && isComplete).length,
    faults,
    violations: [...violations, ...checker.violations],
  };
}
