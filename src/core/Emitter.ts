import type { Disposable } from '../ports/Types.js';

/** An event with any number of listeners. */
export class Emitter<T> {
  private readonly listeners = new Set<(value: T) => void>();

  /**
   * Adds a listener.
   * @returns a disposable that removes the listener
   */
  public readonly event = (listener: (value: T) => void): Disposable => {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  };

  /** Calls every listener with `value`. */
  public fire(value: T): void {
    for (const listener of this.listeners) listener(value);
  }
}
