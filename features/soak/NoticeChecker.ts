/**
 * Checks that instances keep to what servers say of themselves in their answers: that they are leaving, and for
 * how long they want nothing. All times are in milliseconds of `performance.now()`.
 */
import type { Arrival, FakeBackendServer } from '../platform/FakeBackendServer.js';
import { overlaps, type Attempt, type Disruption, type TimeSpan } from './GuaranteeChecker.js';

/** A fault of the link to a server, in which its answers may be lost or late. */
export interface LinkDisruption extends TimeSpan {
  readonly server: string;
}

export interface NoticeEvidence {
  readonly attempts: readonly Attempt[];
  readonly servers: readonly FakeBackendServer[];
  readonly disruptions: readonly Disruption[];
  readonly linkDisruptions: readonly LinkDisruption[];
}

/** A request as it arrived at a server, with the attempt that caused it. */
interface Delivery {
  readonly arrival: Arrival;
  readonly attempt: Attempt;
}

/** Time for which a pause need not be kept to, in milliseconds: until the answer has been read. */
const PAUSE_GRACE_MS = 500;

/** Returns the violations of what servers said of themselves. */
export function checkNotices(evidence: NoticeEvidence): string[] {
  const { attempts, servers } = evidence;
  const attemptsById = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const sends = new Map<string, number>();
  for (const { arrivals } of servers)
    for (const { id } of arrivals) sends.set(id, (sends.get(id) ?? 0) + 1);
  const violations: string[] = [];
  for (const { id: server, arrivals } of servers) {
    const deliveries = arrivals.flatMap((arrival): Delivery[] => {
      const attempt = attemptsById.get(arrival.id);
      return attempt === undefined ? [] : [{ arrival, attempt }];
    });
    for (const delivery of deliveries) {
      const { arrival, attempt } = delivery;
      const isAnsweredHere = sends.get(arrival.id) === 1 && attempt.isComplete;
      if (arrival.saidLeaving && attempt.status === 200 && isAnsweredHere)
        violations.push(...checkLeaving(evidence, server, delivery, deliveries));
      if (arrival.pauseMs !== undefined)
        violations.push(...checkPause(evidence, server, delivery, deliveries));
    }
  }
  return violations;
}

/** Returns the later deliveries from the instance of a delivery to the same process, without disruption since then. */
function laterDeliveries(
  { disruptions }: NoticeEvidence,
  { arrival, attempt }: Delivery,
  deliveries: readonly Delivery[],
  after: number,
): Delivery[] {
  const { instance } = attempt;
  return deliveries.filter(
    (later) =>
      later.attempt.instance === instance &&
      later.arrival.incarnation === arrival.incarnation &&
      later.attempt.sentAt > after &&
      !disruptions.some(
        (disruption) =>
          disruption.instance === instance && overlaps(disruption, arrival.at, later.arrival.at),
      ),
  );
}

function checkLeaving(
  evidence: NoticeEvidence,
  server: string,
  told: Delivery,
  deliveries: readonly Delivery[],
): string[] {
  const { endedAt, instance } = told.attempt;
  return laterDeliveries(evidence, told, deliveries, endedAt).map(
    ({ arrival }) =>
      `${arrival.id} reached ${server} ${Math.round(arrival.at - endedAt)} ms after ${instance} had passed on that it leaves`,
  );
}

function checkPause(
  evidence: NoticeEvidence,
  server: string,
  told: Delivery,
  deliveries: readonly Delivery[],
): string[] {
  const { at, pauseMs = 0 } = told.arrival;
  const mayBeLost = evidence.linkDisruptions.some(
    (disruption) => disruption.server === server && overlaps(disruption, at, at + PAUSE_GRACE_MS),
  );
  if (mayBeLost) return [];
  return laterDeliveries(evidence, told, deliveries, at + PAUSE_GRACE_MS)
    .filter(({ arrival }) => arrival.at < at + pauseMs)
    .map(
      ({ arrival, attempt }) =>
        `${arrival.id} reached ${server} from ${attempt.instance} ${Math.round(arrival.at - at)} ms after it asked for a pause of ${pauseMs} ms`,
    );
}
