/** Injects faults from outside the processes and ends each of them. */
import { pause } from '../platform/Ports.js';
import { AnswerStyle } from '../platform/FakeBackendServer.js';
import { StoreFault } from '../platform/FakeStore.js';
import { disrupt, SoakFault, type FaultContext, type Injector } from './FaultContext.js';
import { LinkFault } from './FaultProxy.js';
import type { LinkedServer } from './SoakFleet.js';
import { RESTART_AFTER_LEAVING_MS } from './GuaranteeChecker.js';
import { DRAIN_MS, STOP_GRACE_S } from './RouterProcess.js';
import { SILENCE_INJECTORS } from './SilenceFaults.js';

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

/** Records a disruption of the link to a server until the returned function is called. */
function disruptLink(context: FaultContext, linked: LinkedServer): () => void {
  const endInterruption = context.fleet.interrupt(linked);
  const disruption = { server: linked.server.id, at: performance.now(), endedAt: Infinity };
  context.linkDisruptions.push(disruption);
  return () => {
    disruption.endedAt = performance.now();
    endInterruption();
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
  let exitsBySelf = false;
  const at = performance.now();
  router.signal('SIGTERM');
  const timeoutMs = STOP_GRACE_S * 1000 + STOP_SLACK_MS;
  const code = await router.waitForExit(timeoutMs);
  if (code === undefined) {
    if (!router.isPaused)
      violations.push(`${router.name} did not exit within ${timeoutMs} ms of SIGTERM`);
    await router.kill();
  } else if (code === 0) {
    exitsBySelf = true;
    stops.push({ instance: router.name, at, endedAt: performance.now() });
  }
  if (!router.isRunning) router.start();
  end(exitsBySelf);
}

async function drainServer(context: FaultContext): Promise<void> {
  const { fleet, random, leavingServers } = context;
  const linked = random.pick(fleet.servers);
  if (!linked.isUp || linked.isLeaving) return;
  linked.isLeaving = true;
  const end = fleet.interrupt(linked);
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
  end();
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
  [SoakFault.CrashServer]: async (context, durationMs) => {
    const { fleet, random } = context;
    const linked = random.pick(fleet.servers);
    if (!linked.isUp || linked.isLeaving) return;
    const end = fleet.interrupt(linked);
    fleet.crash(linked);
    await pause(durationMs);
    if (!linked.isUp) await fleet.restart(linked);
    end();
  },
  [SoakFault.DrainServer]: drainServer,
  [SoakFault.CorruptServerAnswers]: async (context, durationMs) => {
    const { fleet, random } = context;
    const linked = random.pick(fleet.servers);
    const end = fleet.interrupt(linked);
    linked.server.style = random.pick(ANSWER_STYLES);
    await pause(durationMs);
    linked.server.style = AnswerStyle.Whole;
    end();
  },
  [SoakFault.DegradeServerLink]: async (context, durationMs) => {
    const { fleet, random } = context;
    const linked = random.pick(fleet.servers);
    const { link } = linked;
    const end = disruptLink(context, linked);
    link.fault = random.pick(LINK_FAULTS);
    await pause(durationMs);
    link.fault = LinkFault.None;
    end();
  },
  [SoakFault.ResetServerLink]: (context) => {
    const linked = context.random.pick(context.fleet.servers);
    const end = disruptLink(context, linked);
    linked.link.reset();
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
    const key = `key-${fleet.configurationVersion + 1}`;
    const revokedKey = callers.keys.at(-1) as string;
    fleet.reconfigure(key);
    revocations.push({ key: revokedKey, at: performance.now() });
    callers.keys = [revokedKey, key];
  },
  ...SILENCE_INJECTORS,
};

/** Injects one fault and waits until it has ended. */
export async function injectFault(
  soakFault: SoakFault,
  context: FaultContext,
  durationMs: number,
): Promise<void> {
  await INJECTORS[soakFault](context, durationMs);
}
