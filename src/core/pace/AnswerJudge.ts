/** Judges by the time of an answer what it says of the servers that gave it. */
import type { Service } from '../deployment/Types.js';
import type { Clock } from '../../ports/Types.js';
import type { Stage } from '../routing/Types.js';
import {
  AnswerSpeed,
  firstEventMs,
  judgeSpeed,
  UsualAnswerTimes,
  type FleetState,
} from './AnswerTime.js';
import type { PacedServer } from './PacedServer.js';
import type { PaceTrial } from './PaceTrial.js';

/** What an answer says of the servers that gave it. */
export interface Judgement {
  readonly speed: AnswerSpeed;
  /** Whether it cannot have been late for a stall of this process. */
  readonly isCertain: boolean;
}

/** A send of a request. */
export interface TrialStart {
  readonly service: Service;
  /** Its route; empty for a plain service. */
  readonly stages: readonly Stage[];
  /** Servers of the route that are paced. */
  readonly paced: readonly PacedServer[];
  readonly promptTokens: number;
}

export class AnswerJudge {
  private readonly usualTimes = new UsualAnswerTimes();

  /** Time of the last sound answer of a server without a pace. */
  private lastSoundAt = -Infinity;

  public constructor(
    private readonly clock: Clock,
    private readonly state: FleetState,
  ) {}

  /** Notes what a request meets at its servers, before its work is added to theirs. */
  public start({ service, stages, paced, promptTokens }: TrialStart): PaceTrial {
    const { load } = this.state;
    const isTimed = paced.length > 0 && service.engine !== undefined;
    return {
      service: service.name,
      sentAt: this.clock.now(),
      servers: paced.map((server) => ({
        paced: server,
        incarnation: server.incarnation,
        generation: server.generation,
        ownRequests: load.ownWork(server.id).requests + 1,
        inProgress: load.requests(server.id) + 1,
      })),
      stages: Math.max(1, stages.length),
      expectedMs: isTimed
        ? firstEventMs(this.state, service.engine, stages, promptTokens)
        : undefined,
    };
  }

  /** Judges an answer that has just begun, or that is complete if its service is plain. */
  public judge({ service, sentAt, servers, expectedMs }: PaceTrial): Judgement {
    const now = this.clock.now();
    const ms = now - sentAt;
    const usualMs = expectedMs ?? this.usualTimes.of(service);
    const speed = usualMs === undefined ? AnswerSpeed.Sound : judgeSpeed(ms, usualMs);
    if (servers.length > 0) return { speed, isCertain: this.lastSoundAt > sentAt };
    this.usualTimes.record(service, ms);
    if (speed === AnswerSpeed.Sound) this.lastSoundAt = now;
    return { speed, isCertain: true };
  }
}
