import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { Clock } from '../../ports/Types.js';

/** Why a request avoids a server. */
export enum AvoidCause {
  /** It turned the request away, or could not take part in its route. */
  Rejected = 'rejected',
  /** It broke off, went silent or is leaving. */
  Lost = 'lost',
  /** It sent what is no answer to the request. */
  Untrusted = 'untrusted',
}

interface AvoidedServer {
  readonly cause: AvoidCause;
  readonly since: number;
  readonly incarnation: number | undefined;
}

/** The servers that new routes of one request avoid. */
export class AvoidedServers {
  private readonly servers = new Map<string, AvoidedServer>();

  /** Whether a server may be tried again that the same process ran when it was added. */
  private readonly isOver: Readonly<
    Record<AvoidCause, (id: string, server: AvoidedServer) => boolean>
  > = {
    // How long a full server is passed over is up to the directory.
    [AvoidCause.Rejected]: () => true,
    [AvoidCause.Lost]: (id, { since }) => this.directory.lastAliveAt(id) > since,
    [AvoidCause.Untrusted]: () => false,
  };

  public constructor(
    private readonly clock: Clock,
    private readonly directory: ServerDirectory,
  ) {}

  public add(id: string, cause: AvoidCause): void {
    if (this.servers.get(id)?.cause === AvoidCause.Untrusted) return;
    const incarnation = this.incarnationOf(id);
    this.servers.set(id, { cause, since: this.clock.now(), incarnation });
  }

  public delete(id: string): void {
    this.servers.delete(id);
  }

  /** Ids of all avoided servers. */
  public ids(): IterableIterator<string> {
    return this.servers.keys();
  }

  /** Ids of servers that were lost and have given no sign of life since then. */
  public withoutSign(): string[] {
    const ids: string[] = [];
    for (const [id, { cause, since }] of this.servers)
      if (cause === AvoidCause.Lost && this.directory.lastAliveAt(id) <= since) ids.push(id);
    return ids;
  }

  /**
   * Forgets servers that rejected the request, that have given a sign of life since they were lost, or that
   * have restarted.
   */
  public forgive(): void {
    for (const [id, server] of this.servers) {
      const isRestarted = this.incarnationOf(id) !== server.incarnation;
      if (isRestarted || this.isOver[server.cause](id, server)) this.servers.delete(id);
    }
  }

  private incarnationOf(id: string): number | undefined {
    return this.directory.get(id)?.record.incarnation;
  }
}
