/** A stream over fake servers that run it in virtual time: they send events, pause, reject and break off. */
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import {
  CallFailure,
  RerouteStatus,
  type CallerRequest,
  type Relay,
} from '../../../src/core/relay/Types.js';
import type { Stage } from '../../../src/core/routing/Types.js';
import { FakeCaller } from '../FakeCaller.js';
import type { RecordedCall } from '../FakeServers.js';
import { answerHead, backendServer, deployment, RelayFixture, route } from '../FleetFixture.js';

/** Number of events of the whole answer. */
export const EVENTS = 120;

/** Time between two events, in milliseconds. */
export const PACE_MS = 20;

/** Time from a send to its first event, in milliseconds. */
const PREFILL_MS = 40;

/** Beginning of an event. */
const EVENT_START = 'id: ';

/** Resolution of the servers' clock, in milliseconds. */
const STEP_MS = 5;

const SPANS = { s1: [0, 30], s2: [30, 60], s3: [60, 80] } as const;

/** What a further first server does with the request; undefined if it runs it. */
export type Reaction = (made: RecordedCall) => void;

interface Run {
  next: number;
  nextAt: number;
  stages: readonly Stage[];
  hasHead: boolean;
  /** Whether the beginning of the next event has been sent. */
  isInsideEvent: boolean;
}

function reject({ listener, call }: RecordedCall, stage: number): void {
  const blamedAddress = call.stages[stage].address;
  listener.onHead(answerHead({ status: 503, signed: false, notExecuted: true, blamedAddress }));
  listener.onEnd();
}

export const REACTIONS: Readonly<Record<string, Reaction | undefined>> = {
  'rejects it': (made) => reject(made, 0),
  'rejects it because of a later server': (made) => reject(made, 1),
  'rejects it, and the connection to s1 is lost': (made) => reject(made, 0),
  'loses the connection': ({ listener }) => listener.onFailure(CallFailure.ConnectionLost),
  'answers with a failure': ({ listener }) => {
    listener.onHead(answerHead({ status: 500 }));
    listener.onEnd();
  },
  'pauses as well': undefined,
  begins: undefined,
};

export class ScriptedStream {
  public readonly fixture: RelayFixture;

  public readonly caller = new FakeCaller();

  public readonly request: CallerRequest;

  public readonly relay: Relay;

  /** Servers that pause, and the ends of their pauses on the clock, in milliseconds. */
  private readonly pausedUntil = new Map<string, number>();

  /** What first servers other than s1 do until `reactsUntil`. */
  public reaction: Reaction | undefined;

  public reactsUntil = 0;

  /** Longest time between two events of the caller, in milliseconds. */
  public longestPauseMs = 0;

  private readonly runs = new Map<RecordedCall, Run>();

  private lastTextAt = 0;

  private seenText = 0;

  private seenReroutes = 0;

  /**
   * @param retries - number of retries that the retry budget starts with
   * @param resumable - whether the stream may be resumed at another first server
   */
  public constructor(retries?: number, resumable = true) {
    this.fixture = new RelayFixture(retries);
    const { deployments, directory, servers, dependencies } = this.fixture;
    servers.rerouteAnswer = { status: RerouteStatus.Rejected };
    deployments.applyIfNewer(deployment([route({ resumable })]));
    for (const [id, [from, to]] of Object.entries(SPANS)) {
      const values = { accelerator: 'h100', span: { from, to } };
      directory.put(backendServer(id, values));
      directory.put(backendServer(`${id}-spare`, { ...values, failureDomain: 'b' }));
    }
    this.request = this.fixture.request();
    this.relay = new RelayDispatcher(dependencies).accept(this.request, this.caller);
  }

  /**
   * Holds the events and the reports of servers back until the clock reaches `until`, in milliseconds. Streams
   * stop inside an event.
   */
  public pause(ids: readonly string[], until: number): void {
    for (const [{ disposed, listener }, run] of this.runs) {
      if (
        disposed ||
        run.isInsideEvent ||
        !run.hasHead ||
        !run.stages.some(({ server }) => ids.includes(server))
      )
        continue;
      listener.onData(Buffer.from(EVENT_START));
      run.isInsideEvent = true;
    }
    for (const id of ids) {
      this.pausedUntil.set(id, Math.max(until, this.pausedUntil.get(id) ?? 0));
      this.fixture.servers.silent.add(id);
    }
  }

  /** Lets all servers go on now. */
  public resumeAll(): void {
    for (const id of this.pausedUntil.keys()) this.pausedUntil.set(id, -Infinity);
  }

  private endPauses(): void {
    for (const [id, until] of this.pausedUntil) {
      if (until > this.fixture.clock.now()) continue;
      this.pausedUntil.delete(id);
      this.fixture.servers.silent.delete(id);
    }
  }

  /** Runs the servers for a time, in milliseconds, or until the request has ended. */
  public async run(ms: number): Promise<void> {
    const { clock } = this.fixture;
    const until = clock.now() + ms;
    while (clock.now() < until && this.caller.outcome === 'open') {
      this.endPauses();
      for (const made of [...this.fixture.servers.calls]) this.advance(made);
      this.notePauses();
      await clock.runUntil(clock.now() + STEP_MS);
    }
  }

  /** Whether the caller has every event once and in order. */
  public get isWhole(): boolean {
    const ids = [...this.caller.text.matchAll(/id: (\d+)\n/g)].map(([, id]) => Number(id));
    return ids.length === EVENTS && ids.every((id, index) => id === index + 1);
  }

  private notePauses(): void {
    if (this.caller.text.length === this.seenText) return;
    const now = this.fixture.clock.now();
    if (this.seenText > 0)
      this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastTextAt);
    this.lastTextAt = now;
    this.seenText = this.caller.text.length;
  }

  private advance(made: RecordedCall): void {
    if (made.disposed) return;
    const run = this.runs.get(made) ?? this.begin(made);
    if (run === undefined) return;
    this.applyReroutes(run);
    const now = this.fixture.clock.now();
    if (now < run.nextAt || run.stages.some(({ server }) => this.pausedUntil.has(server))) return;
    if (!run.hasHead) made.listener.onHead(answerHead());
    run.hasHead = true;
    if (run.next > EVENTS) {
      made.listener.onEnd();
      return;
    }
    const start = run.isInsideEvent ? '' : EVENT_START;
    made.listener.onData(Buffer.from(`${start}${run.next}\ndata: x\n\n`));
    run.isInsideEvent = false;
    run.next += 1;
    run.nextAt = now + PACE_MS;
  }

  private begin(made: RecordedCall): Run | undefined {
    const now = this.fixture.clock.now();
    const next = Number(made.call.resumeAfter ?? 0) + 1;
    const { stages } = made.call;
    const nextAt = now + PREFILL_MS;
    const run = { next, nextAt, stages, hasHead: false, isInsideEvent: false };
    this.runs.set(made, run);
    if (made.call.server.id === 's1' || now >= this.reactsUntil || this.reaction === undefined)
      return run;
    run.nextAt = Infinity;
    this.reaction(made);
    return undefined;
  }

  private applyReroutes(run: Run): void {
    const { reroutes, rerouteAnswer } = this.fixture.servers;
    const fresh = reroutes.slice(this.seenReroutes);
    this.seenReroutes = reroutes.length;
    if (rerouteAnswer.status !== RerouteStatus.Accepted) return;
    for (const { stages } of fresh) Object.assign(run, { stages });
  }
}
