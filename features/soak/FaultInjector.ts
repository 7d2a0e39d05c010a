/** Faults from outside the processes, each with its end. */
import type { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { configuration } from '../platform/SampleConfiguration.js';
import { pause } from '../platform/Ports.js';
import { AnswerStyle } from '../platform/FakeBackendServer.js';
import { StoreFault } from '../platform/FakeStore.js';
import type { Callers } from './Callers.js';
import { LinkFault } from './FaultProxy.js';
import type { Fleet } from './Fleet.js';
import {
  LEAVING_MS,
  type Departure,
  type Revocation,
  type Span,
  type Stop,
} from './GuaranteeChecker.js';
import { DRAIN_MS, STOP_GRACE_S } from './RouterProcess.js';

/** Where troubles strike, and what they leave to be checked. */
export interface FaultContext {
  readonly fleet: Fleet;
  readonly callers: Callers;
  readonly random: SeededRandom;
  readonly revocations: Revocation[];
  readonly departures: Departure[];
  readonly stops: Stop[];
  /** Times of faults that break answers off at the servers' side. */
  readonly breaks: Span[];
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
  SpoilServer = 'a server spoils its answers',
  HarmServerLink = 'the link to a server is harmed',
  ResetServerLink = 'connections to a server are reset',
  FailStore = 'the store fails',
  HarmStoreLink = 'an instance is cut off from the store',
  Reconfigure = 'the configuration changes',
}

const STYLES = [
  AnswerStyle.Foreign,
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

/** A stop may take this long beyond its time, in milliseconds: the machine may be busy. */
const STOP_SLACK_MS = 1500;

type Act = (scene: FaultContext, forMs: number) => Promise<void> | void;

async function killInstance({ fleet, random }: FaultContext, forMs: number): Promise<void> {
  const router = random.pick(fleet.routers);
  await router.kill();
  await pause(forMs);
  if (!router.isRunning) router.start();
}

async function stopInstance({ fleet, random, stops, violations }: FaultContext): Promise<void> {
  const router = random.pick(fleet.routers);
  if (!router.isRunning || router.isPaused) return;
  const at = performance.now();
  router.signal('SIGTERM');
  const code = await router.ended(STOP_GRACE_S * 1000 + STOP_SLACK_MS);
  if (code === undefined) {
    if (!router.isPaused) violations.push(`${router.name} did not end in its time`);
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
  // The bound holds for instances that can hear of it.
  const isHeard =
    fleet.store.fault === StoreFault.None &&
    fleet.storeLinks.every(({ fault }) => fault === LinkFault.None);
  entry.server.announce('draining');
  const at = performance.now();
  await pause(LEAVING_MS);
  if (isHeard && fleet.store.fault === StoreFault.None)
    departures.push({ server: entry.server, at, drainMs: DRAIN_MS });
  fleet.crash(entry);
  fleet.store.remove('servers', entry.server.id);
  await pause(200);
  await fleet.restart(entry);
  entry.isLeaving = false;
}

const ACTS: Readonly<Record<SoakFault, Act>> = {
  [SoakFault.KillInstance]: killInstance,
  [SoakFault.KillAll]: async ({ fleet }, forMs) => {
    await Promise.all(fleet.routers.map((router) => router.kill()));
    await pause(forMs / 4);
    for (const router of fleet.routers) if (!router.isRunning) router.start();
  },
  [SoakFault.StopInstance]: stopInstance,
  [SoakFault.PauseInstance]: async ({ fleet, random }, forMs) => {
    const router = random.pick(fleet.routers);
    router.signal('SIGSTOP');
    await pause(forMs);
    router.signal('SIGCONT');
  },
  [SoakFault.ReloadInstance]: ({ fleet, random }) => random.pick(fleet.routers).signal('SIGHUP'),
  [SoakFault.CrashServer]: async ({ fleet, random }, forMs) => {
    const entry = random.pick(fleet.servers);
    if (!entry.isUp || entry.isLeaving) return;
    fleet.crash(entry);
    await pause(forMs);
    if (!entry.isUp) await fleet.restart(entry);
  },
  [SoakFault.DrainServer]: drainServer,
  [SoakFault.SpoilServer]: async ({ fleet, random }, forMs) => {
    const { server } = random.pick(fleet.servers);
    server.style = random.pick(STYLES);
    await pause(forMs);
    server.style = AnswerStyle.Whole;
  },
  [SoakFault.HarmServerLink]: async ({ fleet, random }, forMs) => {
    const { link } = random.pick(fleet.servers);
    link.fault = random.pick(LINK_FAULTS);
    await pause(forMs);
    link.fault = LinkFault.None;
  },
  [SoakFault.ResetServerLink]: ({ fleet, random }) => random.pick(fleet.servers).link.reset(),
  [SoakFault.FailStore]: async ({ fleet, random }, forMs) => {
    fleet.store.fault = random.pick(STORE_FAULTS);
    await pause(forMs);
    fleet.store.fault = StoreFault.None;
  },
  [SoakFault.HarmStoreLink]: async ({ fleet, random }, forMs) => {
    const link = random.pick(fleet.storeLinks);
    link.fault = random.pick(LINK_FAULTS);
    await pause(forMs);
    link.fault = LinkFault.None;
  },
  [SoakFault.Reconfigure]: ({ fleet, callers, revocations }) => {
    fleet.version += 1;
    const key = `key-${fleet.version}`;
    const taken = callers.keys.at(-1) as string;
    fleet.store.put('op', 'config', configuration(fleet.version, key));
    revocations.push({ key: taken, at: performance.now() });
    callers.keys = [taken, key];
  },
};

const BREAKING: ReadonlySet<SoakFault> = new Set([
  SoakFault.CrashServer,
  SoakFault.DrainServer,
  SoakFault.SpoilServer,
  SoakFault.HarmServerLink,
  SoakFault.ResetServerLink,
]);

/** Lets one trouble strike and end. */
export async function injectFault(
  trouble: SoakFault,
  scene: FaultContext,
  forMs: number,
): Promise<void> {
  const span = { at: performance.now(), endedAt: Infinity };
  if (BREAKING.has(trouble)) scene.breaks.push(span);
  await ACTS[trouble](scene, forMs);
  span.endedAt = performance.now();
}
