import type { DecisionFields } from '../DecisionLog.js';
import { RefusalReason } from '../Outcome.js';
import type { RetryAfterEstimator } from '../limits/RetryAfterEstimator.js';
import type { AssignedRequest, RelayDependencies } from './RelayDependencies.js';

/**
 * Minimum retry-after delay of a request with a quarantined part, in milliseconds, once instances take turns
 * to try the part again.
 */
const MIN_QUARANTINE_DELAY_MS = 2000;

/** Time over which callers return after the end of a pause of servers, in milliseconds. */
const RETURN_SPREAD_MS = 500;

/** Tells when the caller of a refused request may return, and what its quarantined part is. */
export class RefusalTerms {
  public constructor(
    private readonly dependencies: RelayDependencies,
    private readonly assigned: AssignedRequest,
  ) {}

  /** Records that the request was answered completely. */
  public recordComplete(): void {
    this.estimator.record(false, this.dependencies.clock.now());
  }

  /** Records that the request is refused without having run, and returns its retry-after delay in milliseconds. */
  public recordNotRun(): number {
    const now = this.dependencies.clock.now();
    const { request } = this.assigned;
    const { estimator } = this;
    estimator.record(true, now);
    return this.pauseMs ?? estimator.delayMs(request.arrivedAt + request.deadlineMs - now, now);
  }

  /** Whether a part of the request is quarantined. */
  public get isQuarantined(): boolean {
    return this.dependencies.quarantine.find(this.assigned.inputs).length > 0;
  }

  /** Retry-after delay of a request with a quarantined part, in milliseconds. */
  public get quarantineDelayMs(): number {
    const { clock, quarantine } = this.dependencies;
    const now = clock.now();
    let heldUntil = now;
    for (const found of quarantine.find(this.assigned.inputs))
      heldUntil = Math.max(heldUntil, found.heldUntil);
    return Math.max(MIN_QUARANTINE_DELAY_MS, heldUntil - now);
  }

  public explainQuarantine(): DecisionFields {
    const { quarantine, clock } = this.dependencies;
    const [found] = quarantine.find(this.assigned.inputs);
    if (found === undefined) return {};
    const { part, crashes, lastCrashAt } = found;
    return { part, crashes, lastCrashMsAgo: Math.round(clock.now() - lastCrashAt) };
  }

  /** Time until the service can be used again, in milliseconds, if servers asked for a pause; with some spread. */
  private get pauseMs(): number | undefined {
    const { serverAdmission, clock, directory, random } = this.dependencies;
    const { name, engine } = this.assigned.service;
    const until = serverAdmission.heldUntil(directory.all(), name, engine?.layers ?? 0);
    return until && until - clock.now() + random.next() * RETURN_SPREAD_MS;
  }

  private get estimator(): RetryAfterEstimator {
    const { competes, service, rank } = this.assigned;
    const { admission, retryAfterEstimator } = this.dependencies;
    return competes ? admission.retryAfterEstimator(service.name, rank) : retryAfterEstimator;
  }
}

/** Whether a reason says that a part of the request is quarantined. */
export function isQuarantine(reason: RefusalReason): boolean {
  return reason === RefusalReason.Quarantined || reason === RefusalReason.Withdrawn;
}
