/**
 * Test data for fleets and deployments, and the dependencies of a relay, for tests of the decision logic
 * without sockets or real time.
 */
import {
  RankedAdmission,
  type AdmissionCounters,
} from '../../src/core/admission/RankedAdmission.js';
import { Deployments } from '../../src/core/deployment/Deployments.js';
import { ServerDirectory } from '../../src/core/deployment/ServerDirectory.js';
import {
  RouteKind,
  type Deployment,
  type EngineProfile,
  type RequestRoute,
  type BackendServer,
  type Service,
} from '../../src/core/deployment/Types.js';
import { Invariants } from '../../src/core/Invariant.js';
import { RetryAfterEstimator } from '../../src/core/limits/RetryAfterEstimator.js';
import { RetryBudget } from '../../src/core/limits/RetryBudget.js';
import { StartWindows } from '../../src/core/limits/StartWindows.js';
import { HeldServers } from '../../src/core/limits/HeldServers.js';
import { ServerLimits } from '../../src/core/limits/ServerLimits.js';
import { ServerPace, type ServerPaceDependencies } from '../../src/core/pace/ServerPace.js';
import type { Clock, Random } from '../../src/ports/Types.js';
import type { RelayCounters, RelayDependencies } from '../../src/core/relay/RelayDependencies.js';
import { CrashWitness } from '../../src/core/quarantine/CrashWitness.js';
import { InputQuarantine } from '../../src/core/quarantine/InputQuarantine.js';
import { SilenceDetector } from '../../src/core/relay/SilenceDetector.js';
import { MemoryBudget } from '../../src/core/limits/MemoryBudget.js';
import { CallFailure, type AnswerHead, type CallerRequest } from '../../src/core/relay/Types.js';
import { EngineRoutes } from '../../src/core/routing/EngineRoutes.js';
import { DomainLinks } from '../../src/core/routing/DomainLinks.js';
import { ServerAdmission } from '../../src/core/routing/ServerAdmission.js';
import { ServerRole } from '../../src/core/routing/Types.js';
import { ServerLoad } from '../../src/core/routing/ServerLoad.js';
import type { ActivityTimer } from '../../src/core/standstill/StallMonitor.js';
import { StandstillGuard } from '../../src/core/standstill/StandstillGuard.js';
import { VirtualClock } from '../../src/fakes/VirtualClock.js';
import { FakeServers } from './FakeServers.js';

export const ENGINE: EngineProfile = {
  layers: 80,
  layerMb: 1750,
  tokenMb: 0.845,
  stepMs: 0.85,
  sequenceStepMs: 0.0034,
  contextStepMs: 0.0045,
  stepsPerPass: 2,
  prefillChunkTokens: 512,
  readTokensPerMs: 196,
  activationBytes: 42_268,
  crossDomainMbps: 13_000,
  usualPromptTokens: 772,
  usualAnswerTokens: 167,
  accelerators: new Map(
    [
      { name: 'h100', memoryMb: 72_000, stepFactor: 1.4, readFactor: 1 },
      { name: 'a100s', memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2 },
      { name: 'l4', memoryMb: 21_600, stepFactor: 16, readFactor: 8.2 },
      // Large enough for the whole model.
      { name: 'whole', memoryMb: 200_000, stepFactor: 4, readFactor: 4 },
      { name: 't4', memoryMb: 14_400, stepFactor: 15, readFactor: 15 },
    ].map((kind) => [kind.name, kind]),
  ),
};

export const ENGINE_SERVICE: Service = {
  name: 'engine',
  engine: ENGINE,
};

/** Accelerators of the fleet that tests simulate, by failure domain. */
export const REFERENCE_FLEET: Readonly<Record<string, readonly string[]>> = {
  a: ['a100s', ...Array<string>(8).fill('l4'), ...Array<string>(3).fill('t4')],
  b: ['a100s', 'a100s', ...Array<string>(4).fill('l4'), ...Array<string>(7).fill('t4')],
  c: ['h100', 'a100s', ...Array<string>(5).fill('l4'), ...Array<string>(7).fill('t4')],
};

let nextRevision = 1;

/** Creates the entry of a backend server; each call gives it a higher revision. */
export function backendServer(id: string, values: Partial<BackendServer> = {}): BackendServer {
  nextRevision += 1;
  return {
    id,
    revision: nextRevision,
    incarnation: 1,
    service: 'engine',
    address: `10.0.0.1:${1000 + nextRevision}`,
    failureDomain: 'a',
    leaving: false,
    slots: 134,
    accelerator: 'l4',
    span: undefined,
    ...values,
  };
}

export function route(values: Partial<RequestRoute> = {}): RequestRoute {
  return {
    name: 'route',
    host: 'host',
    prefix: '/',
    kind: RouteKind.Streaming,
    resumable: true,
    shares: [{ service: 'engine', weight: 1 }],
    maxServers: 2,
    timeoutMs: 20_000,
    isPublic: true,
    rank: 1,
    ...values,
  };
}

export function deployment(
  routes: readonly RequestRoute[],
  values: Partial<Deployment> = {},
): Deployment {
  return {
    ticket: 1,
    routes,
    services: new Map([
      ['engine', ENGINE_SERVICE],
      ['plain', { ...ENGINE_SERVICE, name: 'plain', engine: undefined }],
    ]),
    accounts: undefined,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...values,
  };
}

const NO_RANDOM: Random = { next: () => 0.5, id: () => 'id' };

/** Links between failure domains, for a fleet of one instance. */
export function domainLinks(clock: Clock, instances = 1): DomainLinks {
  return new DomainLinks(clock, NO_RANDOM, () => instances);
}

/** Limits of servers, of which none is known yet, for a fleet of one instance. */
export function unlimitedServers(clock: Clock): ServerLimits {
  return new ServerLimits(clock, NO_RANDOM, () => 1);
}

/** Gives all servers work; no limit or pause of one is known yet. */
export function openServerAdmission(clock: Clock): ServerAdmission {
  return new ServerAdmission(clock, unlimitedServers(clock), new HeldServers(clock));
}

/** Runs steps without taking their time. */
export const UNTIMED: ActivityTimer = {
  time: (_activity, _detail, step) => ({ value: step(), ms: 0 }),
};

/** The pace of servers that this instance alone knows. */
export function ownPace(dependencies: Omit<ServerPaceDependencies, 'turn'>): ServerPace {
  return new ServerPace({ ...dependencies, turn: () => ({ rank: 0, instances: 1 }) });
}

/** Whether a server may be given work at a time, with none that names a limit or asked for a pause. */
export function isUsable(directory: ServerDirectory, clock: Clock, id: string): boolean {
  const server = directory.get(id);
  return (
    server !== undefined &&
    openServerAdmission(clock).obstacle(server, ServerRole.First) === undefined
  );
}

const NO_OP_COUNTERS: RelayCounters & AdmissionCounters = {
  countAdmission: () => {},
  recordWait: () => {},
  countEnd: () => {},
  countRefusal: () => {},
  countError: () => {},
  countRetry: () => {},
  countCut: () => {},
  countSuccession: () => {},
  recordFirstByte: () => {},
};

export function answerHead(values: Partial<AnswerHead> = {}): AnswerHead {
  return {
    status: 200,
    headers: [],
    sendable: true,
    signed: true,
    notExecuted: false,
    misdirected: false,
    identityEncoded: true,
    isDelimited: true,
    requestsPerSecond: undefined,
    blamedAddress: undefined,
    ...values,
  };
}

/** Dependencies of a relay, with fake servers and a virtual clock. */
export class RelayFixture {
  public readonly clock = new VirtualClock();

  public readonly servers = new FakeServers(this.clock);

  public readonly directory = new ServerDirectory(this.clock);

  public readonly deployments = new Deployments();

  public readonly load = new ServerLoad();

  public readonly serverLimits = unlimitedServers(this.clock);

  /** Notices no standstill unless it is started; nobody answers it. */
  public readonly standstill = new StandstillGuard({
    clock: this.clock,
    decisions: { record: () => {} },
    ask: () => new Promise(() => {}),
  });

  public readonly heldServers = new HeldServers(this.clock);

  public readonly serverAdmission = new ServerAdmission(
    this.clock,
    this.serverLimits,
    this.heldServers,
  );

  public readonly pace = ownPace({
    clock: this.clock,
    directory: this.directory,
    load: this.load,
    deployments: this.deployments,
  });

  public readonly quarantine = new InputQuarantine(this.clock, () => ({ rank: 0, instances: 1 }));

  public readonly loggedDecisions: { event: string; fields: object }[] = [];

  /** Causes of the cuts of streams that had begun. */
  public readonly cuts: string[] = [];

  /** Ranks of the requests that have passed admission by rank. */
  public readonly admissions: number[] = [];

  public readonly admission: RankedAdmission;

  public readonly dependencies: RelayDependencies;

  public readonly silenceDetector: SilenceDetector;

  /** @param retries - number of retries that the retry budget starts with */
  public constructor(retries = 50) {
    const { clock, directory, load, quarantine } = this;
    const decisions = {
      record: (event: string, fields: object) => this.loggedDecisions.push({ event, fields }),
    };
    this.silenceDetector = new SilenceDetector({
      clock,
      directory,
      port: this.servers,
      decisions,
      rerouteLeavingAfterMs: 1200,
    });
    this.admission = new RankedAdmission({
      clock,
      directory,
      load,
      decisions,
      random: NO_RANDOM,
      deployments: this.deployments,
      counters: { ...NO_OP_COUNTERS, countAdmission: (rank) => this.admissions.push(rank) },
    });
    this.dependencies = {
      clock,
      directory,
      load,
      decisions,
      random: NO_RANDOM,
      deployments: this.deployments,
      routes: new EngineRoutes(directory, load, 'a', {
        serverAdmission: this.serverAdmission,
        links: domainLinks(clock),
        pace: this.pace,
      }),
      port: this.servers,
      streamRegistry: this.silenceDetector,
      retryAfterEstimator: new RetryAfterEstimator(NO_RANDOM),
      admission: this.admission,
      retryBudget: new RetryBudget(() => ({
        perRequest: 0.2,
        maxSaved: retries,
        initial: retries,
        refillPerS: 0,
      })),
      serverLimits: this.serverLimits,
      startWindows: new StartWindows(clock),
      serverAdmission: this.serverAdmission,
      standstill: this.standstill,
      pace: this.pace,
      quarantine,
      crashWitness: new CrashWitness({ directory, port: this.servers, quarantine, decisions }),
      counters: { ...NO_OP_COUNTERS, countCut: (cause) => this.cuts.push(cause) },
      invariants: new Invariants(true),
      localDomain: 'a',
      isPrepared: () => true,
    };
  }

  public request(values: Partial<CallerRequest> = {}): CallerRequest {
    return {
      id: 'request',
      host: 'host',
      path: '/x/',
      apiKey: undefined,
      arrivedAt: this.clock.now(),
      deadlineMs: 20_000,
      prompt: { promptTokens: 800, maxAnswerTokens: 200 },
      sharedPromptParts: [],
      ownPromptPart: undefined,
      resumeAfter: undefined,
      message: { method: 'POST', target: '/x/', headers: [], body: Buffer.from('body') },
      memory: new MemoryBudget(this.clock, Infinity).open({ allowanceBytes: 0, onEvict: () => {} }),
      ...values,
    };
  }
}

/** Finds a call failure by its name. */
export function failureNamed(name: string): CallFailure {
  const found = Object.values(CallFailure).find((failure) => String(failure) === name);
  if (found === undefined)
    throw new Error(`Unknown call failure ${name}. Use a value of CallFailure.`);
  return found;
}
