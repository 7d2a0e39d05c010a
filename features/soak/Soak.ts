/** Plays one seed: real instances, callers and a series of overlapping faults from outside. */
import { performance } from 'node:perf_hooks';
import { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { RoutePath } from '../platform/SampleConfiguration.js';
import { pause } from '../platform/Ports.js';
import { answerTo, EVENTS_PER_STREAM } from '../platform/FakeBackendServer.js';
import { Callers } from './Callers.js';
import { Fleet, folderFor } from './Fleet.js';
import { GuaranteeChecker } from './GuaranteeChecker.js';
import { injectFault, SoakFault, type FaultContext } from './FaultInjector.js';

export interface SoakTerms {
  readonly seed: number;
  readonly instances: number;
  readonly callers: number;
  /** Time during which faults begin, in milliseconds. */
  readonly faultsMs: number;
}

export interface SoakResult {
  readonly attempts: number;
  readonly served: number;
  readonly troubles: readonly string[];
  readonly violations: readonly string[];
}

/** Time until fresh instances serve, in milliseconds. */
const READY_MS = 10_000;

/** Instances serve again this long after the last fault, in milliseconds: the shorter of the users' bounds. */
const RECOVERY_MS = 12_000;

/** Time until the handles of closed sockets are gone, in milliseconds. */
const CLOSE_MS = 500;

const TROUBLES = Object.values(SoakFault);

/** Lengths of a trouble and of the pause until the next one, in milliseconds. */
const FOR_MS = { from: 200, to: 3000 };
const NEXT_MS = { from: 100, to: 900 };

async function serves(callers: Callers, fleet: Fleet, limitMs: number): Promise<string[]> {
  const waiting = new Set(fleet.routers);
  const endsAt = performance.now() + limitMs;
  while (waiting.size > 0 && performance.now() < endsAt) {
    for (const router of waiting) {
      const stream = await callers.ask(router, RoutePath.Stream);
      const booked = await callers.ask(router, RoutePath.Book);
      if (stream.status === 200 && stream.isWhole && booked.status === 200) waiting.delete(router);
    }
    await pause(100);
  }
  return [...waiting].map(({ name }) => `${name} does not serve after ${limitMs} ms`);
}

async function trouble(scene: FaultContext, faultsMs: number): Promise<string[]> {
  const { random } = scene;
  const begun: string[] = [];
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  while (performance.now() - startedAt < faultsMs) {
    const next = random.pick(TROUBLES);
    const forMs = random.between(FOR_MS.from, FOR_MS.to);
    begun.push(`${Math.round(performance.now() - startedAt)} ${next} (${Math.round(forMs)} ms)`);
    open.push(injectFault(next, scene, forMs));
    await pause(random.between(NEXT_MS.from, NEXT_MS.to));
  }
  await Promise.all(open);
  return begun;
}

/** Plays a seed. */
export async function soak(terms: SoakTerms): Promise<SoakResult> {
  const random = new SeededRandom(terms.seed);
  const fleet = new Fleet(folderFor(terms.seed));
  await fleet.start(terms.instances);
  const callers = new Callers(fleet.routers, random);
  const violations: string[] = [];
  const scene: FaultContext = {
    fleet,
    callers,
    random,
    violations,
    revocations: [],
    departures: [],
    stops: [],
    breaks: [],
  };
  let troubles: string[] = [];
  try {
    violations.push(...(await serves(callers, fleet, READY_MS)));
    callers.start(terms.callers);
    troubles = await trouble(scene, terms.faultsMs);
    await fleet.heal();
    violations.push(...(await serves(callers, fleet, RECOVERY_MS)));
    await callers.stop();
  } finally {
    await fleet.dispose();
  }
  await pause(CLOSE_MS);
  if (fleet.openSockets > 0) violations.push(`${fleet.openSockets} sockets of the links stay open`);
  const promises = new GuaranteeChecker(EVENTS_PER_STREAM, answerTo);
  const servers = fleet.servers.map(({ server }) => server);
  const { attempts } = callers;
  promises.checkAttempts(attempts, servers, (path) => path !== (RoutePath.Book as string));
  promises.checkRoutes(servers);
  promises.checkKeys(attempts, scene.revocations);
  promises.checkLeaving(scene.departures);
  promises.checkStops(attempts, scene.stops, scene.breaks);
  return {
    attempts: attempts.length,
    served: attempts.filter(({ status, isWhole }) => status === 200 && isWhole).length,
    troubles,
    violations: [...violations, ...promises.violations],
  };
}
