import { credentials, Metadata, type Client } from '@grpc/grpc-js';
import { Failure, FailureKind } from '../../core/Failure.js';
import type { Snapshot } from '../../core/tickets/Types.js';
import type {
  ForwardedAnswer,
  ForwardedCall,
  HandOver,
  PeerExchange,
  PeerLink,
} from '../../ports/Peer.js';
import {
  decodeExchange,
  encodeExchange,
  MAX_MESSAGE_BYTES,
  PeerServiceClient,
  type ExchangeMessage,
} from './PeerProtocol.js';

type UnaryMethod = (
  request: unknown,
  metadata: Metadata,
  options: { deadline: number },
  callback: (error: Error | null, answer: unknown) => void,
) => void;

/** Time limit for a call, in milliseconds. */
const TIMEOUT_MS = 1000;

/** Time limit for a forwarded request, in milliseconds; longer, since the peer runs it before answering. */
const FORWARD_TIMEOUT_MS = 5000;

/** gRPC client for calls to peers; keeps one channel for each address. */
export class PeerClient implements PeerLink {
  private readonly clients = new Map<string, Client>();

  private readonly metadata = new Metadata();

  public constructor(secret: string) {
    this.metadata.set('authorization', `Bearer ${secret}`);
  }

  public dispose(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  public async exchange(address: string, message: PeerExchange): Promise<PeerExchange> {
    return decodeExchange(
      (await this.call(
        address,
        'Exchange',
        encodeExchange(message),
        TIMEOUT_MS,
      )) as ExchangeMessage,
    );
  }

  public async snapshot(address: string): Promise<Snapshot> {
    const { json } = (await this.call(address, 'Snapshot', {}, TIMEOUT_MS)) as { json: string };
    return JSON.parse(json) as Snapshot;
  }

  public async isRunning(address: string, attempt: string): Promise<boolean> {
    return (
      (await this.call(address, 'IsRunning', { attempt }, TIMEOUT_MS)) as { running: boolean }
    ).running;
  }

  public async forward(address: string, call: ForwardedCall): Promise<ForwardedAnswer> {
    const { json } = (await this.call(
      address,
      'Forward',
      { json: JSON.stringify(call) },
      FORWARD_TIMEOUT_MS,
    )) as { json: string };
    return JSON.parse(json) as ForwardedAnswer;
  }

  public async handOver(address: string, keys: HandOver): Promise<void> {
    await this.call(address, 'HandOver', { json: JSON.stringify(keys) }, TIMEOUT_MS);
  }

  private call(
    address: string,
    method: string,
    request: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const client = this.client(address);
    return new Promise((resolve, reject) => {
      const invoke = (client as unknown as Record<string, UnaryMethod>)[method];
      invoke.call(
        client,
        request,
        this.metadata,
        { deadline: Date.now() + timeoutMs },
        (error, answer) => {
          if (error === null) resolve(answer);
          else
            reject(
              new Failure(
                FailureKind.PeerUnavailable,
                `The call to peer ${address} failed: ${error.message}. Check that the peer runs and has the same peers.secret.`,
              ),
            );
        },
      );
    });
  }

  private client(address: string): Client {
    let client = this.clients.get(address);
    if (client === undefined) {
      client = new PeerServiceClient(address, credentials.createInsecure(), {
        'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
        'grpc.initial_reconnect_backoff_ms': 200,
        'grpc.max_reconnect_backoff_ms': 1000,
      });
      this.clients.set(address, client);
    }
    return client;
  }
}
