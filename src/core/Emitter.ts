import type { Disposable } from '../ports/Types.js';

/** Calls every listener of one event. */
export class Emitter<T> {
  private readonly listeners = new Set<(value: T) => void>();

  /** Adds a listener. @returns what removes it */
  public readonly event = (listener: (value: T) => void): Disposable => {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  };

  public fire(value: T): void {
    for (const listener of this.listeners) listener(value);
  }
}
