/**
 * The digests that one instance sends to one peer, and their replies, over one open gRPC stream. A stream
 * takes a fraction of the processor time of a call for each digest.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js';
import { Failure, FailureKind } from '../../core/Failure.js';
import type { PeerDigest } from '../../core/peers/Types.js';

/** A digest or its reply; a reply has the number of its digest. */
export interface NumberedDigest {
  readonly number: number;
  readonly digest: PeerDigest;
}

/**
 * Time limit for the reply to a digest, in milliseconds. A digest without a reply is not resent; the next
 * one replaces it.
 */
const TIMEOUT_MS = 500;

interface PendingReply {
  readonly resolve: (digest: PeerDigest) => void;
  readonly reject: (error: Failure) => void;
  readonly timer: NodeJS.Timeout;
}

export class DigestStream {
  private readonly pending = new Map<number, PendingReply>();

  private lastNumber = 0;

  private isClosed = false;

  /**
   * @param address - address of the peer, for messages
   * @param onClose - called once when the stream has failed or was closed
   */
  public constructor(
    private readonly stream: ClientDuplexStream<NumberedDigest, NumberedDigest>,
    private readonly address: string,
    private readonly onClose: () => void,
  ) {
    stream.on('data', ({ number, digest }: NumberedDigest) => this.resolve(number, digest));
    stream.on('error', (error) => this.close(error.message));
    stream.on('end', () => this.close('the peer ended the stream'));
  }

  /** Sends a digest. Rejects, and closes the stream, when the reply does not arrive in time. */
  public send(digest: PeerDigest): Promise<PeerDigest> {
    this.lastNumber += 1;
    const number = this.lastNumber;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => this.close(`no reply within ${TIMEOUT_MS} ms`), TIMEOUT_MS);
      this.pending.set(number, { resolve, reject, timer });
      this.stream.write({ number, digest });
    });
  }

  /** Closes the stream; digests without a reply are rejected. */
  public close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    for (const { reject, timer } of this.pending.values()) {
      clearTimeout(timer);
      reject(
        new Failure(
          FailureKind.PeerUnavailable,
          `The digest to peer ${this.address} failed: ${reason}. The next digest opens a new connection; check the peer if this repeats.`,
        ),
      );
    }
    this.pending.clear();
    this.stream.cancel();
    this.onClose();
  }

  private resolve(number: number, digest: PeerDigest): void {
    const reply = this.pending.get(number);
    if (reply === undefined) return;
    this.pending.delete(number);
    clearTimeout(reply.timer);
    reply.resolve(digest);
  }
}
