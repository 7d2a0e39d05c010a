/**
 * Messages between router instances. A lost message only delays the receiver; a later one makes up for it.
 *
 * Router instances read their configuration from a store. Entry instances, which commit change tickets,
 * exchange state by `src/core/gossip` instead.
 */
import type { Deployment, BackendServer } from '../deployment/Types.js';
import type { RetryUse } from '../limits/SharedRetryBudget.js';

/** The address and identity of a router instance. */
export interface PeerIdentity {
  readonly instance: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Start time of the instance's process, in Unix milliseconds. */
  readonly incarnation: number;
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

/** A message from an instance to a peer, or the reply to one; JSON, under the names of the properties. */
export interface PeerDigest {
  readonly from: PeerIdentity;
  /** Whether the sender is leaving. */
  readonly leaving: boolean;
  /** Version of the configuration in force at the sender. */
  readonly ticket: number;
  /** Revision of the newest server entry known to the sender. */
  readonly revision: number;
  /** Time since the store last answered the sender or any of its peers, in milliseconds. */
  readonly storeAgeMs?: number;
  readonly work: WorkReport;
  /** Entries of servers that changed recently, or that the receiver does not know yet. */
  readonly records: readonly BackendServer[];
  readonly peers: readonly PeerIdentity[];
  /** The deployment in force, when the receiver has an older one. */
  readonly deployment?: Deployment;
}

/** Sends digests to peers. */
export interface PeerPort {
  /**
   * Sends a digest.
   * @returns the receiver's digest; rejects with `PeerUnavailable` when it does not answer in time
   */
  send(address: string, digest: PeerDigest): Promise<PeerDigest>;
}
