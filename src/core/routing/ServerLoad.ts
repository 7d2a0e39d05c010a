/**
 * Tracks the outstanding work at each server, as far as this instance knows. Used by router instances;
 * entry instances use `LoadTable`.
 */
import { Emitter } from '../Emitter.js';
import { crossedLinks } from './LinkCosts.js';
import type { Stage } from './Types.js';

/**
 * Outstanding work at one server, or on the link between two failure domains. The work reports to peers have
 * properties of the same names.
 */
export interface OutstandingWork {
  /** Requests in progress. */
  requests: number;
  /** Prompt tokens in prefill. */
  readingTokens: number;
  /** KV cache of the requests in progress, in tokens times layers. */
  tokenLayers: number;
}

const NO_WORK: Readonly<OutstandingWork> = { requests: 0, readingTokens: 0, tokenLayers: 0 };

export class ServerLoad {
  private readonly ownWorkByServer = new Map<string, OutstandingWork>();

  /** Work that other instances have reported, by server. */
  private readonly peerWorkByServer = new Map<string, OutstandingWork>();

  /** Work at a server that other instances have reported. */
  public peerWork(server: string): Readonly<OutstandingWork> {
    return this.peerWorkByServer.get(server) ?? NO_WORK;
  }

  private readonly releases = new Emitter<void>();

  /** Fires after work of this instance has ended, or the work of others has become known anew. */
  public readonly onRelease = this.releases.event;

  public ownWork(server: string): Readonly<OutstandingWork> {
    return this.ownWorkByServer.get(server) ?? NO_WORK;
  }

  /** Outstanding work of all instances at a server. */
  public work(server: string): Readonly<OutstandingWork> {
    const own = this.ownWorkByServer.get(server);
    const peers = this.peerWorkByServer.get(server);
    if (own === undefined || peers === undefined) return own ?? peers ?? NO_WORK;
    return {
      requests: own.requests + peers.requests,
      readingTokens: own.readingTokens + peers.readingTokens,
      tokenLayers: own.tokenLayers + peers.tokenLayers,
    };
  }

  /** Requests of all instances in progress at a server. */
  public requests(server: string): number {
    return this.ownWork(server).requests + this.peerWork(server).requests;
  }

  public prefillTokens(server: string): number {
    return this.ownWork(server).readingTokens + this.peerWork(server).readingTokens;
  }

  public tokenLayers(server: string): number {
    return this.ownWork(server).tokenLayers + this.peerWork(server).tokenLayers;
  }

  /**
   * Adds a request's work to every server of its route and every link that it crosses; negative values remove it.
   * @param tokens - tokens of prompt and answer that take up KV cache
   * @param prefillTokens - prompt tokens in prefill
   */
  public add(
    stages: readonly Stage[],
    requests: number,
    tokens: number,
    prefillTokens: number,
  ): void {
    for (const { server, from, to } of stages)
      this.addWork(server, requests, tokens * (to - from), prefillTokens);
    for (const link of crossedLinks(stages)) this.addWork(link, requests, 0, prefillTokens);
    if (requests < 0 || prefillTokens < 0) this.releases.fire();
  }

  private addWork(
    server: string,
    requests: number,
    tokenLayers: number,
    prefillTokens: number,
  ): void {
    let work = this.ownWorkByServer.get(server);
    if (work === undefined) {
      work = { requests: 0, readingTokens: 0, tokenLayers: 0 };
      this.ownWorkByServer.set(server, work);
    }
    work.requests += requests;
    work.readingTokens += prefillTokens;
    work.tokenLayers += tokenLayers;
    if (work.requests === 0) this.ownWorkByServer.delete(server);
  }

  /** Replaces the work that other instances have reported. */
  public setPeerWork(work: ReadonlyMap<string, OutstandingWork>): void {
    this.peerWorkByServer.clear();
    for (const [server, sum] of work) this.peerWorkByServer.set(server, sum);
    this.releases.fire();
  }

  /** Returns this instance's outstanding work by server. */
  public listOwnWork(): IterableIterator<[string, Readonly<OutstandingWork>]> {
    return this.ownWorkByServer.entries();
  }
}
