/** Injects faults from outside the processes and ends each of them. */
import type { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { configuration } from '../platform/SampleConfiguration.js';
import { pause } from '../platform/Ports.js';
import { AnswerStyle } from '../platform/FakeBackendServer.js';
import { StoreFault } from '../platform/FakeStore.js';
import type { Callers } from './Callers.js';
import { LinkFault } from './FaultProxy.js';
import type { Fleet } from './Fleet.js';
import {
  RESTART_AFTER_LEAVING_MS,
  type Departure,
  type Revocation,
  type TimeSpan,
  type Stop,
} from './GuaranteeChecker.js';
import { DRAIN_MS, STOP_GRACE_S } from './RouterProcess.js';

/** Targets of the faults, and what the faults record for the checks. */
export interface FaultContext {
  readonly fleet: Fleet;
  readonly callers: Callers;
  readonly random: SeededRandom;
  readonly revocations: Revocation[];
  readonly departures: Departure[];
  readonly stops: Stop[];
  /** Times of the faults that interrupt answers at the servers' side. */
  readonly interruptions: TimeSpan[];
  readonly violations: string[];
}

export enum SoakFault {
  KillInstance = 'an instance is killed',
  KillAll = 'all instances are killed',
  StopInstance = 'an instance is stopped',
  PauseInstance = 'an instance stands still',
  ReloadInstance = 'an instance reads its settings again',
  CrashServer = 'a server crashes',
  DrainServer = 'a server leaves',
  CorruptServerAnswers = 'a server spoils its answers',
  DegradeServerLink = 'the link to a server is harmed',
  ResetServerLink = 'connections to a server are reset',
  FailStore = 'the store fails',
  DegradeStoreLink = 'an instance is cut off from the store',
  Reconfigure = 'the configuration changes',
}

const ANSWER_STYLES = [
  AnswerStyle.OfAnotherRequest,
  AnswerStyle.Rejected,
  AnswerStyle.Truncated,
  AnswerStyle.UnframedReset,
];

const STORE_FAULTS = [
  StoreFault.Busy,
  StoreFault.Silent,
  StoreFault.LosesAnswers,
  StoreFault.ForgetsHistory,
];

const LINK_FAULTS = [LinkFault.Delayed, LinkFault.Silent, LinkFault.OneWay, LinkFault.Refused];

/** Time that a stop may take beyond its grace period, in milliseconds: the machine may be busy. */
const STOP_SLACK_MS = 1500;

type Injector = (context: FaultContext, durationMs: number) => Promise<void> | void;

async function killInstance({ fleet, random }: FaultContext, durationMs: number): Promise<void> {
  const router = random.pick(fleet.routers);
  await router.kill();
  await pause(durationMs);
  if (!router.isRunning) router.start();
}

async function stopInstance({ fleet, random, stops, violations }: FaultContext): Promise<void> {
  const router = random.pick(fleet.routers);
  if (!router.isRunning || router.isPaused) return;
  const at = performance.now();
  router.signal('SIGTERM');
  const code = await router.waitForExit(STOP_GRACE_S * 1000 + STOP_SLACK_MS);
  if (code === undefined) {
    if (!router.isPaused) violations.push(`${router.name} did not exit within its grace period`);
    await router.kill();
  } else if (code === 0) {
    stops.push({ instance: router.name, at, endedAt: performance.now() });
  }
  if (!router.isRunning) router.start();
}

async function drainServer({ fleet, random, departures }: FaultContext): Promise<void> {
  const entry = random.pick(fleet.servers);
  if (!entry.isUp || entry.isLeaving) return;
  entry.isLeaving = true;
  // The drain bound holds only for instances that can learn of it.
  const isStoreReachable =
    fleet.store.fault === StoreFault.None &&
    fleet.storeLinks.every(({ fault }) => fault === LinkFault.None);
  entry.server.announce('draining');
  const at = performance.now();
  await pause(RESTART_AFTER_LEAVING_MS);
  if (isStoreReachable && fleet.store.fault === StoreFault.None)
    departures.push({ server: entry.server, at, drainMs: DRAIN_MS });
  fleet.crash(entry);
  fleet.store.remove('servers', entry.server.id);
  await pause(200);
  await fleet.restart(entry);
  entry.isLeaving = false;
}

const INJECTORS: Readonly<Record<SoakFault, Injector>> = {
  [SoakFault.KillInstance]: killInstance,
  [SoakFault.KillAll]: async ({ fleet }, durationMs) => {
    await Promise.all(fleet.routers.map((router) => router.kill()));
    await pause(durationMs / 4);
    for (const router of fleet.routers) if (!router.isRunning) router.start();
  },
  [SoakFault.StopInstance]: stopInstance,
  [SoakFault.PauseInstance]: async ({ fleet, random }, durationMs) => {
    const router = random.pick(fleet.routers);
    router.signal('SIGSTOP');
    await pause(durationMs);
    router.signal('SIGCONT');
  },
  [SoakFault.ReloadInstance]: ({ fleet, random }) => random.pick(fleet.routers).signal('SIGHUP'),
  [SoakFault.CrashServer]: async ({ fleet, random }, durationMs) => {
    const entry = random.pick(fleet.servers);
    if (!entry.isUp || entry.isLeaving) return;
    fleet.crash(entry);
    await pause(durationMs);
    if (!entry.isUp) await fleet.restart(entry);
  },
  [SoakFault.DrainServer]: drainServer,
  [SoakFault.CorruptServerAnswers]: async ({ fleet, random }, durationMs) => {
    const { server } = random.pick(fleet.servers);
    server.style = random.pick(ANSWER_STYLES);
    await pause(durationMs);
    server.style = AnswerStyle.Whole;
  },
  [SoakFault.DegradeServerLink]: async ({ fleet, random }, durationMs) => {
    const { link } = random.pick(fleet.servers);
    link.fault = random.pick(LINK_FAULTS);
    await pause(durationMs);
    link.fault = LinkFault.None;
  },
  [SoakFault.ResetServerLink]: ({ fleet, random }) => random.pick(fleet.servers).link.reset(),
  [SoakFault.FailStore]: async ({ fleet, random }, durationMs) => {
    fleet.store.fault = random.pick(STORE_FAULTS);
    await pause(durationMs);
    fleet.store.fault = StoreFault.None;
  },
  [SoakFault.DegradeStoreLink]: async ({ fleet, random }, durationMs) => {
    const link = random.pick(fleet.storeLinks);
    link.fault = random.pick(LINK_FAULTS);
    await pause(durationMs);
    link.fault = LinkFault.None;
  },
  [SoakFault.Reconfigure]: ({ fleet, callers, revocations }) => {
    fleet.configurationVersion += 1;
    const key = `key-${fleet.configurationVersion}`;
    const revokedKey = callers.keys.at(-1) as string;
    fleet.store.put('op', 'config', configuration(fleet.configurationVersion, key));
    revocations.push({ key: revokedKey, at: performance.now() });
    callers.keys = [revokedKey, key];
  },
};

const INTERRUPTING_FAULTS: ReadonlySet<SoakFault> = new Set([
  SoakFault.CrashServer,
  SoakFault.DrainServer,
  SoakFault.CorruptServerAnswers,
  SoakFault.DegradeServerLink,
  SoakFault.ResetServerLink,
]);

/** Injects one fault and waits until it has ended. */
export async function injectFault(
  soakFault: SoakFault,
  context: FaultContext,
  durationMs: number,
): Promise<void> {
  const span = { at: performance.now(), endedAt: Infinity };
  if (INTERRUPTING_FAULTS.has(soakFault)) context.interruptions.push(span);
  await INJECTORS[soakFault](context, durationMs);
  span.endedAt = performance.now();
}
