/**
 * Runs the soak with one seed: real instances, callers and a series of overlapping faults injected from
 * outside.
 */
import { performance } from 'node:perf_hooks';
import { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { RoutePath } from '../platform/SampleConfiguration.js';
import { pause } from '../platform/Ports.js';
import { answerTo } from '../platform/FakeBackendServer.js';
import { Callers, PATIENT_DEADLINE_MS } from './Callers.js';
import { SoakFleet, folderFor } from './SoakFleet.js';
import { GuaranteeChecker, type TimeSpan } from './GuaranteeChecker.js';
import { checkLosses } from './LossChecker.js';
import { checkNotices } from './NoticeChecker.js';
import { SoakFault, type FaultContext } from './FaultContext.js';
import { injectFault } from './FaultInjector.js';
import { SILENCE_INJECTORS } from './SilenceFaults.js';

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
  /** Whether sound servers fall silent and are full, beside planned work in series. */
  readonly hasSilentServers?: boolean;
}

export interface ProcessSoakResult {
  readonly attempts: number;
  readonly served: number;
  /** Number of requests under way at a silent server whose loss no fault would excuse. */
  readonly requestsInSilence: number;
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

const SILENCE_FAULTS = Object.keys(SILENCE_INJECTORS) as SoakFault[];

/** Faults of seeds without options, whose series must stay the same. */
const USUAL_FAULTS = Object.values(SoakFault).filter(
  (fault) => fault !== SoakFault.AskForPause && !SILENCE_FAULTS.includes(fault),
);

/** Faults that excuse nothing: where servers fall silent, the series begins with these alone. */
const CALM_FAULTS = [
  SoakFault.StopInstance,
  SoakFault.ReloadInstance,
  SoakFault.Reconfigure,
  ...SILENCE_FAULTS,
];

/** Share of the series of faults that has `CALM_FAULTS` alone. */
const CALM_SHARE = 0.6;

/** Ranges of the duration of a fault and of the interval until the next one, in milliseconds. */
const FAULT_DURATION_MS = { from: 200, to: 3000 };
const FAULT_INTERVAL_MS = { from: 100, to: 900 };

/** Interval in which the soak checks that its own process goes on, and lateness that counts as a stall, in milliseconds. */
const STALL_CHECK_MS = 20;
const STALL_MS = 100;

/** Records the stalls of this process until the returned function is called. */
function recordStalls(stalls: TimeSpan[]): () => void {
  let checkedAt = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    if (now - checkedAt > STALL_MS) stalls.push({ at: checkedAt, endedAt: now });
    checkedAt = now;
  }, STALL_CHECK_MS);
  return () => clearInterval(timer);
}

async function waitUntilServing(
  callers: Callers,
  fleet: SoakFleet,
  timeoutMs: number,
): Promise<string[]> {
  const waiting = new Set(fleet.routers);
  const endsAt = performance.now() + timeoutMs;
  while (waiting.size > 0 && performance.now() < endsAt) {
    for (const router of waiting) {
      const stream = await callers.probe(router, RoutePath.Stream);
      const booking = await callers.probe(router, RoutePath.Book);
      if (stream.status === 200 && stream.isComplete && booking.status === 200)
        waiting.delete(router);
    }
    await pause(100);
  }
  return [...waiting].map(
    ({ name }) => `${name} did not serve a stream and a booking within ${timeoutMs} ms`,
  );
}

/** Returns the time in which nothing excuses a lost request, in milliseconds. */
function calmTime({ faultsMs, hasSilentServers }: SoakOptions): number {
  return hasSilentServers === true ? faultsMs * CALM_SHARE : 0;
}

async function injectFaults(context: FaultContext, options: SoakOptions): Promise<string[]> {
  const { random } = context;
  const { faultsMs, hasServerNotices = false, hasSilentServers = false } = options;
  const calmMs = calmTime(options);
  const faults = [
    ...USUAL_FAULTS,
    ...(hasServerNotices ? [SoakFault.AskForPause] : []),
    ...(hasSilentServers ? SILENCE_FAULTS : []),
  ];
  const injected: string[] = [];
  const pending: Promise<void>[] = [];
  const startedAt = performance.now();
  while (performance.now() - startedAt < faultsMs) {
    const isCalm = performance.now() - startedAt < calmMs;
    const next = random.pick(isCalm ? CALM_FAULTS : faults);
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
  const { hasSilentServers = false } = options;
  const timeoutMs = hasSilentServers ? PATIENT_DEADLINE_MS : undefined;
  const fleet = new SoakFleet(folderFor(options.seed), timeoutMs);
  await fleet.start(options.instances);
  // Callers draw at times that vary, and would change the series of faults.
  const callersRandom = hasSilentServers ? new SeededRandom(options.seed) : random;
  const callers = new Callers(fleet.routers, callersRandom, hasSilentServers);
  const violations: string[] = [];
  const context: FaultContext = {
    fleet,
    callers,
    random,
    violations,
    revocations: [],
    leavingServers: [],
    stops: [],
    silences: [],
    disruptions: [],
    linkDisruptions: [],
    hasServerNotices: options.hasServerNotices === true,
  };
  let faults: string[] = [];
  const stalls: TimeSpan[] = [];
  const stopRecording = recordStalls(stalls);
  try {
    violations.push(...(await waitUntilServing(callers, fleet, READY_TIMEOUT_MS)));
    callers.start(options.callers);
    if (options.hasCrashingPart === true) {
      setTimeout(() => {
        callers.crashingPart = CRASHING_PART;
        fleet.setCrashingPart(CRASHING_PART);
      }, calmTime(options));
    }
    faults = await injectFaults(context, options);
    await fleet.restore();
    violations.push(...(await waitUntilServing(callers, fleet, RECOVERY_TIMEOUT_MS)));
    await callers.stop();
  } finally {
    stopRecording();
    await fleet.dispose();
  }
  await pause(CLOSE_DELAY_MS);
  if (fleet.openSockets > 0)
    violations.push(`${fleet.openSockets} sockets of the links are still open`);
  const checker = new GuaranteeChecker(answerTo);
  const servers = fleet.servers.map(({ server }) => server);
  const { attempts } = callers;
  checker.checkAttempts(attempts, servers, (path) => path !== (RoutePath.Book as string));
  checker.checkRoutes(servers);
  checker.checkKeys(attempts, context.revocations);
  checker.checkLeaving(context.leavingServers);
  checker.checkCrashingPart(CRASHING_PART, attempts, servers, context.disruptions);
  const { disruptions, linkDisruptions, silences } = context;
  const { interruptions } = fleet;
  // Crashes because of the crashing part cut off answers for as long as it comes. A long stream may outlast the
  // grace of a stop; the check of losses judges that.
  if (!hasSilentServers && options.hasCrashingPart !== true)
    checker.checkStops(attempts, context.stops, interruptions);
  const losses = checkLosses({
    attempts,
    servers,
    silences,
    disruptions,
    interruptions,
    stalls,
  });
  violations.push(...losses.violations);
  if (hasSilentServers && losses.requestsInSilence === 0)
    violations.push('no request was under way while a server was silent');
  violations.push(...checkNotices({ attempts, servers, disruptions, linkDisruptions }));
  return {
    attempts: attempts.length,
    served: attempts.filter(({ status, isComplete }) => status === 200 && isComplete).length,
    requestsInSilence: losses.requestsInSilence,
    faults,
    violations: [...violations, ...checker.violations],
  };
}
