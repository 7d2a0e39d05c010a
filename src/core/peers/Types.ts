/**
 * Messages between router instances. A lost message only delays the receiver; a later one makes up for it.
 *
 * Router instances read their configuration from a store. Entry instances, which commit change tickets,
 * exchange state by `src/core/gossip` instead.
 */
import type { DeploymentUpdate } from '../deployment/DeploymentUpdate.js';
import type { BackendServer } from '../deployment/Types.js';
import type { SharedPace } from '../pace/Types.js';
import type { CrashEvidence } from '../quarantine/Types.js';
import type { SharedServerLimit } from '../limits/ServerLimits.js';
import type { SharedSlowness } from '../routing/ServerSlowness.js';
import type { RetryUse } from '../limits/SharedRetryBudget.js';

/** The address and identity of a router instance. */
export interface PeerIdentity {
  readonly instance: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Start time of the instance's process, in Unix milliseconds. */
  readonly incarnation: number;
  /** What the instance's machine can carry; 0 if it is not known. Instances that can carry more become hubs first. */
  readonly capacity: number;
}

/** Outstanding work at one server. */
export interface ServerWork {
  readonly server: string;
  readonly requests: number;
  /** Prompt tokens in prefill. */
  readonly readingTokens: number;
  /** KV cache of the requests in progress, in tokens times layers. */
  readonly tokenLayers: number;
}

/** The instances whose work a report covers. */
export enum WorkScope {
  /** The sender alone. */
  Instance = 'instance',
  /** All instances of the sender's failure domain. */
  FailureDomain = 'failure-domain',
  /** All instances except the receiver. */
  Others = 'others',
}

/** Outstanding work, with the number of instances that it covers. */
export interface WorkReport {
  readonly scope: WorkScope;
  readonly instances: number;
  readonly shares: readonly ServerWork[];
  /** Requests and retries in the last window, by service. */
  readonly retries: readonly RetryUse[];
}

/** A position in the sequence of changes that one process has made to its server entries. */
export interface ChangePosition {
  /** Incarnation of the process; a new one counts from 0. */
  readonly incarnation: number;
  readonly position: number;
}

/** A message from an instance to a peer, or the reply to one; JSON, under the names of the properties. */
export interface PeerDigest {
  readonly from: PeerIdentity;
  /** Whether the sender is leaving. */
  readonly leaving: boolean;
  /** Version of the configuration in force at the sender. */
  readonly ticket: number;
  /**
   * Time since the configuration and servers of the sender were last known to be the newest, in
   * milliseconds: since the store answered it, or a peer that knows nothing newer.
   */
  readonly storeAgeMs?: number;
  /** Whether the sender has everything that must be known before the first request; absent if not. */
  readonly isPrepared?: true;
  readonly work: WorkReport;
  /** The sender's changes of server entries that `records` holds: those after `from`, up to `to`. */
  readonly changes: { readonly from: number; readonly to: number };
  /** The receiver's changes that the sender has applied. */
  readonly applied?: ChangePosition;
  readonly records: readonly BackendServer[];
  readonly peers: readonly PeerIdentity[];
  /** Limits that servers have named, and their ends; absent if there are none. */
  readonly serverLimits?: readonly SharedServerLimit[];
  /** Servers that are paced or whose pace ended lately, a bounded number of them; absent if there are none. */
  readonly pace?: readonly SharedPace[];
  /** Servers that reported within the last seconds that they are slow, or slow no more; absent if there are none. */
  readonly slowServers?: readonly SharedSlowness[];
  /** Evidence of parts of requests under which servers crash; absent if there is none. */
  readonly evidence?: CrashEvidence;
}

/** An update of the configuration as received from a peer. */
export interface FetchedUpdate {
  /** Undefined if the peer knows no configuration. */
  readonly update: DeploymentUpdate | undefined;
  /** Size of the message, in bytes. */
  readonly bytes: number;
}

/** Exchanges messages with peers. */
export interface PeerPort {
  /**
   * Sends a digest.
   * @returns the receiver's digest; rejects with `PeerUnavailable` when it does not answer in time
   */
  send(address: string, digest: PeerDigest): Promise<PeerDigest>;
  /**
   * Fetches the configuration in force at a peer.
   * @param ticket - version in force here; 0 to fetch everything
   * @returns an update that builds on that version or is complete; rejects with `PeerUnavailable` when the
   * peer does not answer in time
   */
  fetchUpdate(address: string, ticket: number): Promise<FetchedUpdate>;
}
