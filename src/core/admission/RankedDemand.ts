/**
 * Tracks the recent demand for a service by rank, and how much of it was admitted.
 *
 * Counts decay, so that room which is kept for a rank is given back soon after its demand ends.
 */

/** Half-life of a recorded request's weight, in milliseconds: answers take about as long. */
const HALF_LIFE_MS = 2000;

/** Weight of the requests of a rank below which nothing is concluded from how many were admitted. */
const MIN_WEIGHT = 3;

/**
 * A rank that is admitted less than this share as often as all ranks together sees the whole room until it has
 * caught up. At a quarter, callers take a service for broken; the rest is for the delay of what is counted.
 */
const STARVED_SHARE = 0.35;

interface Tally {
  requests: number;
  tokens: number;
  admitted: number;
  admittedTokens: number;
  decayedAt: number;
}

function decay(tally: Tally, now: number): void {
  const factor = 0.5 ** ((now - tally.decayedAt) / HALF_LIFE_MS);
  tally.requests *= factor;
  tally.tokens *= factor;
  tally.admitted *= factor;
  tally.admittedTokens *= factor;
  tally.decayedAt = now;
}

export class RankedDemand {
  private readonly services = new Map<string, Map<number, Tally>>();

  /**
   * Records that a request asks for room.
   * @param tokens - tokens of prompt and answer
   * @param now - clock time in milliseconds
   */
  public recordRequest(service: string, rank: number, tokens: number, now: number): void {
    const tally = this.tally(service, rank, now);
    tally.requests += 1;
    tally.tokens += tokens;
  }

  /** Records that a request was admitted. */
  public recordAdmission(service: string, rank: number, tokens: number, now: number): void {
    const tally = this.tally(service, rank, now);
    tally.admitted += 1;
    tally.admittedTokens += tokens;
  }

  /** Records that a request could not have been admitted, however much room it was left. */
  public recordUnservable(service: string, rank: number, now: number): void {
    const tally = this.tally(service, rank, now);
    tally.requests = Math.max(0, tally.requests - 1);
  }

  /**
   * Returns what more urgent ranks asked for lately, relative to what all ranks were given. A crowd of less
   * urgent requests does not make it smaller, because it is given no more than the servers have.
   * @returns a fraction of the tokens, from 0 to 1
   */
  public moreUrgentShare(service: string, rank: number, now: number): number {
    let urgent = 0;
    let given = 0;
    let admitted = 0;
    for (const [other, tally] of this.services.get(service) ?? []) {
      decay(tally, now);
      if (other < rank) urgent += tally.tokens;
      given += tally.admittedTokens;
      admitted += tally.admitted;
    }
    if (urgent === 0) return 0;
    // Few admissions count as `MIN_WEIGHT`, so that one urgent request after a calm time keeps little room.
    const scale = Math.max(1, MIN_WEIGHT / Math.max(1, admitted));
    return Math.min(1, urgent / (Math.max(given, urgent) * scale));
  }

  /** Returns the fraction of the recent requests of more urgent ranks that were not admitted. */
  public moreUrgentMisses(service: string, rank: number, now: number): number {
    let requests = 0;
    let admitted = 0;
    for (const [other, tally] of this.services.get(service) ?? []) {
      if (other >= rank) continue;
      decay(tally, now);
      requests += tally.requests;
      admitted += tally.admitted;
    }
    return requests < MIN_WEIGHT ? 0 : Math.max(0, 1 - admitted / requests);
  }

  /** Whether a rank that is less urgent is starved. */
  public isLessUrgentStarved(service: string, rank: number, now: number): boolean {
    for (const other of this.services.get(service)?.keys() ?? [])
      if (other > rank && this.isStarved(service, other, now)) return true;
    return false;
  }

  /** Whether a rank is admitted much less often than all ranks together. */
  public isStarved(service: string, rank: number, now: number): boolean {
    let requests = 0;
    let admitted = 0;
    for (const tally of this.services.get(service)?.values() ?? []) {
      decay(tally, now);
      requests += tally.requests;
      admitted += tally.admitted;
    }
    const own = this.tally(service, rank, now);
    if (own.requests < MIN_WEIGHT || admitted === 0) return false;
    return own.admitted / own.requests < (STARVED_SHARE * admitted) / requests;
  }

  private tally(service: string, rank: number, now: number): Tally {
    let ranks = this.services.get(service);
    if (ranks === undefined) {
      ranks = new Map();
      this.services.set(service, ranks);
    }
    let tally = ranks.get(rank);
    if (tally === undefined) {
      tally = { requests: 0, tokens: 0, admitted: 0, admittedTokens: 0, decayedAt: now };
      ranks.set(rank, tally);
    }
    decay(tally, now);
    return tally;
  }
}
