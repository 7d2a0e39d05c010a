/** Signals of a process from its first moment on. Those that come before they can be handled are kept. */

/** Signals that the process handles; their default action would end it. */
export type HandledSignal = 'SIGHUP' | 'SIGTERM';

const HANDLED_SIGNALS: readonly HandledSignal[] = ['SIGHUP', 'SIGTERM'];

export class Signals {
  private readonly handlers = new Map<HandledSignal, () => void>();

  private readonly pending = new Set<HandledSignal>();

  /** Begins to receive signals; the program calls this before it loads anything else. */
  public constructor() {
    for (const signal of HANDLED_SIGNALS) process.on(signal, () => this.receive(signal));
  }

  /** Sets the handler of a signal, and calls it if the signal has come before. */
  public handle(signal: HandledSignal, handler: () => void): void {
    this.handlers.set(signal, handler);
    if (this.pending.delete(signal)) handler();
  }

  private receive(signal: HandledSignal): void {
    const handler = this.handlers.get(signal);
    if (handler === undefined) this.pending.add(signal);
    else handler();
  }
}
