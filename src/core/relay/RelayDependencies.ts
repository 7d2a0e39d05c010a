import type { Clock, Disposable, Random } from '../../ports/Types.js';
import type { RankedAdmission } from '../admission/RankedAdmission.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { Deployments } from '../deployment/Deployments.js';
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { RequestRoute, Service } from '../deployment/Types.js';
import type { Invariants } from '../Invariant.js';
import type { RetryLimiter } from '../limits/RetryBudget.js';
import type { ServerLimits } from '../limits/ServerLimits.js';
import type { StartWindows } from '../limits/StartWindows.js';
import type { RetryAfterEstimator } from '../limits/RetryAfterEstimator.js';
import type { RefusalReason, RetryReason } from '../Outcome.js';
import type { ServerPace } from '../pace/ServerPace.js';
import type { CrashWitness } from '../quarantine/CrashWitness.js';
import type { Quarantine } from '../quarantine/Types.js';
import type { EngineRoutes } from '../routing/EngineRoutes.js';
import type { ServerAdmission } from '../routing/ServerAdmission.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import type { Stage } from '../routing/Types.js';
import type { StandstillGuard } from '../standstill/StandstillGuard.js';
import type { RetryObstacle } from './RetryObstacle.js';
import type { SlowStreamProbe } from './SlowStreamProbe.js';
import type { SuccessionEnd } from './SuccessionLog.js';
import type { CallerReply, CallerRequest, ServerPort } from './Types.js';

/** A stream that is monitored for silence. */
export interface WatchedStream {
  readonly id: string;
  /** Stages of the current route. */
  readonly stages: readonly Stage[];
  /** Time of the last event, send or accepted reroute, whichever came last. */
  readonly lastEventAt: number;
  /** Time after `lastEventAt` at which the stream is considered silent, in milliseconds. */
  readonly silentAfterMs: number;
  /** Moves the stream off servers that must no longer be used. */
  rerouteAround(servers: ReadonlySet<string>, reason: RetryReason): void;
}

/** Registers streams to be monitored; disposing the result unregisters the stream. */
export interface StreamRegistry {
  add(stream: WatchedStream): Disposable;
  /** Asks a server for a sign of life, unless it was asked a moment ago. */
  askForReport(server: string): void;
}

/** How a request ended. */
export enum RelayEnd {
  Complete = 'complete',
  Refused = 'refused',
  Aborted = 'cut',
  CallerGone = 'caller-gone',
}

/** Counts the ends, refusals, errors and retries of requests, and records the time to their first byte. */
export interface RelayCounters {
  countEnd(kind: string, end: RelayEnd): void;
  countRefusal(reason: RefusalReason): void;
  /** Counts a request that an unexpected error ended. */
  countError(kind: string): void;
  countRetry(reason: RetryReason): void;
  /**
   * Counts a stream that was cut after its answer had begun.
   * @param cause - why it was not sent once more, or, if that was not tried, why it was given up
   */
  countCut(cause: RetryObstacle | RefusalReason): void;
  /** Counts how it ended that two servers held a stream. */
  countSuccession(end: SuccessionEnd): void;
  /** @param ms - time from the arrival of the request to the first byte of its answer, in milliseconds */
  recordFirstByte(kind: string, ms: number): void;
}

export interface RelayDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
  readonly routes: EngineRoutes;
  readonly port: ServerPort;
  readonly streamRegistry: StreamRegistry;
  /** Finds the servers that slow streams down; absent where servers report no slowness. */
  readonly slowStreamProbe?: SlowStreamProbe;
  readonly retryBudget: RetryLimiter;
  readonly retryAfterEstimator: RetryAfterEstimator;
  /** Admission to services for which requests of different ranks compete. */
  readonly admission: RankedAdmission;
  readonly serverLimits: ServerLimits;
  readonly startWindows: StartWindows;
  readonly serverAdmission: ServerAdmission;
  readonly standstill: StandstillGuard;
  readonly pace: ServerPace;
  readonly quarantine: Quarantine;
  readonly crashWitness: CrashWitness;
  readonly decisions: DecisionLog;
  readonly counters: RelayCounters;
  readonly invariants: Invariants;
  readonly localDomain: string;
  /** Whether everything is known that must be known before the first request. */
  readonly isPrepared: () => boolean;
}

/** A request with the route, service and account that the deployment assigns to it. */
export interface AssignedRequest {
  readonly request: CallerRequest;
  readonly reply: CallerReply;
  readonly route: RequestRoute;
  readonly service: Service;
  readonly account: string | undefined;
  /** Rank among the requests to the service, by account and then by route; 0 is the most urgent one. */
  readonly rank: number;
  /** Whether requests of different ranks compete for the service. */
  readonly competes: boolean;
  /** What may crash servers: the shared parts of the prompt, and the request's fingerprint. */
  readonly inputs: readonly string[];
  /**
   * Time limit of the request, as a clock time in milliseconds: the end of the route's timeout or the
   * caller's deadline, whichever is earlier.
   */
  readonly endsAt: number;
}
