import type { Disposable } from '../../ports/Types.js';
import type { StreamSession } from '../streams/StreamSession.js';

/** A request that is queued or running; disposing it ends it because its caller is gone. */
export class PendingRequest implements Disposable {
  public session: StreamSession | undefined;

  private over = false;

  public constructor(private readonly onGone: () => void) {}

  /** Whether the request has ended, or its caller is gone. */
  public get isOver(): boolean {
    return this.over;
  }

  /** Records that the request was refused before it ran; disposing it does nothing from here on. */
  public markRefused(): void {
    this.over = true;
  }

  public dispose(): void {
    if (this.over) return;
    this.over = true;
    if (this.session === undefined) this.onGone();
    else this.session.cancel();
  }
}
