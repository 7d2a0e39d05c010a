/** Applies account limits and admission to completion requests and runs them as stream sessions. */
import type { Clock, Disposable } from '../../ports/Types.js';
import { Admission, type AdmissionRequest } from '../admission/Admission.js';
import type { AccountLimiter } from '../limits/AccountLimiter.js';
import type { RetryBudget } from '../limits/RetryBudget.js';
import { ServerMark } from '../membership/ServerHealth.js';
import { Outcome, refusal, RefusalReason, RetryReason, type Refusal } from '../Outcome.js';
import { planFlow } from '../routing/FlowPlan.js';
import type { Candidate } from '../routing/Types.js';
import type { Topology } from '../routing/Topology.js';
import { acquireAccountSlot } from './AccountSlot.js';
import { PendingRequest } from './PendingRequest.js';
import {
  StreamSession,
  type AnswerListener,
  type SessionDependencies,
  type StreamRequest,
} from '../streams/StreamSession.js';
import type { FinishReason } from '../streams/Types.js';
import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind, type Pipeline } from '../tickets/Types.js';

/** A completion request as sent by a caller. */
export interface CompletionRequest {
  readonly id: string;
  readonly account: string;
  readonly pipeline: string;
  readonly prompt: string;
  /** Requested number of tokens; 0 for the pipeline's maximum. */
  readonly maxTokens: number;
  readonly priority: number;
  /** Size of the request, in bytes. */
  readonly bytes: number;
}

export interface CompletionDispatcherDependencies {
  readonly sessionDependencies: SessionDependencies;
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly topology: Topology;
  readonly limiter: AccountLimiter;
  readonly retryBudget: RetryBudget;
  readonly localDomain: string;
  /** Whether a server may get new work. */
  readonly isUsable: (server: string) => boolean;
  /** Number of live instances in the local failure domain, including this one. */
  readonly countLocalInstances: () => number;
}

/** Maximum number of waiting requests of one pipeline on this instance. */
const MAX_QUEUED = 2000;

/** Maximum total size of the waiting requests of one pipeline on this instance, in bytes. */
const MAX_QUEUED_BYTES = 64 * 1024 * 1024;

/**
 * Factor on the ideal number of running streams. The extra streams keep servers busy while others wait
 * at a stage.
 */
const CONCURRENCY_HEADROOM = 2;

/**
 * Minimum time between checks of which servers are usable, in milliseconds. A change of the
 * candidate servers or of the number of instances takes effect with the next request.
 */
const RESIZE_INTERVAL_MS = 500;

/** Lower bound of the limit on the running streams of one pipeline on this instance. */
const MIN_CONCURRENCY = 4;

interface PipelineQueue {
  readonly admission: Admission;
  /** Servers for which the token rate was computed. */
  candidates: readonly Candidate[] | undefined;
  instances: number;
  /** Names of the servers that were usable at `resizedAt`. */
  servers: string;
  resizedAt: number;
}

/** Server marks that cause running streams to be rerouted, with the reason for the reroute. */
export const REROUTE_REASONS: Readonly<Partial<Record<ServerMark, RetryReason>>> = {
  [ServerMark.Leaving]: RetryReason.Leaving,
  [ServerMark.Degraded]: RetryReason.Degraded,
};

function unknownPipelineRefusal(name: string): Refusal {
  return refusal(
    Outcome.NotRun,
    RefusalReason.UnknownPipeline,
    `Pipeline ${name} does not exist. Use one listed by GET /v1/models.`,
  );
}

export class CompletionDispatcher {
  private readonly queues = new Map<string, PipelineQueue>();

  private readonly sessions = new Set<StreamSession>();

  private openRequests = 0;

  public constructor(private readonly dependencies: CompletionDispatcherDependencies) {}

  /** Number of queued and running requests. */
  public get active(): number {
    return this.openRequests;
  }

  /** Numbers of waiting and running requests by pipeline. */
  public queueLengths(): { pipeline: string; waiting: number; running: number }[] {
    return [...this.queues].map(([pipeline, { admission }]) => ({
      pipeline,
      waiting: admission.waiting,
      running: admission.running,
    }));
  }

  /**
   * Submits a request; its answer or refusal is passed to `listener`.
   * @returns a handle to dispose when the caller disconnects, which cancels the request
   */
  public submit(request: CompletionRequest, listener: AnswerListener): Disposable {
    const pipeline = this.dependencies.configuration.state(ObjectKind.Pipeline, request.pipeline);
    const account = this.dependencies.configuration.state(
      ObjectKind.ClientAccount,
      request.account,
    );
    const refused =
      pipeline === undefined
        ? unknownPipelineRefusal(request.pipeline)
        : acquireAccountSlot(
            this.dependencies.limiter,
            request.account,
            account,
            this.dependencies.clock.now(),
          );
    if (refused !== undefined || pipeline === undefined || account === undefined) {
      if (refused !== undefined) listener.onRefusal(refused);
      return { dispose: () => {} };
    }
    const held = this.dependencies.sessionDependencies.quarantine.refuseNew(request);
    if (held !== undefined) {
      this.dependencies.limiter.release(request.account);
      listener.onRefusal(held);
      return { dispose: () => {} };
    }
    return this.enqueue(request, pipeline, account.weight, listener);
  }

  /** Reroutes every stream that uses a leaving or degraded server. */
  public rerouteFrom(server: string, reason: RetryReason): void {
    for (const session of [...this.sessions]) session.rerouteFrom(server, reason);
  }

  private enqueue(
    request: CompletionRequest,
    pipeline: Pipeline,
    weight: number,
    listener: AnswerListener,
  ): Disposable {
    const now = this.dependencies.clock.now();
    const maxTokens =
      request.maxTokens > 0 ? Math.min(request.maxTokens, pipeline.maxTokens) : pipeline.maxTokens;
    const { admission } = this.ensureQueue(request.pipeline, pipeline);
    const admissionRequest: AdmissionRequest = {
      ...request,
      weight,
      deadline: now + pipeline.deadlineMs,
      cost: maxTokens,
    };
    this.openRequests += 1;
    const releaseSlot = () => {
      this.openRequests -= 1;
      this.dependencies.limiter.release(request.account);
    };
    const handle = new PendingRequest(() => {
      admission.withdraw(admissionRequest);
      releaseSlot();
      listener.onRefusal(
        refusal(
          Outcome.NotRun,
          RefusalReason.CallerGone,
          'The caller disconnected. Send the request again.',
        ),
      );
    });
    const streamRequest: StreamRequest = {
      ...request,
      maxTokens,
      layers: pipeline.layers,
      idempotent: pipeline.idempotent,
      deadline: admissionRequest.deadline,
    };
    const onRefused = (admissionRefusal: Refusal) => {
      handle.markRefused();
      releaseSlot();
      listener.onRefusal(admissionRefusal);
    };
    const run = () => this.run(streamRequest, handle, listener, releaseSlot);
    const refused = admission.submit(admissionRequest, run, onRefused);
    if (refused !== undefined) onRefused(refused);
    return handle;
  }

  private run(
    request: StreamRequest,
    handle: PendingRequest,
    listener: AnswerListener,
    releaseSlot: () => void,
  ): Promise<void> {
    if (handle.isOver) return Promise.resolve();
    return new Promise((resolve) => {
      let session: StreamSession | undefined;
      const finish = () => {
        if (session !== undefined) this.sessions.delete(session);
        releaseSlot();
        resolve();
      };
      session = new StreamSession(this.dependencies.sessionDependencies, request, {
        onToken: (text, index) => listener.onToken(text, index),
        onEnd: (reason: FinishReason, tokens) => {
          this.dependencies.retryBudget.recordRequest(
            `${request.account}/${request.pipeline}`,
            this.dependencies.clock.now(),
          );
          finish();
          listener.onEnd(reason, tokens);
        },
        onRefusal: (refused) => {
          finish();
          listener.onRefusal(refused);
        },
      });
      handle.session = session;
      this.sessions.add(session);
      session.start();
    });
  }

  private ensureQueue(name: string, pipeline: Pipeline): PipelineQueue {
    let queue = this.queues.get(name);
    if (queue === undefined) {
      const bounds = { maxEntries: MAX_QUEUED, maxBytes: MAX_QUEUED_BYTES };
      queue = {
        admission: new Admission(MIN_CONCURRENCY, bounds, () => this.dependencies.clock.now()),
        candidates: undefined,
        instances: 0,
        servers: '',
        resizedAt: -Infinity,
      };
      this.queues.set(name, queue);
    }
    this.resize(name, pipeline, queue);
    return queue;
  }

  /**
   * Sets the maximum number of running streams. By Little's law it is the token rate of the usable
   * servers times the target time between tokens; CONCURRENCY_HEADROOM is applied, and the result is
   * divided among the local instances. Running streams keep their slots when servers are lost; new ones
   * wait.
   */
  private resize(name: string, pipeline: Pipeline, queue: PipelineQueue): void {
    const now = this.dependencies.clock.now();
    const candidates = this.dependencies.topology.candidatesFor(name);
    const instances = this.dependencies.countLocalInstances();
    const isSame = queue.candidates === candidates && queue.instances === instances;
    if (isSame && now - queue.resizedAt < RESIZE_INTERVAL_MS) return;
    queue.resizedAt = now;
    const usable = candidates.filter(({ server }) => this.dependencies.isUsable(server));
    const servers = usable.map(({ server }) => server).join();
    if (!isSame || servers !== queue.servers) {
      const tokensPerMs = this.tokensPerMs(usable, pipeline.layers);
      const streams = (tokensPerMs * pipeline.tokenGapMs * CONCURRENCY_HEADROOM) / instances;
      queue.admission.setConcurrency(Math.max(MIN_CONCURRENCY, streams));
    }
    queue.candidates = candidates;
    queue.instances = instances;
    queue.servers = servers;
  }

  /** Token rate of the local domain's servers, or of all if the local ones do not cover every layer. */
  private tokensPerMs(candidates: readonly Candidate[], layers: number): number {
    const local = candidates.filter(
      ({ failureDomain }) => failureDomain === this.dependencies.localDomain,
    );
    const localTokensPerMs = planFlow(local, layers).tokensPerMs;
    return localTokensPerMs > 0 ? localTokensPerMs : planFlow(candidates, layers).tokensPerMs;
  }
}
