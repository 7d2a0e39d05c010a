/**
 * Tracks the outstanding work at each server, as far as this instance knows. Used by router instances;
 * entry instances use `LoadTable`.
 */
import { Emitter } from '../Emitter.js';
import type { Stage } from './Types.js';

/** Outstanding work at one server. The work reports to peers have properties of the same names. */
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
  private readonly peerWork = new Map<string, OutstandingWork>();

  private readonly releases = new Emitter<void>();

  /** Fires after work of this instance has ended, or the work of others has become known anew. */
  public readonly onRelease = this.releases.event;

  public ownWork(server: string): Readonly<OutstandingWork> {
    return this.ownWorkByServer.get(server) ?? NO_WORK;
  }

  /** Requests of all instances in progress at a server. */
  public requests(server: string): number {
    return this.ownWork(server).requests + (this.peerWork.get(server)?.requests ?? 0);
  }

  public prefillTokens(server: string): number {
    return this.ownWork(server).readingTokens + (this.peerWork.get(server)?.readingTokens ?? 0);
  }

  public tokenLayers(server: string): number {
    return this.ownWork(server).tokenLayers + (this.peerWork.get(server)?.tokenLayers ?? 0);
  }

  /**
   * Adds a request's work to every server of its route; negative values remove it.
   * @param tokens - tokens of prompt and answer that take up KV cache
   * @param prefillTokens - prompt tokens in prefill
   */
  public add(
    stages: readonly Stage[],
    requests: number,
    tokens: number,
    prefillTokens: number,
  ): void {
    for (const { server, from, to } of stages) {
      let work = this.ownWorkByServer.get(server);
      if (work === undefined) {
        work = { requests: 0, readingTokens: 0, tokenLayers: 0 };
        this.ownWorkByServer.set(server, work);
      }
      work.requests += requests;
      work.readingTokens += prefillTokens;
      work.tokenLayers += tokens * (to - from);
      if (work.requests === 0) this.ownWorkByServer.delete(server);
    }
    if (requests < 0 || prefillTokens < 0) this.releases.fire();
  }

  /** Replaces the work that other instances have reported. */
  public setPeerWork(work: ReadonlyMap<string, OutstandingWork>): void {
    this.peerWork.clear();
    for (const [server, sum] of work) this.peerWork.set(server, sum);
    this.releases.fire();
  }

  /** Returns this instance's outstanding work by server. */
  public listOwnWork(): IterableIterator<[string, Readonly<OutstandingWork>]> {
    return this.ownWorkByServer.entries();
  }
}
