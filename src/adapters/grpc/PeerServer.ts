import { createHash, timingSafeEqual } from 'node:crypto';
import {
  Server,
  ServerCredentials,
  status,
  type Metadata,
  type sendUnaryData,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import type { ForwardedCall, HandOver, PeerService } from '../../ports/Peer.js';
import {
  decodeExchange,
  encodeExchange,
  MAX_MESSAGE_BYTES,
  PeerServiceClient,
  type ExchangeMessage,
} from './PeerProtocol.js';

type UnaryHandler = (request: unknown) => unknown;

/**
 * gRPC server for calls from peers. Refuses calls without the shared secret. Every error of a handler is
 * answered with INVALID_ARGUMENT, whether the request or this instance is the cause.
 */
export class PeerServer {
  private readonly server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES });

  private readonly secretHash: Buffer;

  /**
   * @param service - answers the calls
   * @param secret - secret that all instances share
   * @param onUnauthorizedPeer - called for each call with a wrong secret
   */
  public constructor(
    service: PeerService,
    secret: string,
    private readonly onUnauthorizedPeer: () => void = () => {},
  ) {
    this.secretHash = createHash('sha256').update(`Bearer ${secret}`).digest();
    this.server.addService(PeerServiceClient.service, {
      Exchange: this.unary((request) =>
        encodeExchange(service.exchange(decodeExchange(request as ExchangeMessage))),
      ),
      Snapshot: this.unary(() => ({ json: JSON.stringify(service.snapshot()) })),
      IsRunning: this.unary((request) => ({
        running: service.isRunning((request as { attempt: string }).attempt),
      })),
      Forward: this.unary(async (request) => ({
        json: JSON.stringify(
          await service.forward(JSON.parse((request as { json: string }).json) as ForwardedCall),
        ),
      })),
      HandOver: this.unary((request) => {
        service.handOver(JSON.parse((request as { json: string }).json) as HandOver);
        return {};
      }),
    });
  }

  /** Starts to listen; resolves to the address with the port that was bound. */
  public listen(address: string): Promise<string> {
    const host = address.slice(0, address.lastIndexOf(':'));
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error) reject(error);
        else resolve(`${host}:${port}`);
      });
    });
  }

  public close(): void {
    this.server.forceShutdown();
  }

  private unary(handler: UnaryHandler) {
    return (call: ServerUnaryCall<unknown, unknown>, callback: sendUnaryData<unknown>) => {
      if (!this.isAuthorized(call.metadata)) {
        this.onUnauthorizedPeer();
        callback({
          code: status.UNAUTHENTICATED,
          details: 'The peer secret is wrong. Check peers.secret in the settings.',
        });
        return;
      }
      Promise.resolve()
        .then(() => handler(call.request))
        .then(
          (answer) => callback(null, answer),
          (error: Error) => callback({ code: status.INVALID_ARGUMENT, details: error.message }),
        );
    };
  }

  private isAuthorized(metadata: Metadata): boolean {
    const given = String(metadata.get('authorization')[0] ?? '');
    return timingSafeEqual(createHash('sha256').update(given).digest(), this.secretHash);
  }
}
