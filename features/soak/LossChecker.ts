/**
 * Checks that every request that an instance has read gets a complete answer or a refusal, unless a fault
 * excuses its loss. A silence of a sound server excuses nothing, nor does planned work. All times are in
 * milliseconds of `performance.now()`.
 */
import { RoutePath } from '../platform/SampleConfiguration.js';
import type { FakeBackendServer } from '../platform/FakeBackendServer.js';
import type { Attempt, Disruption, Interruption, TimeSpan } from './GuaranteeChecker.js';
import { overlaps } from './GuaranteeChecker.js';
import { STOP_GRACE_S } from './RouterProcess.js';

/** A time for which a sound server sent nothing. */
export interface Silence extends TimeSpan {
  readonly server: string;
}

export interface LossEvidence {
  readonly attempts: readonly Attempt[];
  readonly servers: readonly Pick<FakeBackendServer, 'id' | 'arrivals'>[];
  readonly silences: readonly Silence[];
  readonly disruptions: readonly Disruption[];
  readonly interruptions: readonly Interruption[];
  /** Times in which the soak's own process stood still and learned of no end. */
  readonly stalls: readonly TimeSpan[];
}

export interface LossReport {
  readonly violations: readonly string[];
  /** Number of requests under way at a server while it was silent, and that no fault excuses. */
  readonly requestsInSilence: number;
}

/** Time before a request in which a fault excuses its loss, in milliseconds. */
const EXCUSE_BEFORE_MS = 3000;

/** Time after a request in which a fault that explains its loss may be recorded, in milliseconds. */
const EXCUSE_AFTER_MS = 200;

/** Time within which a connection may end without an answer if no server got the request, in milliseconds. */
const CROSSING_MS = 200;

/** Time by which an answer may be late or early at its deadline, in milliseconds. */
const DEADLINE_SLACK_MS = 100;

/**
 * A stopping instance may end requests at which servers are at work in the last sixth of its grace, unless they
 * were sent later than 3 s after the signal.
 */
const STOP_SHARE = 5 / 6;
const LAST_SEND_BEFORE_STOP_MS = 3000;

const SERVICES: Readonly<Record<string, string>> = {
  [RoutePath.Stream]: 'engine',
  [RoutePath.Book]: 'plain',
  [RoutePath.Read]: 'plain',
};

/** Returns whether a fault excuses the loss of an attempt. */
function isExcused({ disruptions, interruptions }: LossEvidence, attempt: Attempt): boolean {
  const from = attempt.sentAt - EXCUSE_BEFORE_MS;
  const to = attempt.endedAt + EXCUSE_AFTER_MS;
  const isInterrupted = interruptions.some(
    (span) => span.service === SERVICES[attempt.path] && overlaps(span, from, to),
  );
  if (isInterrupted) return true;
  return disruptions.some((span) => {
    if (span.instance !== attempt.instance) return false;
    if (!span.isPlanned) return overlaps(span, from, to);
    return (
      attempt.sentAt < span.at + LAST_SEND_BEFORE_STOP_MS &&
      attempt.endedAt > span.at + STOP_GRACE_S * 1000 * STOP_SHARE &&
      attempt.endedAt < span.endedAt + EXCUSE_AFTER_MS
    );
  });
}

/** Status of an answer that says neither what a server answered nor that the request did not run. */
const SERVER_LOST_STATUS = 502;

/** Returns how an attempt was lost; undefined if it got a complete answer or was not read. */
function lossOf(
  attempt: Attempt,
  isPassedOn: boolean,
  stalls: readonly TimeSpan[],
): string | undefined {
  const { status, isComplete, isConnected, sentAt, endedAt, deadlineMs } = attempt;
  if (status === SERVER_LOST_STATUS) return 'lost its server (502)';
  if ((status > 0 && isComplete) || !isConnected) return undefined;
  const lastedMs = endedAt - sentAt;
  if (status > 0)
    return lastedMs < deadlineMs - DEADLINE_SLACK_MS ? `was cut off (${status})` : undefined;
  if (lastedMs > deadlineMs + DEADLINE_SLACK_MS) return 'had no answer at its deadline';
  let crossingMs = CROSSING_MS;
  for (const span of stalls)
    if (overlaps(span, sentAt, endedAt)) crossingMs += span.endedAt - span.at;
  return isPassedOn || lastedMs > crossingMs ? 'lost its connection without an answer' : undefined;
}

export function checkLosses(evidence: LossEvidence): LossReport {
  const { attempts, servers, silences } = evidence;
  const arrivals = new Map<string, { server: string; at: number }[]>();
  for (const { id: server, arrivals: atServer } of servers) {
    for (const { id, at } of atServer) {
      const of = arrivals.get(id);
      if (of === undefined) arrivals.set(id, [{ server, at }]);
      else of.push({ server, at });
    }
  }
  const violations: string[] = [];
  let requestsInSilence = 0;
  for (const attempt of attempts) {
    if (isExcused(evidence, attempt)) continue;
    const sends = arrivals.get(attempt.id) ?? [];
    const isInSilence = sends.some(({ server, at }) =>
      silences.some((span) => span.server === server && overlaps(span, at, attempt.endedAt)),
    );
    if (isInSilence) requestsInSilence += 1;
    const loss = lossOf(attempt, sends.length > 0, evidence.stalls);
    if (loss === undefined) continue;
    const way = sends
      .sort((a, b) => a.at - b.at)
      .map(({ server, at }) => `${server} after ${Math.round(at - attempt.sentAt)} ms`);
    violations.push(
      `${attempt.path} ${attempt.id} at ${attempt.instance} ${loss} after ` +
        `${Math.round(attempt.endedAt - attempt.sentAt)} ms; sent to ${way.join(', ') || 'no server'}`,
    );
  }
  return { violations, requestsInSilence };
}
