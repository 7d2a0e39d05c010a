/**
 * Numbers the changes of server entries, so that each peer is sent exactly what it has not applied yet.
 */
import type { KnownServer } from '../deployment/ServerDirectory.js';
import type { Revision } from '../store/Revision.js';
import type { PeerIdentity } from './Types.js';

/** One process of a peer. A later process of the same instance knows nothing of what the earlier one reported. */
export type PeerProcess = Pick<PeerIdentity, 'instance' | 'incarnation'>;

interface Change {
  readonly position: number;
  readonly revision: Revision;
  readonly leaving: boolean;
  /** Process of the peer that reported the change; undefined for the store. */
  readonly source: PeerProcess | undefined;
}

export class ChangeSequence {
  private readonly changes = new Map<string, Change>();

  private last = 0;

  /** Position of the newest change. */
  public get position(): number {
    return this.last;
  }

  /** Records the state of an entry; one that peers already have, or do not need, gets no new position. */
  public record({ record: { id }, revision, leaving }: KnownServer, source?: PeerProcess): void {
    const known = this.changes.get(id);
    if (known?.revision === revision && known.leaving === leaving) return;
    this.last += 1;
    this.changes.set(id, { position: this.last, revision, leaving, source });
  }

  /** Forgets a server that is no longer known. */
  public delete(id: string): void {
    this.changes.delete(id);
  }

  /**
   * Returns the servers that changed after a position.
   * @param receiver - process that is to be told; changes that it reported itself are left out
   */
  public changedAfter(position: number, { instance, incarnation }: PeerProcess): string[] {
    const ids: string[] = [];
    for (const [id, change] of this.changes) {
      if (change.position <= position) continue;
      const { source } = change;
      if (source?.instance !== instance || source.incarnation !== incarnation) ids.push(id);
    }
    return ids;
  }
}
