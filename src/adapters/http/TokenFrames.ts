/** Binary frames between a head stage and an entry instance. */
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
const HOP_BYTES = 8;
const MAX_FRAME_BYTES = 1024 * 1024;
const MAX_HOPS = 256;
const FINISHES: readonly FinishReason[] = Object.values(FinishReason);
const FAILURES: readonly EngineFailureKind[] = Object.values(EngineFailureKind);

function frameOf(type: FrameType, payloadBytes: number): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payloadBytes);
  frame.writeUInt32LE(payloadBytes, 0);
  frame.writeUInt8(type, 4);
  return frame;
}

/** Encodes one token. */
export function encodeToken(frame: TokenFrame): Buffer {
  const textBytes = Buffer.byteLength(frame.text);
  const bytes = frameOf(
    FrameType.Token,
    TOKEN_HEADER_BYTES + frame.hopCount * HOP_BYTES + textBytes,
  );
  let at = HEADER_BYTES;
  at = bytes.writeUInt32LE(frame.epoch, at);
  at = bytes.writeUInt32LE(frame.index, at);
  at = bytes.writeUInt16LE(frame.hopCount, at);
  for (let word = 0; word < frame.hopCount * VALUES_PER_HOP; word += VALUES_PER_HOP) {
    at = bytes.writeUInt16LE(frame.hops[word], at);
    at = bytes.writeUInt16LE(frame.hops[word + 1], at);
    at = bytes.writeUInt32LE(frame.hops[word + 2], at);
  }
  bytes.write(frame.text, at);
  return bytes;
}

/** Encodes the end of an answer. */
export function encodeEnd(finish: FinishReason, tokens: number): Buffer {
  const bytes = frameOf(FrameType.End, 5);
  bytes.writeUInt8(FINISHES.indexOf(finish), HEADER_BYTES);
  bytes.writeUInt32LE(tokens, HEADER_BYTES + 1);
  return bytes;
}

/** Encodes a failure of a stage. */
export function encodeFailure(failure: EngineFailure): Buffer {
  const bytes = frameOf(FrameType.Failure, 1 + Buffer.byteLength(failure.server));
  bytes.writeUInt8(FAILURES.indexOf(failure.kind), HEADER_BYTES);
  bytes.write(failure.server, HEADER_BYTES + 1);
  return bytes;
}

/** Decodes frames from chunks of any size. The frame given to `onToken` is reused. */
export class FrameDecoder {
  private rest: Buffer = Buffer.alloc(0);

  private readonly frame: TokenFrame = {
    epoch: 0,
    index: 0,
    text: '',
    hops: new Int32Array(MAX_HOPS * VALUES_PER_HOP),
    hopCount: 0,
  };

  public constructor(private readonly listener: EngineListener) {}

  /**
   * Takes a chunk.
   * @throws RangeError on a frame that breaks the format
   */
  public push(chunk: Buffer): void {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    let at = 0;
    while (bytes.length - at >= HEADER_BYTES) {
      const payload = bytes.readUInt32LE(at);
      if (payload > MAX_FRAME_BYTES)
        throw new RangeError(`A frame of ${payload} bytes passes ${MAX_FRAME_BYTES}.`);
      const end = at + HEADER_BYTES + payload;
      if (end > bytes.length) break;
      this.decode(bytes, bytes.readUInt8(at + 4), at + HEADER_BYTES, end);
      at = end;
    }
    this.rest = at === bytes.length ? Buffer.alloc(0) : bytes.subarray(at);
  }

  private decode(bytes: Buffer, type: FrameType, at: number, end: number): void {
    if (type === FrameType.Token) this.decodeToken(bytes, at, end);
    else if (type === FrameType.End) {
      const finish = FINISHES[bytes.readUInt8(at)] ?? FinishReason.Stop;
      this.listener.onEnd(finish, bytes.readUInt32LE(at + 1));
    } else if (type === FrameType.Failure) {
      const kind = FAILURES[bytes.readUInt8(at)] ?? EngineFailureKind.Reset;
      this.listener.onFailure({ kind, server: bytes.toString('utf8', at + 1, end) });
    } else throw new RangeError(`Frame type ${type as number} is unknown.`);
  }

  private decodeToken(bytes: Buffer, start: number, end: number): void {
    const { frame } = this;
    frame.epoch = bytes.readUInt32LE(start);
    frame.index = bytes.readUInt32LE(start + 4);
    frame.hopCount = bytes.readUInt16LE(start + 8);
    if (frame.hopCount > MAX_HOPS)
      throw new RangeError(`A token of ${frame.hopCount} hops passes ${MAX_HOPS}.`);
    let at = start + TOKEN_HEADER_BYTES;
    for (let word = 0; word < frame.hopCount * VALUES_PER_HOP; word += VALUES_PER_HOP) {
      frame.hops[word] = bytes.readUInt16LE(at);
      frame.hops[word + 1] = bytes.readUInt16LE(at + 2);
      frame.hops[word + 2] = bytes.readUInt32LE(at + 4);
      at += HOP_BYTES;
    }
    frame.text = bytes.toString('utf8', at, end);
    this.listener.onToken(frame);
  }
}
