/**
 * Injects silences of sound servers, full servers and planned work. None of them excuses an answer that is cut
 * off, so none is recorded as a disruption or an interruption.
 */
import { pause } from '../platform/Ports.js';
import { SoakFault, type FaultContext, type Injector } from './FaultContext.js';
import { DOMAINS, type LinkedServer } from './SoakFleet.js';

/** Ranges of the time for which a sound server is silent or full, in milliseconds. */
const SILENCE_MS = { from: 800, to: 2500 };
const FULL_MS = { from: 300, to: 1500 };

/** Servers that fall silent when several do. */
const SEVERAL = 3;

/** Range of the time between silences of several servers, in milliseconds. */
const STAGGER_MS = { from: 0, to: 400 };

/** Changes of the configuration in one series, and the range of the time between them, in milliseconds. */
const CHANGES = 6;
const CHANGE_INTERVAL_MS = { from: 200, to: 500 };

/** Values that a series of changes gives to routes; the time-outs leave time for a silence in a long stream. */
const TIMEOUTS_MS = [10_000, 12_000];
const ATTEMPTS = [1, 2, 3];

async function silence(
  { random, silences }: FaultContext,
  { server }: LinkedServer,
): Promise<void> {
  const at = performance.now();
  await server.fallSilent(random.between(SILENCE_MS.from, SILENCE_MS.to));
  silences.push({ server: server.id, at, endedAt: performance.now() });
}

async function silenceOne(context: FaultContext): Promise<void> {
  await silence(context, context.random.pick(context.fleet.servers));
}

async function silenceSeveral(context: FaultContext): Promise<void> {
  const { random } = context;
  const pending: Promise<void>[] = [];
  for (let count = 0; count < SEVERAL; count += 1) {
    pending.push(silenceOne(context));
    await pause(random.between(STAGGER_MS.from, STAGGER_MS.to));
  }
  await Promise.all(pending);
}

async function silenceDomain(context: FaultContext): Promise<void> {
  const silentDomain = context.random.pick(DOMAINS);
  const servers = context.fleet.servers.filter(({ domain }) => domain === silentDomain);
  await Promise.all(servers.map((linked) => silence(context, linked)));
}

async function fill({ random }: FaultContext, { server }: LinkedServer): Promise<void> {
  server.refusal = { status: 503, headers: { 'x-not-executed': '1' } };
  await pause(random.between(FULL_MS.from, FULL_MS.to));
  server.refusal = undefined;
}

/** Fills some servers of one service, as a crest of requests for it does. */
async function fillServers(context: FaultContext): Promise<void> {
  const { fleet, random } = context;
  const { service } = random.pick(fleet.servers);
  const share = random.next();
  const full = fleet.servers.filter((linked) => linked.service === service && random.chance(share));
  await Promise.all(full.map((linked) => fill(context, linked)));
}

async function workAsPlanned(context: FaultContext): Promise<void> {
  const { fleet, callers, random } = context;
  const silences: Promise<void>[] = [];
  for (let change = 0; change < CHANGES; change += 1) {
    fleet.reconfigure(callers.keys.at(-1) as string, {
      timeoutMs: random.pick(TIMEOUTS_MS),
      attempts: random.pick(ATTEMPTS),
    });
    random.pick(fleet.routers).signal('SIGHUP');
    silences.push(silenceOne(context));
    await pause(random.between(CHANGE_INTERVAL_MS.from, CHANGE_INTERVAL_MS.to));
  }
  await Promise.all(silences);
}

export const SILENCE_INJECTORS = {
  [SoakFault.FallSilent]: silenceOne,
  [SoakFault.SeveralFallSilent]: silenceSeveral,
  [SoakFault.DomainFallsSilent]: silenceDomain,
  [SoakFault.FillServers]: fillServers,
  [SoakFault.PlannedWork]: workAsPlanned,
} satisfies Partial<Record<SoakFault, Injector>>;
