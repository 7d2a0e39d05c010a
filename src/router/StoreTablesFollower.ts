/** Follows the store's tables of configurations, servers and instances, and applies their entries. */
import type { DecisionLog } from '../core/DecisionLog.js';
import type { Deployments } from '../core/deployment/Deployments.js';
import type { ServerDirectory } from '../core/deployment/ServerDirectory.js';
import type { BackendServer, Deployment } from '../core/deployment/Types.js';
import type { PeerSharing } from '../core/peers/PeerSharing.js';
import type { PeerIdentity } from '../core/peers/Types.js';
import { Activity, type ActivityTimer } from '../core/standstill/StallMonitor.js';
import { FeedFollower } from '../core/store/FeedFollower.js';
import { describeRevision } from '../core/store/Revision.js';
import type { StoreFollower } from '../core/store/StoreFollowController.js';
import { decodeDeployment } from '../platform/DeploymentDecoder.js';
import { decodeServer } from '../platform/ServerEntryDecoder.js';
import type { StoreClient } from '../platform/StoreClient.js';
import type { ChangeFeed, StoreEntries } from '../ports/ChangeFeed.js';
import type { Clock } from '../ports/Types.js';

/**
 * Longest wait of one call to a feed whose changes must take effect within seconds, in milliseconds. A silent
 * connection is noticed only after it.
 */
const FEED_WAIT_MS = 1800;

/** Longest wait of one call to the feed of instances, in milliseconds; peers also announce themselves. */
const INSTANCE_FEED_WAIT_MS = 15_000;

export interface StoreTablesFollowerDependencies {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly instances: ChangeFeed<PeerIdentity>;
  readonly deployments: Deployments;
  readonly directory: ServerDirectory;
  readonly sharing: PeerSharing;
  readonly decisions: DecisionLog;
  readonly activityTimer: ActivityTimer;
}

export class StoreTablesFollower implements StoreFollower {
  private readonly deploymentFollower: FeedFollower<Deployment>;

  private readonly serverFollower: FeedFollower<BackendServer>;

  private readonly instanceFollower: FeedFollower<PeerIdentity>;

  /** Time that decoding the newest configuration took, in milliseconds. */
  private decodeMs = 0;

  public constructor(private readonly dependencies: StoreTablesFollowerDependencies) {
    const { clock, store, instances, directory, decisions } = dependencies;
    this.deploymentFollower = new FeedFollower({
      name: 'configuration',
      waitMs: FEED_WAIT_MS,
      clock,
      decisions,
      feed: store.feed('op', (_key, _revision, value) => this.decodeDeployment(value)),
      listener: {
        onSnapshot: (entries) => this.applyDeployments(entries),
        onChanges: (entries) => this.applyDeployments(entries),
      },
    });
    this.serverFollower = new FeedFollower({
      name: 'servers',
      waitMs: FEED_WAIT_MS,
      clock,
      decisions,
      feed: store.feed('servers', decodeServer),
      listener: {
        onSnapshot: (entries) => this.replaceServers(entries),
        onChanges: (entries) => this.applyServerChanges(entries),
        onFailure: () => directory.noteStoreUnavailable(),
      },
    });
    this.instanceFollower = new FeedFollower({
      name: 'instances',
      waitMs: INSTANCE_FEED_WAIT_MS,
      clock,
      decisions,
      feed: instances,
      listener: {
        onSnapshot: (entries) => this.addPeers(entries),
        onChanges: (entries) => this.addPeers(entries),
      },
    });
  }

  /**
   * Time since the store last answered a read of the configuration and one of the servers, in milliseconds;
   * infinite if it never did.
   */
  public get ageMs(): number {
    return Math.max(this.deploymentFollower.ageMs, this.serverFollower.ageMs);
  }

  public start(): void {
    this.instanceFollower.start();
    this.deploymentFollower.start();
    this.serverFollower.start();
  }

  public stop(): void {
    this.deploymentFollower.stop();
    this.serverFollower.stop();
    this.instanceFollower.stop();
  }

  /** Reads what has changed of the servers, if this instance follows the store; rejects otherwise. */
  public readServersNow(): Promise<void> {
    return this.serverFollower.readNow();
  }

  private decodeDeployment(value: unknown): Deployment | undefined {
    const decoded = this.dependencies.activityTimer.time(Activity.DecodeConfiguration, {}, () =>
      decodeDeployment(value),
    );
    this.decodeMs = decoded.ms;
    return decoded.value;
  }

  private applyDeployments({ entries }: StoreEntries<Deployment>): void {
    const { deployments, decisions, activityTimer } = this.dependencies;
    for (const { key, value, revision: changedAt } of entries) {
      const revision = describeRevision(changedAt);
      if (value === undefined) decisions.record('configuration-unreadable', { key, revision });
      if (value === undefined) continue;
      const { ticket } = value;
      const routes = value.routes.length;
      const applied = activityTimer.time(Activity.ApplyConfiguration, { ticket, routes }, () =>
        deployments.applyIfNewer(value),
      );
      if (!applied.value) continue;
      decisions.record('configuration', {
        ticket,
        revision,
        routes,
        accounts: value.accounts?.length,
        decodeMs: this.decodeMs,
        applyMs: applied.ms,
      });
    }
  }

  private addPeers({ entries }: StoreEntries<PeerIdentity>): void {
    for (const { value } of entries)
      if (value !== undefined) this.dependencies.sharing.addPeer(value);
  }

  private replaceServers({ entries, revision }: StoreEntries<BackendServer>): void {
    const servers: BackendServer[] = [];
    for (const { value } of entries) if (value !== undefined) servers.push(value);
    const { activityTimer, directory } = this.dependencies;
    activityTimer.time(Activity.ReplaceServers, { known: servers.length }, () =>
      directory.replaceAll(servers, revision),
    );
    this.dependencies.decisions.record('servers', {
      known: servers.length,
      revision: describeRevision(revision),
    });
  }

  private applyServerChanges({ entries, revision: newest }: StoreEntries<BackendServer>): void {
    const { directory, decisions } = this.dependencies;
    for (const { key, value, revision } of entries) {
      if (value === undefined) directory.remove(key, revision);
      else directory.put(value);
      decisions.record('server', {
        server: key,
        revision: describeRevision(revision),
        known: value !== undefined,
        leaving: value?.leaving,
        from: value?.span?.from,
        to: value?.span?.to,
      });
    }
    directory.noteComplete(newest);
  }
}
