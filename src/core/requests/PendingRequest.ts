import type { Disposable } from '../../ports/Types.js';
import type { StreamSession } from '../streams/StreamSession.js';

/** A request that is queued or running; disposing it ends it because its caller is gone. */
export class PendingRequest implements Disposable {
  public session: StreamSession | undefined;

  public gone = false;

  public constructor(private readonly onGone: () => void) {}

  public dispose(): void {
    if (this.gone) return;
    this.gone = true;
    if (this.session === undefined) this.onGone();
    else this.session.cancel();
  }
}
