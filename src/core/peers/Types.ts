/** What router instances tell each other. Losing any of it costs time, never correctness. */
import type { Deployment, BackendServer } from '../deployment/Types.js';
import type { RetryUse } from '../limits/SharedRetryBudget.js';

/** Where a peer is reached. */
export interface PeerAddress {
  readonly instance: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Start of the peer's process, in Unix milliseconds. */
  readonly incarnation: number;
}

/** Work at one server. */
export interface ServerWork {
  readonly server: string;
  readonly requests: number;
  readonly readingTokens: number;
  readonly tokenLayers: number;
}

/** Whose work a digest holds. */
export enum WorkScope {
  /** The sender's own. */
  Instance = 'instance',
  /** That of all instances of the sender's failure domain. */
  FailureDomain = 'failure-domain',
  /** That of all instances but the receiver. */
  Others = 'others',
}

/** Work in progress, with the number of instances that it comes from. */
export interface WorkReport {
  readonly scope: WorkScope;
  readonly instances: number;
  readonly shares: readonly ServerWork[];
  /** Requests and retries of the last window, by service. */
  readonly retries: readonly RetryUse[];
}

/** One message from an instance to a peer, or the answer to it. */
export interface PeerDigest {
  readonly from: PeerAddress;
  /** Whether the sender is stopping. */
  readonly leaving: boolean;
  /** Number of the ticket in force at the sender. */
  readonly ticket: number;
  /** Revision of the newest server entry that the sender has seen. */
  readonly revision: number;
  /** Time since the store last answered the sender or anyone it heard from, in milliseconds. */
  readonly storeAgeMs?: number;
  readonly work: WorkReport;
  /** Entries of servers that changed lately, or all of them for a peer that knows none. */
  readonly records: readonly BackendServer[];
  readonly peers: readonly PeerAddress[];
  /** The deployment in force, when the receiver's is older. */
  readonly deployment?: Deployment;
}

/** Sends digests. */
export interface PeerPort {
  /** @returns the receiver's digest; rejects when it does not answer in time */
  send(address: string, digest: PeerDigest): Promise<PeerDigest>;
}
