/**
 * Shares the links between failure domains among all instances.
 *
 * Answers a fleet that sends more activations between two failure domains than their link carries: a prompt
 * takes tens of milliseconds of the link, transfers run one after another, and once they queue for longer than
 * callers wait, everything that crosses is lost while servers stand idle. Each instance has an even share of
 * the link's time. An allowance for one transfer arises at the rate of that share and soon lapses if it is not
 * used; the instances' allowances arise at different times, so the link gets a steady rate although no instance
 * asks another. A route that would need more goes elsewhere, or is not there.
 */
import type { Clock, Random } from '../../ports/Types.js';
import type { EngineProfile } from '../deployment/Types.js';
import type { Stage } from './Types.js';

/** Share of a link's time that is given out; the rest is left for errors in the size of answers. */
const USABLE_SHARE = 0.6;

/**
 * Time after which an allowance that is not used lapses, in milliseconds: instances that have been idle must
 * not start more transfers together than callers can wait for.
 */
const ALLOWANCE_LIFETIME_MS = 350;

/** Two failure domains, in the order of a transfer or not. */
export interface DomainPair {
  readonly from: string;
  readonly to: string;
}

interface Link {
  /** Allowances that have arisen so far; the fraction is the part of the next one. */
  arisen: number;
  /** Number of the last allowance that was used or passed over. */
  used: number;
  updatedAt: number;
}

/** Time that the activations of a number of tokens take on a link, in milliseconds. */
function transferMs(engine: EngineProfile, tokens: number): number {
  return (tokens * engine.activationBytes * 8) / (engine.crossDomainMbps * 1000);
}

function usualTokens({ usualPromptTokens, usualAnswerTokens }: EngineProfile): number {
  return Math.max(1, usualPromptTokens + usualAnswerTokens);
}

export class DomainLinks {
  private readonly links = new Map<string, Link>();

  private withheldCount = 0;

  /** @param countInstances - returns the number of instances that share each link */
  public constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly countInstances: () => number,
  ) {}

  /** Number of times that a search found no allowance on a link. */
  public get withheld(): number {
    return this.withheldCount;
  }

  /** Whether a search may cross a link. */
  public hasRoom(engine: EngineProfile, pair: DomainPair): boolean {
    const isWithheld = this.isWithheld(engine, pair);
    if (isWithheld) this.withheldCount += 1;
    return !isWithheld;
  }

  /** Lists the links between failure domains that have no allowance, for example `a|b`. */
  public withheldAmong(engine: EngineProfile, domains: readonly string[]): string[] {
    const withheld: string[] = [];
    for (const [index, from] of domains.entries()) {
      for (const to of domains.slice(index + 1))
        if (this.isWithheld(engine, { from, to })) withheld.push(`${from}|${to}`);
    }
    return withheld;
  }

  /**
   * Uses the allowances of a route that a request is about to take.
   * @param tokens - tokens of prompt and answer whose activations are transferred
   * @param before - stages of the route that it leaves; links between them are not used again
   */
  public recordRoute(
    engine: EngineProfile,
    stages: readonly Stage[],
    tokens: number,
    before: readonly Stage[],
  ): void {
    for (const [index, { server, failureDomain: from }] of stages.entries()) {
      const next = stages[index + 1];
      if (from === undefined || next?.failureDomain === undefined) continue;
      if (from === next.failureDomain || hasStep(before, server, next.server)) continue;
      this.recordTransfer(engine, { from, to: next.failureDomain }, tokens);
    }
  }

  /** Whether this instance has no allowance on a link now. */
  public isWithheld(engine: EngineProfile, pair: DomainPair): boolean {
    const usualMs = transferMs(engine, usualTokens(engine));
    if (usualMs === 0) return false;
    const rate = this.ownRate(usualMs);
    const link = this.current(pair, rate);
    return nextAllowance(link, rate) > link.arisen;
  }

  /** Uses an allowance; a transfer of more tokens than usual uses up to several, one of fewer a part. */
  public recordTransfer(engine: EngineProfile, pair: DomainPair, tokens: number): void {
    const usual = usualTokens(engine);
    const usualMs = transferMs(engine, usual);
    if (usualMs === 0) return;
    const rate = this.ownRate(usualMs);
    const link = this.current(pair, rate);
    link.used = nextAllowance(link, rate) + tokens / usual - 1;
  }

  /** Share of this instance, in usual transfers per millisecond. */
  private ownRate(usualMs: number): number {
    return USABLE_SHARE / usualMs / Math.max(1, this.countInstances());
  }

  /** Returns the link with its allowances as of now. Both directions share one. */
  private current({ from, to }: DomainPair, rate: number): Link {
    const key = from < to ? `${from}|${to}` : `${to}|${from}`;
    const now = this.clock.now();
    let link = this.links.get(key);
    if (link === undefined) {
      const saved = rate * ALLOWANCE_LIFETIME_MS;
      link = { arisen: saved + this.random.next(), used: 0, updatedAt: now };
      this.links.set(key, link);
    }
    link.arisen += rate * (now - link.updatedAt);
    link.updatedAt = now;
    return link;
  }
}

/** Whether a route passes from one server to another. */
function hasStep(stages: readonly Stage[], from: string, to: string): boolean {
  return stages.some(({ server }, at) => server === from && stages[at + 1]?.server === to);
}

/** Number of the next allowance that can be used, now or later. Those that lapsed are passed over. */
function nextAllowance({ arisen, used }: Link, rate: number): number {
  const firstValid = Math.ceil(arisen - rate * ALLOWANCE_LIFETIME_MS);
  return Math.max(used + 1, firstValid);
}
