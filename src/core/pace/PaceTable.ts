/** The servers whose pace is known, and what of it peers are told. */
import type { PacedServer } from './PacedServer.js';
import type { SharedPace } from './Types.js';

/** Time for which peers are told that a pace has ended, in milliseconds: several digests, some of them lost. */
const END_TOLD_MS = 10_000;

/** Largest number of servers in a digest; further ones take turns. */
const MAX_TOLD = 64;

/** Time after which other servers are told when there are too many, in milliseconds: the interval of digests. */
const TELL_TURN_MS = 250;

/** Number of servers from which on those that are gone are looked for. */
const MIN_PRUNED_SIZE = 64;

export class PaceTable {
  private readonly servers = new Map<string, PacedServer>();

  /** Those with a window. */
  private readonly paced = new Map<string, PacedServer>();

  /** Those whose pace ended lately. */
  private readonly ended = new Map<string, PacedServer>();

  private prunedSize = MIN_PRUNED_SIZE;

  /** @param isKnown - whether a server still exists */
  public constructor(private readonly isKnown: (id: string) => boolean) {}

  /** Number of paced servers. */
  public get size(): number {
    return this.paced.size;
  }

  public get(id: string): PacedServer | undefined {
    return this.servers.get(id);
  }

  /** Returns a server if it is paced now. */
  public getPaced(id: string): PacedServer | undefined {
    return this.paced.get(id);
  }

  /** Returns those of some servers that are paced now. */
  public listPaced(ids: readonly string[]): PacedServer[] {
    return ids.flatMap((id) => this.paced.get(id) ?? []);
  }

  public add(server: PacedServer): void {
    this.servers.set(server.id, server);
    if (this.servers.size < this.prunedSize) return;
    for (const id of this.servers.keys()) if (!this.isKnown(id)) this.delete(id);
    this.prunedSize = Math.max(MIN_PRUNED_SIZE, this.servers.size * 2);
  }

  /** Sorts a server in after its pace has begun, ended or been forgotten. */
  public update(server: PacedServer): void {
    const { id, isPaced, generation } = server;
    if (isPaced) this.paced.set(id, server);
    else this.paced.delete(id);
    if (isPaced || generation === 0) this.ended.delete(id);
    else this.ended.set(id, server);
  }

  /** Returns the paced servers and those whose pace ended lately, as far as a digest has room for them. */
  public list(now: number): SharedPace[] {
    for (const [id, { changedAt }] of this.ended)
      if (now - changedAt > END_TOLD_MS) this.ended.delete(id);
    const all = [...this.paced.values(), ...this.ended.values()];
    if (all.length <= MAX_TOLD) return all.map((server) => server.share());
    const first = (Math.floor(now / TELL_TURN_MS) * MAX_TOLD) % all.length;
    const told = [...all.slice(first), ...all.slice(0, first)].slice(0, MAX_TOLD);
    return told.map((server) => server.share());
  }

  private delete(id: string): void {
    this.servers.delete(id);
    this.paced.delete(id);
    this.ended.delete(id);
  }
}
