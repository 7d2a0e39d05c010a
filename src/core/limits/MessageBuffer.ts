import type { MemoryShare } from './MemoryShare.js';

/** Smallest block, in bytes: bodies that come byte by byte begin with it. */
const MIN_BLOCK_BYTES = 256;

/** Size up to which each block is as large as all before it, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * The bytes of a message that is still coming.
 *
 * Answers the load pattern of messages that come in very many small parts. Bytes are copied into blocks, so that
 * memory goes by the bytes of the message, however many parts they came in, and keeps no input buffer alive.
 */
export class MessageBuffer {
  private blocks: Buffer[] = [];

  /** Bytes used of the last block. */
  private lastUsed = 0;

  private bytes = 0;

  /** @param memory - counts the blocks; if undefined, the owner bounds the message alone */
  public constructor(private readonly memory?: MemoryShare) {}

  /** Size of the message so far, in bytes. */
  public get length(): number {
    return this.bytes;
  }

  /** Adds a part. If that spends the budget of memory, holders end, perhaps the one of this message. */
  public append(part: Uint8Array): void {
    const last = this.blocks.at(-1);
    const fitting = Math.min(part.length, (last?.length ?? 0) - this.lastUsed);
    last?.set(fitting === part.length ? part : part.subarray(0, fitting), this.lastUsed);
    this.lastUsed += fitting;
    this.bytes += fitting;
    this.memory?.noteProgress(part.length);
    if (fitting < part.length) this.addBlock(part.subarray(fitting));
  }

  /**
   * Returns the message in one piece, and keeps nothing. While it is put together it takes twice its size, which is
   * counted and may spend the budget.
   */
  public takeWhole(): Buffer {
    const { length: size } = this;
    const counted = this.blocks.map(({ length }) => length);
    const parts = this.takeParts();
    if (parts.length < 2) return parts[0] ?? Buffer.alloc(0);
    this.memory?.add(size);
    const whole = Buffer.concat(parts, size);
    for (const bytes of counted) this.memory?.remove(bytes);
    return whole;
  }

  /** Returns the message in blocks, which remain counted, and keeps nothing. */
  public takeParts(): Buffer[] {
    const { blocks } = this;
    const last = blocks.pop();
    if (last !== undefined) blocks.push(last.subarray(0, this.lastUsed));
    this.blocks = [];
    this.lastUsed = 0;
    this.bytes = 0;
    return blocks;
  }

  /** Drops the message, and gives its memory back. */
  public clear(): void {
    for (const { length } of this.blocks) this.memory?.remove(length);
    this.takeParts();
  }

  private addBlock(rest: Uint8Array): void {
    const size = Math.max(rest.length, MIN_BLOCK_BYTES, Math.min(this.bytes, MAX_BLOCK_BYTES));
    this.memory?.add(size);
    // The message may be the one that ended.
    if (this.memory?.isClosed === true) return;
    const block = Buffer.allocUnsafe(size);
    block.set(rest);
    this.blocks.push(block);
    this.lastUsed = rest.length;
    this.bytes += rest.length;
  }
}
