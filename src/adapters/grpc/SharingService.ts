/**
 * The sharing service: the gRPC service over which router instances send each other digests of their state.
 * Messages are JSON. Entry instances use the peer service instead.
 */
import {
  credentials,
  makeGenericClientConstructor,
  Server,
  ServerCredentials,
  type Client,
  type sendUnaryData,
  type ServerUnaryCall,
  type ServiceDefinition,
} from '@grpc/grpc-js';
import { Failure, FailureKind } from '../../core/Failure.js';
import type { Deployment, EngineProfile } from '../../core/deployment/Types.js';
import type { PeerDigest, PeerPort } from '../../core/peers/Types.js';

/** Maximum message size, in bytes; large enough for a deployment with thousands of routes. */
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

/**
 * Time limit for the answer to a digest, in milliseconds. A digest without an answer is not resent; the next
 * one replaces it.
 */
const TIMEOUT_MS = 500;

/** Maximum delay before a failed channel reconnects, in milliseconds. */
const MAX_RECONNECT_MS = 1000;

const MAP_TAG = '$map';

function replaceMaps(_key: string, value: unknown): unknown {
  return value instanceof Map ? { [MAP_TAG]: [...value] } : value;
}

function reviveMaps(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || !(MAP_TAG in value)) return value;
  return new Map((value as { [MAP_TAG]: [string, EngineProfile][] })[MAP_TAG]);
}

function serialize(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value, replaceMaps));
}

function deserialize<T>(bytes: Buffer): T {
  return JSON.parse(bytes.toString('utf8'), reviveMaps) as T;
}

/** Serializes and parses a deployment, as happens on its way to a peer. For tests. */
export function roundTripDeployment(deployment: Deployment): Deployment {
  return deserialize(serialize(deployment));
}

const SHARING_SERVICE: ServiceDefinition = {
  Share: {
    path: '/acaciadrum.Sharing/Share',
    requestStream: false,
    responseStream: false,
    requestSerialize: serialize,
    requestDeserialize: (bytes: Buffer) => deserialize<PeerDigest>(bytes),
    responseSerialize: serialize,
    responseDeserialize: (bytes: Buffer) => deserialize<PeerDigest>(bytes),
  },
};

const SharingClient = makeGenericClientConstructor(SHARING_SERVICE, 'Sharing');

type ShareMethod = (
  digest: PeerDigest,
  options: { deadline: number },
  callback: (error: Error | null, answer: PeerDigest) => void,
) => void;

/** Sends digests to peers and answers theirs. */
export class SharingService implements PeerPort {
  private readonly clients = new Map<string, Client>();

  private readonly server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES });

  /** @param receiveDigest - applies a peer's digest and returns this instance's own */
  public constructor(receiveDigest: (digest: PeerDigest) => PeerDigest) {
    this.server.addService(SHARING_SERVICE, {
      Share: (call: ServerUnaryCall<PeerDigest, PeerDigest>, callback: sendUnaryData<PeerDigest>) =>
        callback(null, receiveDigest(call.request)),
    });
  }

  public listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
        if (error) reject(error);
        else resolve();
      });
    });
  }

  public dispose(): void {
    this.server.forceShutdown();
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  public send(address: string, digest: PeerDigest): Promise<PeerDigest> {
    const client = this.clientFor(address) as unknown as { Share: ShareMethod };
    return new Promise((resolve, reject) => {
      // grpc-js takes the deadline as wall-clock time. A jump of the system clock loses at most the digests
      // in progress, which later ones replace.
      client.Share(digest, { deadline: Date.now() + TIMEOUT_MS }, (error, answer) => {
        if (error === null) {
          resolve(answer);
          return;
        }
        this.discardClient(address);
        reject(
          new Failure(
            FailureKind.PeerUnavailable,
            `The digest to peer ${address} failed: ${error.message}. The next digest opens a new connection; check the peer if this repeats.`,
          ),
        );
      });
    });
  }

  private clientFor(address: string): Client {
    let client = this.clients.get(address);
    if (client === undefined) {
      client = new SharingClient(address, credentials.createInsecure(), {
        'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
        'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
        'grpc.initial_reconnect_backoff_ms': MAX_RECONNECT_MS / 4,
      });
      this.clients.set(address, client);
    }
    return client;
  }

  /** Closes the channel of a failed call, whose connection may be dead; the next digest opens a new one. */
  private discardClient(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }
}
