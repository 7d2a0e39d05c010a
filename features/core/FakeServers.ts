import type { ReportPort } from '../../src/core/placement/Types.js';
import {
  RerouteStatus,
  type RerouteAnswer,
  type ServerCall,
  type ServerCallListener,
  type ServerPort,
} from '../../src/core/relay/Types.js';
import type { Stage } from '../../src/core/routing/Types.js';
import type { VirtualClock } from '../../src/fakes/VirtualClock.js';

/** One call that a relay made, with the listener through which the test answers it. */
export interface RecordedCall {
  readonly call: ServerCall;
  readonly listener: ServerCallListener;
  disposed: boolean;
  isPaused: boolean;
}

/** Records calls; the test answers them in place of the servers. */
export class FakeServers implements ServerPort, ReportPort {
  public readonly calls: RecordedCall[] = [];

  public readonly reroutes: { requestId: string; stages: readonly Stage[] }[] = [];

  /** Servers that do not answer a report before its timeout. */
  public readonly silent = new Set<string>();

  public rerouteAnswer: RerouteAnswer = { status: RerouteStatus.Accepted };

  public blocked: { id: string; address: string }[] = [];

  public reportCount = 0;

  public constructor(private readonly clock: VirtualClock) {}

  public get lastCall(): RecordedCall {
    return this.calls[this.calls.length - 1];
  }

  public call(call: ServerCall, listener: ServerCallListener) {
    const recorded: RecordedCall = { call, listener, disposed: false, isPaused: false };
    this.calls.push(recorded);
    return {
      dispose: () => {
        recorded.disposed = true;
      },
      pause: () => {
        recorded.isPaused = true;
      },
      resume: () => {
        recorded.isPaused = false;
      },
    };
  }

  public async reroute(
    _id: string,
    _address: string,
    requestId: string,
    stages: readonly Stage[],
  ): Promise<RerouteAnswer> {
    this.reroutes.push({ requestId, stages });
    return this.rerouteAnswer;
  }

  public isListening(): Promise<boolean> {
    return Promise.resolve(true);
  }

  public async report(id: string, _address: string, timeoutMs: number) {
    this.reportCount += 1;
    if (this.silent.has(id)) {
      await this.clock.sleep(timeoutMs);
      return undefined;
    }
    return { ordersAccepted: 0, span: undefined, busy: false, slowness: 1, blocked: this.blocked };
  }
}
