/** Writes one JSON line for each decision to standard output, without ever blocking. */
import pino, { type Logger } from 'pino';
import type { DecisionFields, DecisionLog } from '../../core/DecisionLog.js';

/** Lines beyond this much unwritten text are dropped, in bytes. */
const MAX_UNWRITTEN_BYTES = 256 * 1024;

/** Text is written in pieces of this size, or each `FLUSH_MS`, in bytes. */
const BUFFER_BYTES = 4096;

/** Time after which a small piece is written all the same, in milliseconds. */
const FLUSH_MS = 200;

/** Lines of one event in a second; more are counted and left out. */
const MAX_LINES_PER_S = 100;

interface RateWindow {
  second: number;
  lines: number;
  dropped: number;
}

export class StructuredLog implements DecisionLog {
  private readonly logger: Logger;

  private readonly destination: ReturnType<typeof pino.destination>;

  private readonly windows = new Map<string, RateWindow>();

  private readonly flushTimer = setInterval(() => this.destination.flush(), FLUSH_MS).unref();

  /**
   * @param instance - name written on every line
   * @param file - written to in place of standard output
   */
  public constructor(instance: string, file?: string) {
    this.destination = pino.destination({
      ...(file !== undefined && { dest: file }),
      sync: false,
      minLength: BUFFER_BYTES,
      maxLength: MAX_UNWRITTEN_BYTES,
    });
    this.logger = pino(
      { base: { instance }, timestamp: pino.stdTimeFunctions.epochTime },
      this.destination,
    );
  }

  public record(event: string, fields: DecisionFields): void {
    const window = this.windowFor(event);
    window.lines += 1;
    if (window.lines > MAX_LINES_PER_S) window.dropped += 1;
    else this.logger.info(fields, event);
  }

  /** Writes what is left. */
  public dispose(): void {
    clearInterval(this.flushTimer);
    this.destination.flushSync();
  }

  private windowFor(event: string): RateWindow {
    const second = Math.floor(performance.now() / 1000);
    let window = this.windows.get(event);
    if (window === undefined) {
      window = { second, lines: 0, dropped: 0 };
      this.windows.set(event, window);
    }
    if (window.second !== second) {
      if (window.dropped > 0) this.logger.warn({ event, dropped: window.dropped }, 'lines-dropped');
      window.second = second;
      window.lines = 0;
      window.dropped = 0;
    }
    return window;
  }
}
