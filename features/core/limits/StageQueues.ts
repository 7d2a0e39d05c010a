/** Streams that wait for their first event at servers in series, in steps of virtual time. */
import { StartWindows, type StartPlace } from '../../../src/core/limits/StartWindows.js';
import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { VirtualClock } from '../../../src/fakes/VirtualClock.js';

const STEP_MS = 20;

const STAGES = 4;

/** Streams that each stage can begin in a step. */
const STAGE_RATE = 6;

/** Streams that callers send in a step, as a share of `STAGE_RATE`. */
const LOAD = 0.9;

const OBJECTIVE_MS = 500;

/** Time after which a caller without an event leaves, in milliseconds. */
const PATIENCE_MS = 2000;

/** Time after which a refused caller comes back, in milliseconds. */
const RETRY_AFTER_MS = 2000;

interface Caller {
  readonly sentAt: number;
  /** Whether the caller comes back if it gets no event. */
  readonly returns: boolean;
  place: StartPlace | undefined;
  isOver: boolean;
}

interface Fault {
  readonly from: number;
  readonly to: number;
  /** Share of the servers that is left. */
  readonly share: number;
}

export class StageQueues {
  private readonly clock = new VirtualClock();

  private readonly random = new SeededRandom(1);

  private readonly windows: readonly StartWindows[];

  private readonly stages: Caller[][] = Array.from({ length: STAGES }, () => []);

  private returning: { at: number }[] = [];

  private readonly results: { at: number; inTime: boolean }[] = [];

  private credit = 0;

  private demand = 0;

  public constructor(private readonly options: { instances: number; isLimited: boolean }) {
    this.windows = Array.from({ length: options.instances }, () => new StartWindows(this.clock));
  }

  public play(fault: Fault, untilMs: number): void {
    for (let now = 0; now < untilMs; now += STEP_MS) {
      this.clock.runSync(now);
      this.sendNew(now);
      this.leave(now);
      const isHit = now >= fault.from && now < fault.to;
      this.credit += STAGE_RATE * (isHit ? fault.share : 1);
      const served = Math.floor(this.credit);
      this.credit -= served;
      for (let stage = STAGES - 1; stage >= 0; stage -= 1) this.serve(stage, served, now);
    }
  }

  /** Share of the callers who began to wait in a span whose first event came within the objective. */
  public shareInTime(from: number, to: number): number {
    const judged = this.results.filter(({ at }) => at >= from && at < to);
    return judged.filter(({ inTime }) => inTime).length / judged.length;
  }

  private sendNew(now: number): void {
    this.demand += STAGE_RATE * LOAD;
    for (; this.demand >= 1; this.demand -= 1) this.send(now, true);
    const due = this.returning.filter(({ at }) => at <= now);
    this.returning = this.returning.filter(({ at }) => at > now);
    due.forEach(() => this.send(now, false));
  }

  private send(now: number, returns: boolean): void {
    const windows = this.windows[Math.floor(this.random.next() * this.windows.length)];
    const place = windows.open('engine', OBJECTIVE_MS);
    const caller: Caller = { sentAt: now, returns, place, isOver: false };
    if (place !== undefined || !this.options.isLimited) this.stages[0].push(caller);
    else this.end(caller, false, now + RETRY_AFTER_MS * (0.75 + 0.5 * this.random.next()));
  }

  private leave(now: number): void {
    for (const stage of this.stages) {
      for (const caller of stage) {
        if (caller.isOver || now - caller.sentAt < PATIENCE_MS) continue;
        caller.place?.recordAbandonment();
        this.end(caller, false, now);
      }
    }
  }

  /** Serves the callers who are still there; what earlier stages did for the others is lost. */
  private serve(stage: number, count: number, now: number): void {
    this.stages[stage] = this.stages[stage].filter(({ isOver }) => !isOver);
    for (const caller of this.stages[stage].splice(0, count)) {
      if (stage + 1 < STAGES) {
        this.stages[stage + 1].push(caller);
        continue;
      }
      caller.place?.recordFirstEvent();
      this.end(caller, now - caller.sentAt <= OBJECTIVE_MS, Infinity);
    }
  }

  private end(caller: Caller, inTime: boolean, returnsAt: number): void {
    caller.isOver = true;
    this.results.push({ at: caller.sentAt, inTime });
    if (caller.returns && returnsAt < Infinity) this.returning.push({ at: returnsAt });
  }
}
