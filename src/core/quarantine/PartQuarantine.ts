/**
 * Decides which requests may be sent to servers, after crashes that requests seem to cause.
 *
 * A crash is blamed on what its server had not begun to answer: on parts that no server ever answered, or,
 * if there are none, on the part whose last answer is the oldest. A part that is blamed for several crashes
 * since its last answer is quarantined. Answers elsewhere release it, so that parts which requests merely
 * share with the harmful one are not affected. After the hold time, instances take turns to try the part
 * again with a single request.
 */
import type { Clock } from '../../ports/Types.js';
import { Emitter } from '../Emitter.js';
import type { CrashEvidence, ProbationTurn, QuarantineChange, QuarantinedPart } from './Types.js';

/** Crashes after which a part that no server ever answered is quarantined. */
const CRASHES_OF_UNKNOWN_PART = 3;

/** Crashes after which a part that servers did answer before is quarantined. */
const CRASHES_OF_ANSWERED_PART = 5;

/**
 * Crashes of several servers within this time count once, in milliseconds: they have a common cause, such as
 * a power loss, rather than one request each.
 */
const SAME_MOMENT_MS = 150;

/** Hold time after the smallest number of crashes, in milliseconds; doubles with each further one. */
const FIRST_HOLD_MS = 10_000;

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

/** Bounds of the evidence that is kept and sent to each peer. */
const MAX_CRASHES = 32;
const MAX_PARTS_PER_CRASH = 8;

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

/** Counts crashes, those at the same moment once. */
function countMoments(times: number[]): number {
  let moments = 0;
  let last = -Infinity;
  for (const time of times.sort((a, b) => a - b)) {
    if (time - last < SAME_MOMENT_MS) continue;
    moments += 1;
    last = time;
  }
  return moments;
}

export class PartQuarantine {
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
    for (const part of parts) this.addAnswer(part, now);
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
    for (const { server, incarnation, at, parts: blamed } of this.crashes.values()) {
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

  /** Returns at most `MAX_PARTS_PER_CRASH` parts, those with the oldest answers. */
  private mostSuspect(parts: readonly string[]): string[] {
    const age = (part: string): number => this.answeredAt.get(part) ?? -Infinity;
    return [...new Set(parts)]
      .sort((a, b) => age(a) - age(b) || a.localeCompare(b))
      .slice(0, MAX_PARTS_PER_CRASH);
  }

  /** Returns the parts that a crash is blamed on. */
  private blamedFor({ at, parts }: Crash): readonly string[] {
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
    const crashes = countMoments(times);
    const isKnown = this.answeredAt.has(part);
    if (crashes < (isKnown ? CRASHES_OF_ANSWERED_PART : CRASHES_OF_UNKNOWN_PART)) return undefined;
    const lastCrashAt = Math.max(...times);
    const holdMs = Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** (crashes - CRASHES_OF_UNKNOWN_PART));
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
    if (this.crashes.size <= MAX_CRASHES) return;
    const weight = (crash: Crash): number =>
      Math.max(0, ...this.blamedFor(crash).map((part) => crashTimes.get(part)?.length ?? 0));
    const ranked = [...this.crashes]
      .map(([key, crash]) => ({ key, at: crash.at, weight: weight(crash) }))
      .sort((a, b) => a.weight - b.weight || a.at - b.at);
    for (const { key } of ranked.slice(0, ranked.length - MAX_CRASHES)) this.crashes.delete(key);
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
