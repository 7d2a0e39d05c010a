/** Injects faults from outside the processes and ends each of them. */
import type { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { configuration } from '../platform/SampleConfiguration.js';
import { pause } from '../platform/Ports.js';
import { AnswerStyle } from '../platform/FakeBackendServer.js';
import { StoreFault } from '../platform/FakeStore.js';
import type { Callers } from './Callers.js';
import { LinkFault } from './FaultProxy.js';
import type { LinkDisruption } from './NoticeChecker.js';
import type { SoakFleet } from './SoakFleet.js';
import {
  RESTART_AFTER_LEAVING_MS,
  type Disruption,
  type LeavingServer,
  type Revocation,
  type TimeSpan,
  type Stop,
} from './GuaranteeChecker.js';
import { DRAIN_MS, STOP_GRACE_S } from './RouterProcess.js';

/** Targets of the faults, and what the faults record for the checks. */
export interface FaultContext {
  readonly fleet: SoakFleet;
  readonly callers: Callers;
  readonly random: SeededRandom;
  readonly revocations: Revocation[];
  readonly leavingServers: LeavingServer[];
  readonly stops: Stop[];
  /** Time spans of the faults that may cut off answers of servers. */
  readonly interruptions: TimeSpan[];
  readonly disruptions: Disruption[];
  readonly linkDisruptions: LinkDisruption[];
  /** Whether servers say in their answers that they are leaving. */
  readonly hasServerNotices: boolean;
  readonly violations: string[];
}

export enum SoakFault {
  KillInstance = 'an instance is killed',
  KillAll = 'all instances are killed',
  StopInstance = 'an instance is stopped',
  /** Sends SIGSTOP, and SIGCONT at the end. */
  PauseInstance = 'an instance is paused',
  /** Sends SIGHUP. */
  ReloadInstance = 'an instance reads its settings again',
  CrashServer = 'a server crashes',
  /** A server announces that it is leaving, stops after `RESTART_AFTER_LEAVING_MS` and starts again. */
  DrainServer = 'a server leaves',
  /** A server answers in one of `ANSWER_STYLES`. */
  CorruptServerAnswers = 'a server corrupts its answers',
  /** The link to a server gets one of `LINK_FAULTS`. */
  DegradeServerLink = 'the link to a server is degraded',
  ResetServerLink = 'connections to a server are reset',
  FailStore = 'the store fails',
  /** The link of an instance to the store gets one of `LINK_FAULTS`; `Delayed` does not cut it off. */
  DegradeStoreLink = 'an instance is cut off from the store',
  /** A new configuration replaces the key of the callers; the previous key is revoked. */
  Reconfigure = 'the configuration changes',
  /** A server turns requests away with 503 and Retry-After for `REFUSING_MS`. */
  AskForPause = 'a server asks for a pause',
}

/** Time for which a server turns requests away when it asks for a pause, in milliseconds. */
const REFUSING_MS = 300;

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
  StoreFault.LosesHistory,
];

const LINK_FAULTS = [LinkFault.Delayed, LinkFault.Silent, LinkFault.OneWay, LinkFault.Refused];

/** Extra time allowed for a stop on a busy machine, in milliseconds. */
const STOP_SLACK_MS = 1500;

type Injector = (context: FaultContext, durationMs: number) => Promise<void> | void;

/** Records a disruption of the link to a server until the returned function is called. */
function disruptLink({ linkDisruptions }: FaultContext, server: string): () => void {
  const disruption = { server, at: performance.now(), endedAt: Infinity };
  linkDisruptions.push(disruption);
  return () => {
    disruption.endedAt = performance.now();
  };
}

/** Records a disruption of an instance until the returned function is called. */
function disrupt({ disruptions }: FaultContext, instance: string): () => void {
  const disruption = { instance, at: performance.now(), endedAt: Infinity };
  disruptions.push(disruption);
  return () => {
    disruption.endedAt = performance.now();
  };
}

async function killInstance(context: FaultContext, durationMs: number): Promise<void> {
  const { fleet, random } = context;
  const router = random.pick(fleet.routers);
  const end = disrupt(context, router.name);
  await router.kill();
  await pause(durationMs);
  if (!router.isRunning) router.start();
  end();
}

async function stopInstance(context: FaultContext): Promise<void> {
  const { fleet, random, stops, violations } = context;
  const router = random.pick(fleet.routers);
  if (!router.isRunning || router.isPaused) return;
  const end = disrupt(context, router.name);
  const at = performance.now();
  router.signal('SIGTERM');
  const timeoutMs = STOP_GRACE_S * 1000 + STOP_SLACK_MS;
  const code = await router.waitForExit(timeoutMs);
  if (code === undefined) {
    if (!router.isPaused)
      violations.push(`${router.name} did not exit within ${timeoutMs} ms of SIGTERM`);
    await router.kill();
  } else if (code === 0) {
    stops.push({ instance: router.name, at, endedAt: performance.now() });
  }
  if (!router.isRunning) router.start();
  end();
}

async function drainServer(context: FaultContext): Promise<void> {
  const { fleet, random, leavingServers } = context;
  const linked = random.pick(fleet.servers);
  if (!linked.isUp || linked.isLeaving) return;
  linked.isLeaving = true;
  // Instances that cannot reach the store may learn too late that the server is leaving; its drain is not
  // checked then.
  const isStoreReachable =
    fleet.store.fault === StoreFault.None &&
    fleet.storeLinks.every(({ fault }) => fault === LinkFault.None);
  linked.server.announce('draining');
  linked.server.saysLeaving = context.hasServerNotices;
  const at = performance.now();
  await pause(RESTART_AFTER_LEAVING_MS);
  if (isStoreReachable && fleet.store.fault === StoreFault.None)
    leavingServers.push({ server: linked.server, at, drainMs: DRAIN_MS });
  fleet.crash(linked);
  fleet.store.remove('servers', linked.server.id);
  linked.server.saysLeaving = false;
  await pause(200);
  await fleet.restart(linked);
  linked.isLeaving = false;
}

const INJECTORS: Readonly<Record<SoakFault, Injector>> = {
  [SoakFault.KillInstance]: killInstance,
  [SoakFault.KillAll]: async (context, durationMs) => {
    const { fleet } = context;
    const ends = fleet.routers.map(({ name }) => disrupt(context, name));
    await Promise.all(fleet.routers.map((router) => router.kill()));
    await pause(durationMs / 4);
    for (const router of fleet.routers) if (!router.isRunning) router.start();
    for (const end of ends) end();
  },
  [SoakFault.StopInstance]: stopInstance,
  [SoakFault.PauseInstance]: async (context, durationMs) => {
    const { fleet, random } = context;
    const router = random.pick(fleet.routers);
    const end = disrupt(context, router.name);
    router.signal('SIGSTOP');
    await pause(durationMs);
    router.signal('SIGCONT');
    end();
  },
  [SoakFault.ReloadInstance]: ({ fleet, random }) => random.pick(fleet.routers).signal('SIGHUP'),
  [SoakFault.CrashServer]: async ({ fleet, random }, durationMs) => {
    const linked = random.pick(fleet.servers);
    if (!linked.isUp || linked.isLeaving) return;
    fleet.crash(linked);
    await pause(durationMs);
    if (!linked.isUp) await fleet.restart(linked);
  },
  [SoakFault.DrainServer]: drainServer,
  [SoakFault.CorruptServerAnswers]: async ({ fleet, random }, durationMs) => {
    const { server } = random.pick(fleet.servers);
    server.style = random.pick(ANSWER_STYLES);
    await pause(durationMs);
    server.style = AnswerStyle.Whole;
  },
  [SoakFault.DegradeServerLink]: async (context, durationMs) => {
    const { fleet, random } = context;
    const { link, server } = random.pick(fleet.servers);
    const end = disruptLink(context, server.id);
    link.fault = random.pick(LINK_FAULTS);
    await pause(durationMs);
    link.fault = LinkFault.None;
    end();
  },
  [SoakFault.ResetServerLink]: (context) => {
    const { link, server } = context.random.pick(context.fleet.servers);
    const end = disruptLink(context, server.id);
    link.reset();
    end();
  },
  [SoakFault.AskForPause]: async ({ fleet, random }, durationMs) => {
    const { server } = random.pick(fleet.servers);
    const retryAfter = (durationMs / 1000).toFixed(2);
    const headers = { 'x-not-executed': '1', 'retry-after': retryAfter };
    server.refusal = { status: 503, headers };
    await pause(REFUSING_MS);
    server.refusal = undefined;
  },
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
