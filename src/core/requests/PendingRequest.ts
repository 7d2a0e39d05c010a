import type { Disposable } from '../../ports/Types.js';
import type { StreamSession } from '../streams/StreamSession.js';

/** A request that is queued or running; disposing it cancels it because its caller has disconnected. */
export class PendingRequest implements Disposable {
  public session: StreamSession | undefined;

  private ended = false;

  public constructor(private readonly onCallerGone: () => void) {}

  /** Whether the request was refused before it ran, or its caller has disconnected. */
  public get isOver(): boolean {
    return this.ended;
  }

  /** Records that the request was refused before it ran; disposing it has no effect afterwards. */
  public markRefused(): void {
    this.ended = true;
  }

  public dispose(): void {
    if (this.ended) return;
    this.ended = true;
    if (this.session === undefined) this.onCallerGone();
    else this.session.cancel();
  }
}
