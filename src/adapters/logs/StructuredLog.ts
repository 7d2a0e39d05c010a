/** Writes decisions to standard output or a file, one JSON line each. `record` never blocks. */
import pino, { type Logger } from 'pino';
import type { DecisionFields, DecisionLog } from '../../core/DecisionLog.js';

/** Limit of unwritten text, in bytes; lines beyond it are dropped and not counted. */
const MAX_UNWRITTEN_BYTES = 256 * 1024;

/** Text is written as soon as this much has accumulated, in bytes. */
const BUFFER_BYTES = 4096;

/** Interval at which all accumulated text is written, however short, in milliseconds. */
const FLUSH_MS = 200;

/**
 * Maximum number of lines per second for one event. Further lines are dropped and counted; the count is
 * logged when the event next occurs in a later second.
 */
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
   * @param instance - instance name to write on every line
   * @param file - path of a file to write to instead of standard output
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

  /** Stops the timer and writes the remaining text. */
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
