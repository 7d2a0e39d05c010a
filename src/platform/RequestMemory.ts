import type { MemoryBudget } from '../core/limits/MemoryBudget.js';
import { MessageBuffer } from '../core/limits/MessageBuffer.js';
import type { MemoryHolder, MemoryShare } from '../core/limits/MemoryShare.js';
import type { Disposable } from '../ports/Types.js';

/**
 * The memory that one request keeps. Its head has a share of its own, because a request that pauses must not count
 * as stalled for a head that is complete.
 */
export class RequestMemory implements Disposable {
  /** What is kept of the body, and later of the answer. */
  public readonly message: MemoryShare;

  /** What has come of the body. */
  public readonly body: MessageBuffer;

  private readonly head: MemoryShare;

  /** @param onEvict - ends the request, because the budget is spent; its memory has been released */
  public constructor(budget: MemoryBudget, onEvict: () => void) {
    const holder: MemoryHolder = {
      allowanceBytes: 0,
      onEvict: () => {
        this.dispose();
        onEvict();
      },
    };
    this.head = budget.open(holder);
    this.message = budget.open(holder);
    this.body = new MessageBuffer(this.message);
  }

  /** Counts the head, which may end this request or others. */
  public addHead(bytes: number): void {
    this.head.add(bytes);
    this.head.settle();
  }

  public dispose(): void {
    this.body.clear();
    this.head.dispose();
    this.message.dispose();
  }
}
