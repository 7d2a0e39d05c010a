/** The faults, what they act on, and what they record for the checks. */
import type { SeededRandom } from '../../src/fakes/SeededRandom.js';
import type { Callers } from './Callers.js';
import type { Disruption, LeavingServer, Revocation, Stop } from './GuaranteeChecker.js';
import type { Silence } from './LossChecker.js';
import type { LinkDisruption } from './NoticeChecker.js';
import type { SoakFleet } from './SoakFleet.js';

/** Targets of the faults, and what the faults record for the checks. */
export interface FaultContext {
  readonly fleet: SoakFleet;
  readonly callers: Callers;
  readonly random: SeededRandom;
  readonly revocations: Revocation[];
  readonly leavingServers: LeavingServer[];
  readonly stops: Stop[];
  readonly silences: Silence[];
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
  /** A sound server sends nothing for a while, and goes on. */
  FallSilent = 'a server falls silent',
  SeveralFallSilent = 'several servers fall silent',
  DomainFallsSilent = 'all servers of a failure domain fall silent',
  /** Servers turn new requests away with 503, without Retry-After, and go on with those that they run. */
  FillServers = 'servers are full',
  /** Changes of the configuration in series, with reloads and silences that overlap. */
  PlannedWork = 'planned work in series',
}

/** Injects a fault and waits until it has ended. */
export type Injector = (context: FaultContext, durationMs: number) => Promise<void> | void;

/** Records a disruption of an instance until the returned function is called. */
export function disrupt(
  { disruptions }: FaultContext,
  instance: string,
): (isPlanned?: boolean) => void {
  const disruption = { instance, at: performance.now(), endedAt: Infinity, isPlanned: false };
  disruptions.push(disruption);
  return (isPlanned = false) => {
    disruption.endedAt = performance.now();
    disruption.isPlanned = isPlanned;
  };
}
