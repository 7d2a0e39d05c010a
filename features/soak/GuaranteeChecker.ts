/**
 * Checks what callers and servers observed against the router's guarantees. All times are in
 * milliseconds of `performance.now()`.
 */
import type { FakeBackendServer } from '../platform/FakeBackendServer.js';
import { coversLayers, promptParts } from '../platform/FakeBackendServer.js';

/** Result of one attempt, as its caller saw it. */
export interface Attempt {
  readonly id: string;
  readonly instance: string;
  readonly path: string;
  readonly key: string;
  readonly sentAt: number;
  /** Time until the deadline that the caller gave, in milliseconds. */
  readonly deadlineMs: number;
  /** Number of events of its complete answer, if that is a stream. */
  readonly events: number;
  readonly endedAt: number;
  /** Whether its connection was established. */
  readonly isConnected: boolean;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly isSigned: boolean;
  /** Whether the answer was complete. */
  readonly isComplete: boolean;
  readonly body: string;
}

/** A server that announced that it was leaving while all instances could learn of it. */
export interface LeavingServer {
  readonly server: FakeBackendServer;
  readonly at: number;
  readonly drainMs: number;
}

export interface TimeSpan {
  readonly at: number;
  readonly endedAt: number;
}

/** Returns whether a time span and the time from `from` to `to` have a part in common. */
export function overlaps(span: TimeSpan, from: number, to: number): boolean {
  return span.at < to && span.endedAt > from;
}

/** A planned stop of an instance, from the signal until the process has exited. */
export interface Stop extends TimeSpan {
  readonly instance: string;
}

/** A fault of one instance or of its links. */
export interface Disruption extends TimeSpan {
  readonly instance: string;
  /** Whether it was a stop with which the instance exited by itself, within its grace. */
  isPlanned: boolean;
}

/** A fault of a server that may cut off its answers. */
export interface Interruption extends TimeSpan {
  readonly service: string;
}

/** A key that the operator revoked, and when the change was written to the store. */
export interface Revocation {
  readonly key: string;
  readonly at: number;
}

/** Statuses that guarantee that a request did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Minimum time until a leaving server is restarted, in milliseconds. */
export const RESTART_AFTER_LEAVING_MS = 2500;

/** Maximum time until a configuration that the store holds is in force, in milliseconds. */
const CONFIGURATION_DELAY_MS = 3000;

/** Time after which instances without disruption keep a crashing part from servers, in milliseconds. */
const CONTACT_MS = 3000;

/** Crashes after which a part must be kept from servers, and requests with it that may still be sent. */
const MAX_CRASHES = 5;
const MAX_LATE_SENDS = 3;

/** Numbers of the events in a body. */
function eventsOf(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
}

export class GuaranteeChecker {
  public readonly violations: string[] = [];

  /** @param answer - returns the complete answer to a call by its id */
  public constructor(private readonly answer: (id: string) => string) {}

  /** Checks each attempt by itself and against the runs that the servers recorded. */
  public checkAttempts(
    attempts: readonly Attempt[],
    servers: readonly FakeBackendServer[],
    isRepeatable: (path: string) => boolean,
  ): void {
    const runs = new Map<string, number>();
    for (const server of servers) {
      for (const { id } of server.runs) runs.set(id, (runs.get(id) ?? 0) + 1);
    }
    const sentIds = new Set<string>();
    for (const attempt of attempts) {
      sentIds.add(attempt.id);
      const runCount = runs.get(attempt.id) ?? 0;
      if (NOT_RUN_STATUSES.has(attempt.status) && runCount > 0)
        this.addViolation(attempt, `was answered ${attempt.status} and ran`);
      if (!isRepeatable(attempt.path) && runCount > 1)
        this.addViolation(attempt, `ran ${runCount} times`);
      if (attempt.status === 200) this.checkAnswer(attempt);
    }
    for (const id of runs.keys())
      if (!sentIds.has(id)) this.violations.push(`${id} ran at a server, but no caller sent it`);
  }

  /** Checks that every run with a route in `x-hop-count` covers each layer once, in order. */
  public checkRoutes(servers: readonly FakeBackendServer[]): void {
    for (const server of servers) {
      for (const { id, headers } of server.runs) {
        const route = headers['x-hop-count'];
        if (route === undefined || coversLayers(String(route))) continue;
        this.violations.push(
          `${id}: route ${String(route)} does not cover each layer once, in order`,
        );
      }
    }
  }

  /** Checks that leaving servers got no new work after their drain. */
  public checkLeaving(leavingServers: readonly LeavingServer[]): void {
    for (const { server, at, drainMs } of leavingServers) {
      for (const run of server.runs) {
        const sinceMs = run.at - at;
        if (sinceMs > drainMs && run.at < at + RESTART_AFTER_LEAVING_MS)
          this.violations.push(
            `${run.id} ran at ${server.id}, ${Math.round(sinceMs)} ms after it announced that it was leaving`,
          );
      }
    }
  }

  /**
   * Checks that planned stops cut off no answer. Leaves out stops during an interruption or within a
   * second after one, and attempts that ended more than 50 ms after the instance exited.
   */
  public checkStops(
    attempts: readonly Attempt[],
    stops: readonly Stop[],
    interruptions: readonly TimeSpan[],
  ): void {
    for (const { instance, at, endedAt } of stops) {
      if (
        interruptions.some(
          (interruption) => interruption.at < endedAt && interruption.endedAt > at - 1000,
        )
      )
        continue;
      for (const attempt of attempts) {
        const startedBeforeEnd = attempt.instance === instance && attempt.sentAt < endedAt;
        if (!startedBeforeEnd || attempt.endedAt < at || attempt.endedAt > endedAt + 50) continue;
        if (attempt.status === 200 && !attempt.isComplete)
          this.addViolation(attempt, `was cut off by the stop of ${instance}`);
      }
    }
  }

  /** Checks that instances without disruption keep a part that crashes servers from them. */
  public checkCrashingPart(
    part: string,
    attempts: readonly Attempt[],
    servers: readonly FakeBackendServer[],
    disruptions: readonly Disruption[],
  ): void {
    const crashes = servers.flatMap((server) => server.crashes).sort((a, b) => a - b);
    if (crashes.length < MAX_CRASHES) return;
    const from = crashes[MAX_CRASHES - 1] + CONTACT_MS;
    const instances = new Map(attempts.map(({ id, instance }) => [id, instance]));
    const late = servers
      .flatMap((server) => server.runs)
      .filter(({ at, headers }) => at > from && promptParts(headers).includes(part))
      .filter(
        ({ id, at }) =>
          !disruptions.some(
            (disruption) =>
              disruption.instance === instances.get(id) &&
              disruption.at < at &&
              disruption.endedAt > at - CONTACT_MS,
          ),
      );
    if (late.length > MAX_LATE_SENDS)
      this.violations.push(
        `${late.length} requests with ${part} were sent later than ${CONTACT_MS} ms after ${MAX_CRASHES} crashes`,
      );
  }

  /** Checks that revoked keys are refused in time, and stay refused. */
  public checkKeys(attempts: readonly Attempt[], revocations: readonly Revocation[]): void {
    for (const { key, at } of revocations) {
      for (const attempt of attempts) {
        const isLate = attempt.key === key && attempt.sentAt > at + CONFIGURATION_DELAY_MS;
        if (isLate && attempt.status === 200)
          this.addViolation(attempt, `was served with the revoked ${key}`);
      }
    }
  }

  public addViolation({ id, path }: Attempt, what: string): void {
    this.violations.push(`${path} ${id} ${what}`);
  }

  private checkAnswer(attempt: Attempt): void {
    const { id, body, isSigned, isComplete, events: eventCount } = attempt;
    if (!isSigned) this.addViolation(attempt, 'was answered without a signature');
    if (!body.startsWith('id:') && !attempt.path.startsWith('/stream/')) {
      if (isComplete && body !== this.answer(id))
        this.addViolation(attempt, `got "${body}" instead of the complete answer`);
      return;
    }
    const events = eventsOf(body);
    if (events.some((number, index) => number !== index + 1))
      this.addViolation(attempt, `got events ${events.join(' ')}, not consecutive from 1`);
    if (isComplete && events.length !== eventCount)
      this.addViolation(attempt, 'ended as complete with a wrong number of events');
  }
}
