/** What router instances tell each other. Losing any of it costs time, never correctness. */
import type { Deployment, BackendServer } from '../deployment/Types.js';

/** Where a peer is reached. */
export interface PeerAddress {
  readonly instance: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** An instance's own work at one server. */
export interface WorkShare {
  readonly server: string;
  readonly requests: number;
  readonly readingTokens: number;
  readonly tokenLayers: number;
}

/** One message from an instance to a peer. */
export interface PeerDigest {
  readonly from: PeerAddress;
  /** Start of the sender's process, in Unix milliseconds. */
  readonly incarnation: number;
  /** Whether the sender is stopping. */
  readonly leaving: boolean;
  /** Number of the ticket in force at the sender. */
  readonly ticket: number;
  readonly work: readonly WorkShare[];
  /** Entries of servers that changed lately, or all of them for a peer that knows none. */
  readonly records: readonly BackendServer[];
  /** Revision of the newest server entry that the sender has seen. */
  readonly revision: number;
  readonly peers: readonly PeerAddress[];
  /** The deployment in force, when the receiver's is older. */
  readonly deployment?: Deployment;
}

/** Sends digests. */
export interface PeerPort {
  /** @returns the receiver's ticket and revision; rejects when it does not answer in time */
  send(address: string, digest: PeerDigest): Promise<PeerReceipt>;
}

/** What a receiver holds. */
export interface PeerReceipt {
  readonly ticket: number;
  readonly revision: number;
}
