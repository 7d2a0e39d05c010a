/**
 * Decides which requests may be sent to servers, after crashes that requests seem to cause.
 *
 * A crash is blamed on what its server had not begun to answer: on parts that no server ever answered, or,
 * if there are none, on the part whose last answer is the oldest. A part that is blamed for several crashes
 * since its last answer is quarantined. Answers elsewhere release it, so that parts which requests merely
 * share with the harmful one are not affected. After the hold time, instances take turns to try the part
 * again with a single request.
 *
 * Whole requests are judged by the same rules under `REQUEST_POLICY`; a part is then a request's fingerprint.
 */
import type { Clock } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';
import type {
  CrashEvidence,
  ProbationTurn,
  Quarantine,
  QuarantineChange,
  QuarantinedPart,
} from './Types.js';

/** How crashes are judged. */
export interface QuarantinePolicy {
  /** Crashes after which a part that no server ever answered is quarantined. */
  readonly crashesOfUnknownPart: number;
  /** Crashes after which a part that servers did answer before is quarantined. */
  readonly crashesOfAnsweredPart: number;
  /**
   * Crashes of several servers within this time count once, in milliseconds: they have a common cause, such
   * as a power loss, rather than one request each.
   */
  readonly sameMomentMs: number;
  /** Hold time after the smallest number of crashes, in milliseconds; doubles with each further one. */
  readonly firstHoldMs: number;
  /**
   * Whether a crash is blamed on every part that was not answered since, rather than on the least known ones
   * alone. It then only suspects what was there, so answers are only remembered of parts that crashes name.
   */
  readonly blamesAll: boolean;
  /** Bounds of the evidence that is kept. */
  readonly maxCrashes: number;
  readonly maxPartsPerCrash: number;
}

const PART_POLICY: QuarantinePolicy = {
  crashesOfUnknownPart: 3,
  crashesOfAnsweredPart: 5,
  sameMomentMs: 150,
  firstHoldMs: 10_000,
  blamesAll: false,
  maxCrashes: 32,
  maxPartsPerCrash: 8,
};

/**
 * Policy for whole requests. One that is sent again after a crash ends its next server within a tenth of a
 * second, which must count. At most three tries may follow the third crash, so they begin later than for parts,
 * which many requests have.
 */
export const REQUEST_POLICY: QuarantinePolicy = {
  crashesOfUnknownPart: 3,
  crashesOfAnsweredPart: 3,
  sameMomentMs: 20,
  firstHoldMs: 15_000,
  blamesAll: true,
  maxCrashes: 16,
  // As many requests may wait at a server that ends, and any of them may be the cause.
  maxPartsPerCrash: 64,
};

const MAX_HOLD_MS = 600_000;

/** Length of an instance's turn to try a part again, in milliseconds. */
const TURN_MS = 2000;

/**
 * Share of a turn in which the request may be sent; the result reaches the other instances in the rest of
 * the turn.
 */
const SENDING_SHARE_OF_TURN = 0.5;

/** Time for which evidence that does not quarantine a part is kept, in milliseconds. */
const EVIDENCE_LIFETIME_MS = 60_000;

/** Maximum number of parts in the evidence for a peer, over all crashes; 6 KB of fingerprints. */
const MAX_SHARED_PARTS = 256;

/** Number of parts whose last answer is remembered. */
const MAX_ANSWERED_PARTS = 4096;

/**
 * Longest time that evidence is on its way to a peer, in milliseconds: the time limit of digests. Reported
 * answers count as this much older, so that relaying one back and forth never makes it more recent.
 */
const MAX_TRANSIT_MS = 500;

interface Crash {
  readonly server: string;
  readonly incarnation: number;
  at: number;
  parts: readonly string[];
}

/**
 * Counts crashes, those at the same moment once.
 * @param sameMomentMs - length of a moment, in milliseconds
 */
function countMoments(times: number[], sameMomentMs: number): number {
  let moments = 0;
  let last = -Infinity;
  for (const time of times.sort((a, b) => a - b)) {
    if (time - last < sameMomentMs) continue;
    moments += 1;
    last = time;
  }
  return moments;
}

export class PartQuarantine implements Quarantine {
  /** Crashes by server and incarnation. */
  private readonly crashes = new Map<string, Crash>();

  /** Time of the last answer by part, least recently updated first. */
  private readonly answeredAt = new Map<string, number>();

  private quarantined: ReadonlyMap<string, QuarantinedPart> = new Map();

  /** Time of the last attempt of this instance to try a quarantined part again. */
  private readonly triedAt = new Map<string, number>();

  private readonly newCrashes = new Emitter<undefined>();

  private readonly changes = new Emitter<QuarantineChange>();

  /** Fires when a crash becomes known, here or from a peer. */
  public readonly onCrash = this.newCrashes.event;

  /** Fires when a part is quarantined, when it is held for longer, and when it is released. */
  public readonly onChange = this.changes.event;

  /** @param turn - returns the current place of this instance among all */
  public constructor(
    private readonly clock: Clock,
    private readonly turn: () => ProbationTurn,
    private readonly policy = PART_POLICY,
  ) {}

  /**
   * Records that a server's process ended before it began to answer a request.
   * @param parts - parts of that request which other requests may share
   */
  public recordCrash(server: string, incarnation: number, parts: readonly string[]): void {
    this.addCrash(server, incarnation, this.clock.now(), parts);
    this.reassess();
  }

  /** Records that a server answered a request: none of its parts keeps a server from answering. */
  public recordAnswer(parts: readonly string[]): void {
    const now = this.clock.now();
    for (const part of parts) {
      if (!this.policy.blamesAll || this.isSuspect(part)) this.addAnswer(part, now);
    }
    if (parts.some((part) => this.quarantined.has(part))) this.reassess();
  }

  /**
   * Decides whether a request may be sent to a server. Every send of a request asks this, also after it was
   * sent before.
   * @returns the part that forbids it; undefined if it may be sent
   */
  public refuse(parts: readonly string[]): QuarantinedPart | undefined {
    const found = this.find(parts);
    for (const quarantined of found) if (!this.isOwnTurn(quarantined)) return quarantined;
    for (const { part } of found) this.triedAt.set(part, this.clock.now());
    return undefined;
  }

  /** Finds the parts of a request that are quarantined. */
  public find(parts: readonly string[]): QuarantinedPart[] {
    if (this.quarantined.size === 0) return [];
    if (this.removeExpired()) this.reassess();
    const found: QuarantinedPart[] = [];
    for (const part of parts) {
      const quarantined = this.quarantined.get(part);
      if (quarantined !== undefined) found.push(quarantined);
    }
    return found;
  }

  /** Number of quarantined parts. */
  public get size(): number {
    return this.quarantined.size;
  }

  /** Returns what is known here, for a peer; undefined if nothing is. */
  public evidence(): CrashEvidence | undefined {
    if (this.crashes.size === 0) return undefined;
    if (this.removeExpired()) this.reassess();
    const now = this.clock.now();
    const parts = new Set<string>();
    const crashes = [];
    const most = Math.floor(MAX_SHARED_PARTS / this.crashes.size);
    for (const { server, incarnation, at, parts: known } of this.crashes.values()) {
      const blamed = known.length <= most ? known : this.mostSuspect(known).slice(0, most);
      crashes.push({ server, incarnation, ageMs: Math.round(now - at), parts: blamed });
      for (const part of blamed) parts.add(part);
    }
    const answers = [];
    for (const part of parts) {
      const at = this.answeredAt.get(part);
      if (at !== undefined) answers.push({ part, ageMs: Math.round(now - at) });
    }
    return { crashes, answers };
  }

  /**
   * Adds what a peer knows.
   * @param source - name of the peer
   */
  public merge({ crashes, answers }: CrashEvidence, source: string): void {
    const now = this.clock.now();
    for (const { part, ageMs } of answers) this.addAnswer(part, now - ageMs - MAX_TRANSIT_MS);
    for (const { server, incarnation, ageMs, parts } of crashes)
      this.addCrash(server, incarnation, now - ageMs, parts);
    this.reassess(source);
  }

  private addAnswer(part: string, at: number): void {
    const known = this.answeredAt.get(part) ?? -Infinity;
    if (at <= known) return;
    this.answeredAt.delete(part);
    this.answeredAt.set(part, at);
    if (this.answeredAt.size <= MAX_ANSWERED_PARTS) return;
    const [oldest] = this.answeredAt.keys();
    this.answeredAt.delete(oldest);
  }

  private addCrash(
    server: string,
    incarnation: number,
    at: number,
    parts: readonly string[],
  ): void {
    if (parts.length === 0) return;
    const key = `${server}/${incarnation}`;
    const known = this.crashes.get(key);
    if (known === undefined) {
      this.crashes.set(key, { server, incarnation, at, parts: this.mostSuspect(parts) });
      this.newCrashes.fire(undefined);
      return;
    }
    known.at = Math.min(known.at, at);
    known.parts = this.mostSuspect([...known.parts, ...parts]);
  }

  /** Whether a crash names a part. */
  private isSuspect(part: string): boolean {
    return this.countCrashesOf(part) > 0;
  }

  private countCrashesOf(part: string): number {
    let count = 0;
    for (const { parts } of this.crashes.values()) if (parts.includes(part)) count += 1;
    return count;
  }

  /**
   * Returns at most `maxPartsPerCrash` parts: those with the oldest answers, and if all that were not answered
   * since are blamed, first those that other crashes name.
   */
  private mostSuspect(parts: readonly string[]): string[] {
    const { blamesAll, maxPartsPerCrash } = this.policy;
    const distinct = [...new Set(parts)];
    if (distinct.length <= 1) return distinct;
    const repeats = new Map(distinct.map((part) => [part, this.countCrashesOf(part)]));
    const count = (part: string): number => (blamesAll ? (repeats.get(part) ?? 0) : 0);
    const age = (part: string): number => this.answeredAt.get(part) ?? -Infinity;
    return distinct
      .sort((a, b) => count(b) - count(a) || age(a) - age(b) || a.localeCompare(b))
      .slice(0, maxPartsPerCrash);
  }

  /** Returns the parts that a crash is blamed on. */
  private blamedFor({ at, parts }: Crash): readonly string[] {
    if (this.policy.blamesAll)
      return parts.filter((part) => (this.answeredAt.get(part) ?? -Infinity) < at);
    const unknown = parts.filter((part) => !this.answeredAt.has(part));
    if (unknown.length > 0) return unknown;
    let oldest: string | undefined;
    let oldestAt = at;
    for (const part of parts) {
      const answeredAt = this.answeredAt.get(part) as number;
      if (answeredAt >= oldestAt) continue;
      oldest = part;
      oldestAt = answeredAt;
    }
    return oldest === undefined ? [] : [oldest];
  }

  /** Works out anew what is quarantined. */
  private reassess(source?: string): void {
    const before = this.quarantined;
    this.removeExpired();
    const crashTimes = new Map<string, number[]>();
    for (const crash of this.crashes.values()) {
      for (const part of this.blamedFor(crash)) {
        const times = crashTimes.get(part);
        if (times === undefined) crashTimes.set(part, [crash.at]);
        else times.push(crash.at);
      }
    }
    const after = new Map<string, QuarantinedPart>();
    for (const [part, times] of crashTimes) {
      const found = this.assess(part, times);
      if (found !== undefined) after.set(part, found);
    }
    this.quarantined = after;
    this.trim(crashTimes);
    this.report(before, after, source);
  }

  private assess(part: string, times: number[]): QuarantinedPart | undefined {
    const { crashesOfAnsweredPart, crashesOfUnknownPart, sameMomentMs, firstHoldMs } = this.policy;
    const crashes = countMoments(times, sameMomentMs);
    const isKnown = this.answeredAt.has(part);
    if (crashes < (isKnown ? crashesOfAnsweredPart : crashesOfUnknownPart)) return undefined;
    const lastCrashAt = Math.max(...times);
    const holdMs = Math.min(MAX_HOLD_MS, firstHoldMs * 2 ** (crashes - crashesOfUnknownPart));
    return { part, crashes, lastCrashAt, heldUntil: lastCrashAt + holdMs };
  }

  private report(
    before: ReadonlyMap<string, QuarantinedPart>,
    after: ReadonlyMap<string, QuarantinedPart>,
    source: string | undefined,
  ): void {
    for (const [part, quarantined] of after) {
      const isHeld = quarantined.crashes > (before.get(part)?.crashes ?? 0);
      if (isHeld) this.changes.fire({ quarantined, isHeld, source });
    }
    for (const [part, quarantined] of before) {
      if (after.has(part)) continue;
      this.triedAt.delete(part);
      this.changes.fire({ quarantined, isHeld: false, source });
    }
  }

  /** Removes the crashes beyond the limit, first those that say least about any part. */
  private trim(crashTimes: ReadonlyMap<string, readonly number[]>): void {
    const { maxCrashes } = this.policy;
    if (this.crashes.size <= maxCrashes) return;
    const weight = (crash: Crash): number =>
      Math.max(0, ...this.blamedFor(crash).map((part) => crashTimes.get(part)?.length ?? 0));
    const ranked = [...this.crashes]
      .map(([key, crash]) => ({ key, at: crash.at, weight: weight(crash) }))
      .sort((a, b) => a.weight - b.weight || a.at - b.at);
    for (const { key } of ranked.slice(0, ranked.length - maxCrashes)) this.crashes.delete(key);
  }

  /**
   * Removes evidence that is too old and quarantines nothing any more.
   * @returns whether there was any
   */
  private removeExpired(): boolean {
    const now = this.clock.now();
    let hasExpired = false;
    for (const [key, crash] of this.crashes) {
      let keptUntil = crash.at + EVIDENCE_LIFETIME_MS;
      for (const part of this.blamedFor(crash)) {
        const { heldUntil = 0 } = this.quarantined.get(part) ?? {};
        keptUntil = Math.max(keptUntil, heldUntil + EVIDENCE_LIFETIME_MS);
      }
      if (keptUntil > now) continue;
      this.crashes.delete(key);
      hasExpired = true;
    }
    return hasExpired;
  }

  /** Whether this instance may send a request with a part whose hold time has passed. */
  private isOwnTurn({ part, heldUntil }: QuarantinedPart): boolean {
    const now = this.clock.now();
    if (now < heldUntil || now - (this.triedAt.get(part) ?? -Infinity) < TURN_MS) return false;
    const { rank, instances } = this.turn();
    const turns = (now - heldUntil) / TURN_MS;
    if (turns % 1 >= SENDING_SHARE_OF_TURN) return false;
    return Math.floor(turns) % instances === rank;
  }
}
