import { RetryReason } from '../Outcome.js';
import { describeStages } from '../routing/StageText.js';
import type { Stage } from '../routing/Types.js';
import { WorkReservation } from '../routing/WorkReservation.js';
import { AvoidCause } from './AvoidedServers.js';
import type { RelayDependencies } from './RelayDependencies.js';
import type { RequestRoutes } from './RequestRoutes.js';
import type { StreamAttempt } from './StreamAttempt.js';
import { RerouteStatus, type RerouteAnswer } from './Types.js';

/** Timeout of a reroute request, in milliseconds; its answer takes only link delays. */
const REROUTE_TIMEOUT_MS = 250;

/**
 * Delay before the next reroute, in milliseconds. After failed reroutes it is multiplied by their number in a
 * row; after a failed attempt to resume at another first server it is not.
 */
export const REROUTE_PAUSE_MS = 100;

/** After more than this many failed reroutes in a row, a stalled stream resumes at another first server. */
const MAX_FAILED_REROUTES = 2;

/** Stages of a new route on servers that are not on the old one. */
function addedStages(before: readonly Stage[], after: readonly Stage[]): Stage[] {
  return after.filter(({ server }) => !before.some((stage) => stage.server === server));
}

/** Asks the first servers of running streams to continue them over other servers. */
export class StreamRerouter {
  /** @param mayBeSent - whether the request may be rerouted, as far as its inputs go */
  public constructor(
    private readonly dependencies: RelayDependencies,
    private readonly routes: RequestRoutes,
    private readonly mayBeSent: () => boolean,
  ) {}

  /**
   * Asks the first server of an attempt to continue the stream over other servers.
   * @param open - the open attempts of the request
   * @returns whether the stream should resume at another first server
   */
  public async reroute(
    attempt: StreamAttempt,
    open: readonly StreamAttempt[],
    reason: RetryReason,
  ): Promise<boolean> {
    const [first] = attempt.stages;
    const server = this.dependencies.directory.get(first.server);
    const stages = this.routes.planReroute(attempt, open);
    if (server === undefined || stages === undefined || !this.mayBeSent()) return false;
    attempt.isRerouting = true;
    this.routes.recordTransfers(stages, attempt.stages);
    // Reserved from now on, so that streams rerouted together do not all choose the same servers.
    const reservation = new WorkReservation(
      this.dependencies.load,
      addedStages(attempt.stages, stages),
      this.routes.reservedTokens,
      0,
    );
    const sentAt = this.dependencies.clock.now();
    let answer: RerouteAnswer;
    try {
      const { address } = server.record;
      const { id } = attempt;
      const { port } = this.dependencies;
      answer = await port.reroute(first.server, address, id, stages, REROUTE_TIMEOUT_MS);
    } finally {
      reservation.dispose();
      attempt.isRerouting = false;
    }
    this.log(attempt, reason, stages, answer, sentAt);
    return attempt.isOpen && this.handleAnswer(attempt, reason, stages, answer);
  }

  private handleAnswer(
    attempt: StreamAttempt,
    reason: RetryReason,
    stages: readonly Stage[],
    answer: RerouteAnswer,
  ): boolean {
    const now = this.dependencies.clock.now();
    if (answer.status === RerouteStatus.Accepted) {
      attempt.failedReroutes = 0;
      attempt.moveTo(stages);
      attempt.lastEventAt = now;
      return false;
    }
    attempt.failedReroutes += 1;
    attempt.nextRerouteAt = now + REROUTE_PAUSE_MS * attempt.failedReroutes;
    const stage = stages.find(({ address }) => address === answer.blamedAddress);
    if (stage !== undefined) this.routes.avoided.add(stage.server, AvoidCause.Rejected);
    // A stream that still runs over a leaving server stays there; it may end before the server stops.
    // A first server that does not know the request has not read it yet or has ended it; the open call
    // will show which.
    if (reason === RetryReason.Leaving || answer.status === RerouteStatus.UnknownRequest)
      return false;
    return answer.status === RerouteStatus.NoAnswer || attempt.failedReroutes > MAX_FAILED_REROUTES;
  }

  private log(
    { id, lastEventAt }: StreamAttempt,
    reason: RetryReason,
    stages: readonly Stage[],
    answer: RerouteAnswer,
    sentAt: number,
  ): void {
    this.dependencies.counters.countRetry(reason);
    this.dependencies.decisions.record('reroute', {
      id,
      reason,
      answer: answer.status,
      blamed: answer.blamedAddress,
      avoided: this.routes.describeAvoided(),
      route: describeStages(stages),
      silentMs: Math.round(sentAt - lastEventAt),
      ms: Math.round(this.dependencies.clock.now() - sentAt),
    });
  }
}
