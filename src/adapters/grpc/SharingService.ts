/**
 * The sharing service: the gRPC service over which router instances send each other digests of their state,
 * and fetch newer configurations. Digests are JSON. Entry instances use the peer service instead.
 */
import {
  credentials,
  makeGenericClientConstructor,
  Server,
  ServerCredentials,
  type Client,
  type ClientDuplexStream,
  type ClientUnaryCall,
  type sendUnaryData,
  type ServerDuplexStream,
  type ServerUnaryCall,
  type ServiceDefinition,
} from '@grpc/grpc-js';
import { Failure, FailureKind } from '../../core/Failure.js';
import type { DeploymentUpdate } from '../../core/deployment/DeploymentUpdate.js';
import type { FetchedUpdate, PeerDigest, PeerPort } from '../../core/peers/Types.js';
import { DigestStream, type NumberedDigest } from './DigestStream.js';
import { PeerListener, type PeerListenerDependencies } from './PeerListener.js';
import { decodeUpdate, encodeUpdate } from './UpdateEncoding.js';

/** Maximum message size, in bytes. */
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

/**
 * Time limit for fetching an update, in milliseconds. A large configuration takes some tenths of a second
 * over the narrowest links.
 */
const FETCH_TIMEOUT_MS = 1500;

/** Maximum delay before a failed channel reconnects, in milliseconds. */
const MAX_RECONNECT_MS = 1000;

interface UpdateRequest {
  /** Version of the configuration in force at the sender. */
  readonly ticket: number;
}

/** What a peer asks of this instance. */
export interface SharingHandler {
  /** Applies a peer's digest and returns this instance's own. */
  receiveDigest(digest: PeerDigest): PeerDigest;
  /** Returns the update from a version to the one in force here; undefined if none is. */
  updateSince(ticket: number): DeploymentUpdate | undefined;
  /** Called when a peer's digest could not be applied, for example that of another build. */
  handleFailure(error: Error): void;
}

function serialize(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function deserialize<T>(bytes: Buffer): T {
  return JSON.parse(bytes.toString()) as T;
}

/** A message with its size. */
interface Received<T> {
  readonly message: T;
  readonly bytes: number;
}

/** @throws Error if the message is no JSON object; gRPC then ends the call */
function deserializeReceived<T>(bytes: Buffer): Received<T> {
  const message = deserialize<T | null>(bytes);
  if (message === null || typeof message !== 'object')
    throw new Error('The message is no JSON object. Check that the peer runs the same build.');
  return { message, bytes: bytes.length };
}

const SHARING_SERVICE: ServiceDefinition = {
  Exchange: {
    path: '/acaciadrum.Sharing/Exchange',
    requestStream: true,
    responseStream: true,
    requestSerialize: serialize,
    requestDeserialize: (bytes: Buffer) => deserializeReceived<NumberedDigest>(bytes),
    responseSerialize: serialize,
    responseDeserialize: (bytes: Buffer) => deserialize<NumberedDigest>(bytes),
  },
  FetchUpdate: {
    path: '/acaciadrum.Sharing/FetchUpdate',
    requestStream: false,
    responseStream: false,
    requestSerialize: serialize,
    requestDeserialize: (bytes: Buffer) => deserializeReceived<UpdateRequest>(bytes),
    responseSerialize: encodeUpdate,
    responseDeserialize: (bytes: Buffer): FetchedUpdate => ({
      update: decodeUpdate(bytes),
      bytes: bytes.length,
    }),
  },
};

const SharingClient = makeGenericClientConstructor(SHARING_SERVICE, 'Sharing');

interface SharingMethods {
  Exchange(): ClientDuplexStream<NumberedDigest, NumberedDigest>;
  FetchUpdate(
    request: UpdateRequest,
    callback: (error: Error | null, answer: FetchedUpdate) => void,
  ): ClientUnaryCall;
}

/** The connection to one peer, and the stream of digests on it. */
interface PeerConnection {
  readonly client: Client & SharingMethods;
  readonly digests: DigestStream;
}

/** Exchanges digests with peers, and answers theirs. */
export class SharingService implements PeerPort {
  private readonly connections = new Map<string, PeerConnection>();

  private readonly server: Server;

  private readonly listener: PeerListener;

  /**
   * @param handler - answers peers
   * @param listenerDependencies - bounds the connections of peers; if undefined, all are kept
   */
  public constructor(
    private readonly handler: SharingHandler,
    listenerDependencies?: PeerListenerDependencies,
  ) {
    this.server = this.createServer();
    const injector = this.server.createConnectionInjector(ServerCredentials.createInsecure());
    this.listener = new PeerListener(
      (socket) => injector.injectConnection(socket),
      listenerDependencies,
    );
  }

  private createServer(): Server {
    const { handler } = this;
    const server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES });
    server.addService(SHARING_SERVICE, {
      Exchange: (stream: ServerDuplexStream<Received<NumberedDigest>, NumberedDigest>) => {
        stream.on('data', ({ message, bytes }: Received<NumberedDigest>) => {
          const { number, digest } = message;
          this.listener.endMessage(stream.getPeer(), bytes);
          try {
            stream.write({ number, digest: handler.receiveDigest(digest) });
          } catch (error) {
            handler.handleFailure(error as Error);
            stream.destroy(error as Error);
          }
        });
        stream.on('end', () => stream.end());
        // The peer has closed its connection and opens a new one for its next digest.
        stream.on('error', () => {});
      },
      FetchUpdate: (
        call: ServerUnaryCall<Received<UpdateRequest>, DeploymentUpdate | undefined>,
        callback: sendUnaryData<DeploymentUpdate | undefined>,
      ) => {
        const { message, bytes } = call.request;
        this.listener.endMessage(call.getPeer(), bytes);
        callback(null, handler.updateSince(message.ticket));
      },
    });
    return server;
  }

  public listen(address: string): Promise<void> {
    return this.listener.listen(address);
  }

  public dispose(): void {
    this.listener.dispose();
    this.server.forceShutdown();
    for (const { digests } of this.connections.values()) digests.close('this instance stops');
  }

  public send(address: string, digest: PeerDigest): Promise<PeerDigest> {
    return this.connectionTo(address).digests.send(digest);
  }

  public fetchUpdate(address: string, ticket: number): Promise<FetchedUpdate> {
    const { client } = this.connectionTo(address);
    return new Promise((resolve, reject) => {
      // grpc-js takes deadlines as wall-clock time, which may jump.
      let timer: NodeJS.Timeout | undefined;
      const call = client.FetchUpdate({ ticket }, (error, answer) => {
        clearTimeout(timer);
        if (error === null) {
          resolve(answer);
          return;
        }
        reject(
          new Failure(
            FailureKind.PeerUnavailable,
            `The configuration could not be fetched from peer ${address}: ${error.message}. It is fetched again after the next digest, or read from the store; check the peer if this repeats.`,
          ),
        );
      });
      timer = setTimeout(() => call.cancel(), FETCH_TIMEOUT_MS);
    });
  }

  private connectionTo(address: string): PeerConnection {
    let connection = this.connections.get(address);
    if (connection === undefined) {
      connection = this.connect(address);
      this.connections.set(address, connection);
    }
    return connection;
  }

  /** Connects to a peer. A connection whose stream fails may be dead; the next use opens a new one. */
  private connect(address: string): PeerConnection {
    const client = new SharingClient(address, credentials.createInsecure(), {
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
      'grpc.initial_reconnect_backoff_ms': MAX_RECONNECT_MS / 4,
    }) as unknown as Client & SharingMethods;
    const digests = new DigestStream(client.Exchange(), address, () => {
      client.close();
      if (this.connections.get(address)?.client === client) this.connections.delete(address);
    });
    return { client, digests };
  }
}
