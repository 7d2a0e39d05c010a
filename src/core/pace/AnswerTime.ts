/** How long work should take at servers, from the profile of their engine or from the answers of others. */
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { EngineProfile } from '../deployment/Types.js';
import type { ServerLoad } from '../routing/ServerLoad.js';
import type { Stage } from '../routing/Types.js';

/** What the time of an answer says of the servers that gave it. */
export enum AnswerSpeed {
  /** In about the time that the work takes. */
  Sound = 'sound',
  /** Neither clearly sound nor clearly slow. */
  Unclear = 'unclear',
  /** Far later than the work explains. */
  Slow = 'slow',
}

/** An answer within this multiple of the expected time is sound: peers' work is known with delay. */
const SOUND_FACTOR = 1.5;

/** Time of link delays and of the wait for a batch step, in milliseconds, that a sound answer may add. */
const SOUND_EXTRA_MS = 100;

/** An answer beyond this multiple of the expected time is slow: two queues as long as the known one. */
const SLOW_FACTOR = 4;

/** Time that a slow answer exceeds besides, in milliseconds: the longest pause that callers are promised, twice. */
const SLOW_EXTRA_MS = 400;

/** Time that each stage adds for its link and its next batch step, in milliseconds. */
const STAGE_MS = 6;

/** Weight of the newest answer in the moving average. */
const SMOOTHING = 0.1;

/**
 * Judges the time of an answer.
 * @param ms - time from the send, in milliseconds
 * @param expectedMs - time that the work should take, in milliseconds
 */
export function judgeSpeed(ms: number, expectedMs: number): AnswerSpeed {
  if (ms <= expectedMs * SOUND_FACTOR + SOUND_EXTRA_MS) return AnswerSpeed.Sound;
  return ms > expectedMs * SLOW_FACTOR + SLOW_EXTRA_MS ? AnswerSpeed.Slow : AnswerSpeed.Unclear;
}

/** State of the fleet that the expected time of an answer depends on. */
export interface FleetState {
  readonly directory: ServerDirectory;
  readonly load: ServerLoad;
}

/**
 * Returns the time from a send to the first event over a route, in milliseconds: each server reads what waits
 * before the prompt and the prompt itself, with the decode steps of its batch in between.
 * @param promptTokens - tokens of the prompt
 */
export function firstEventMs(
  { directory, load }: FleetState,
  engine: EngineProfile,
  stages: readonly Stage[],
  promptTokens: number,
): number {
  let totalMs = 0;
  let previousDomain: string | undefined;
  for (const { server, from, to } of stages) {
    const record = directory.get(server)?.record;
    const kind = engine.accelerators.get(record?.accelerator ?? '');
    if (record === undefined || kind === undefined) continue;
    const share = (to - from) / engine.layers;
    const tokens = load.prefillTokens(server) + promptTokens;
    const readMs = (tokens / engine.readTokensPerMs) * kind.readFactor;
    const perRequestMs =
      engine.sequenceStepMs + (engine.usualPromptTokens / 1000) * engine.contextStepMs;
    const stepMs = (engine.stepMs + load.requests(server) * perRequestMs) * kind.stepFactor;
    const steps = Math.ceil(tokens / engine.prefillChunkTokens) * engine.stepsPerPass;
    totalMs += STAGE_MS + (readMs + steps * stepMs) * share;
    if (previousDomain !== undefined && previousDomain !== record.failureDomain)
      totalMs += (promptTokens * engine.activationBytes * 8) / (engine.crossDomainMbps * 1000);
    previousDomain = record.failureDomain;
  }
  return totalMs;
}

/** Usual times of the answers of plain services, from servers that are not paced. */
export class UsualAnswerTimes {
  private readonly averages = new Map<string, number>();

  /** Usual time in milliseconds; undefined before the first answer. */
  public of(service: string): number | undefined {
    return this.averages.get(service);
  }

  /** @param ms - time of an answer, in milliseconds */
  public record(service: string, ms: number): void {
    const average = this.averages.get(service);
    this.averages.set(service, average === undefined ? ms : average + SMOOTHING * (ms - average));
  }
}
