/** Binary frames between a first stage and an entry instance. */
import {
  FinishReason,
  VALUES_PER_HOP,
  EngineFailureKind,
  type EngineFailure,
  type EngineListener,
  type TokenFrame,
} from '../../core/streams/Types.js';

enum FrameType {
  Token = 1,
  End = 2,
  Failure = 3,
}

const HEADER_BYTES = 5;
const TOKEN_HEADER_BYTES = 10;

/**
 * Size of a hop, in bytes: the layer range that one stage ran (from, to) and the epoch under which it ran.
 */
const HOP_BYTES = 8;

const MAX_FRAME_BYTES = 1024 * 1024;
const MAX_HOPS = 256;
// Frames carry an index into these arrays, so the order of the enum members is part of the format.
const FINISH_REASONS: readonly FinishReason[] = Object.values(FinishReason);
const FAILURE_KINDS: readonly EngineFailureKind[] = Object.values(EngineFailureKind);

function allocateFrame(type: FrameType, payloadBytes: number): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payloadBytes);
  frame.writeUInt32LE(payloadBytes, 0);
  frame.writeUInt8(type, 4);
  return frame;
}

/** Encodes one token. */
export function encodeToken(frame: TokenFrame): Buffer {
  const textBytes = Buffer.byteLength(frame.text);
  const bytes = allocateFrame(
    FrameType.Token,
    TOKEN_HEADER_BYTES + frame.hopCount * HOP_BYTES + textBytes,
  );
  let offset = HEADER_BYTES;
  offset = bytes.writeUInt32LE(frame.epoch, offset);
  offset = bytes.writeUInt32LE(frame.index, offset);
  offset = bytes.writeUInt16LE(frame.hopCount, offset);
  for (
    let hopOffset = 0;
    hopOffset < frame.hopCount * VALUES_PER_HOP;
    hopOffset += VALUES_PER_HOP
  ) {
    offset = bytes.writeUInt16LE(frame.hops[hopOffset], offset);
    offset = bytes.writeUInt16LE(frame.hops[hopOffset + 1], offset);
    offset = bytes.writeUInt32LE(frame.hops[hopOffset + 2], offset);
  }
  bytes.write(frame.text, offset);
  return bytes;
}

/** Encodes the end of an answer. */
export function encodeEnd(finish: FinishReason, tokens: number): Buffer {
  const bytes = allocateFrame(FrameType.End, 5);
  bytes.writeUInt8(FINISH_REASONS.indexOf(finish), HEADER_BYTES);
  bytes.writeUInt32LE(tokens, HEADER_BYTES + 1);
  return bytes;
}

/** Encodes a failure of a stage. */
export function encodeFailure(failure: EngineFailure): Buffer {
  const bytes = allocateFrame(FrameType.Failure, 1 + Buffer.byteLength(failure.server));
  bytes.writeUInt8(FAILURE_KINDS.indexOf(failure.kind), HEADER_BYTES);
  bytes.write(failure.server, HEADER_BYTES + 1);
  return bytes;
}

/** Decodes frames from chunks of any size. The frame passed to `onToken` is reused. */
export class FrameDecoder {
  private pending: Buffer = Buffer.alloc(0);

  private readonly frame: TokenFrame = {
    epoch: 0,
    index: 0,
    text: '',
    hops: new Int32Array(MAX_HOPS * VALUES_PER_HOP),
    hopCount: 0,
  };

  public constructor(private readonly listener: EngineListener) {}

  /**
   * Decodes the complete frames of a chunk and keeps the rest for the next one. An unknown finish reason
   * counts as `Stop`, an unknown failure kind as `ConnectionLost`.
   * @throws RangeError on a malformed frame
   */
  public push(chunk: Buffer): void {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    let offset = 0;
    while (bytes.length - offset >= HEADER_BYTES) {
      const payloadBytes = bytes.readUInt32LE(offset);
      if (payloadBytes > MAX_FRAME_BYTES)
        throw new RangeError(
          `A frame of ${payloadBytes} bytes exceeds the limit of ${MAX_FRAME_BYTES} bytes.`,
        );
      const end = offset + HEADER_BYTES + payloadBytes;
      if (end > bytes.length) break;
      this.decode(bytes, bytes.readUInt8(offset + 4), offset + HEADER_BYTES, end);
      offset = end;
    }
    this.pending = offset === bytes.length ? Buffer.alloc(0) : bytes.subarray(offset);
  }

  private decode(bytes: Buffer, type: FrameType, offset: number, end: number): void {
    if (type === FrameType.Token) this.decodeToken(bytes, offset, end);
    else if (type === FrameType.End) {
      const finish = FINISH_REASONS[bytes.readUInt8(offset)] ?? FinishReason.Stop;
      this.listener.onEnd(finish, bytes.readUInt32LE(offset + 1));
    } else if (type === FrameType.Failure) {
      const kind = FAILURE_KINDS[bytes.readUInt8(offset)] ?? EngineFailureKind.ConnectionLost;
      this.listener.onFailure({ kind, server: bytes.toString('utf8', offset + 1, end) });
    } else throw new RangeError(`Frame type ${type as number} is unknown.`);
  }

  private decodeToken(bytes: Buffer, start: number, end: number): void {
    const { frame } = this;
    frame.epoch = bytes.readUInt32LE(start);
    frame.index = bytes.readUInt32LE(start + 4);
    frame.hopCount = bytes.readUInt16LE(start + 8);
    if (frame.hopCount > MAX_HOPS)
      throw new RangeError(
        `A token of ${frame.hopCount} hops exceeds the limit of ${MAX_HOPS} hops.`,
      );
    let offset = start + TOKEN_HEADER_BYTES;
    for (
      let hopOffset = 0;
      hopOffset < frame.hopCount * VALUES_PER_HOP;
      hopOffset += VALUES_PER_HOP
    ) {
      frame.hops[hopOffset] = bytes.readUInt16LE(offset);
      frame.hops[hopOffset + 1] = bytes.readUInt16LE(offset + 2);
      frame.hops[hopOffset + 2] = bytes.readUInt32LE(offset + 4);
      offset += HOP_BYTES;
    }
    frame.text = bytes.toString('utf8', offset, end);
    this.listener.onToken(frame);
  }
}
