/** Splits an event stream into complete events and parses their numeric ids. */

/** Events completed by one chunk. */
export interface EventBatch {
  /** Bytes to forward; undefined if no new event is complete. */
  readonly bytes: Buffer | undefined;
  readonly events: number;
  /** Whether the event ids skip one, so an event is missing. The events after the gap are not forwarded. */
  readonly gap: boolean;
  /** Whether the stream holds something that is no event. It and what follows are not forwarded. */
  readonly isCorrupt: boolean;
}

const LINE_FEED = 0x0a;

const COLON = 0x3a;

const ID_FIELD = Buffer.from('id:');

/**
 * Parses the id of the event in `bytes[from, to)`.
 * @returns NaN if it has none, and undefined if a line has no field name, so that it is no event
 */
function eventId(bytes: Buffer, from: number, to: number): number | undefined {
  let line = from;
  let id = Number.NaN;
  while (line < to) {
    let end = bytes.indexOf(LINE_FEED, line);
    if (end === -1 || end > to) end = to;
    const colon = bytes.indexOf(COLON, line);
    if (colon === -1 || colon > end) return undefined;
    if (
      Number.isNaN(id) &&
      bytes.compare(ID_FIELD, 0, ID_FIELD.length, line, line + ID_FIELD.length) === 0
    )
      id = Number(bytes.toString('latin1', line + ID_FIELD.length, end));
    line = end + 1;
  }
  return id;
}

export class EventSplitter {
  private incompleteEvent: Buffer | undefined;

  /** @param last - id of the last event that the caller has received; NaN if it has none */
  public constructor(private last: number) {}

  /** Id of the last event that the caller has; NaN if it has none. */
  public get lastId(): number {
    return this.last;
  }

  /** Whether an incomplete event is buffered. */
  public get isInsideEvent(): boolean {
    return this.incompleteEvent !== undefined;
  }

  /** Size of the buffered incomplete event, in bytes. */
  public get incompleteBytes(): number {
    return this.incompleteEvent?.length ?? 0;
  }

  /** Discards the incomplete event of a lost server; the next server sends it again. */
  public restart(): void {
    this.incompleteEvent = undefined;
  }

  /** Adds a chunk and returns the events that it completes, without those that the caller already has. */
  public push(chunk: Buffer): EventBatch {
    const bytes =
      this.incompleteEvent === undefined ? chunk : Buffer.concat([this.incompleteEvent, chunk]);
    let keepFrom = 0;
    let at = 0;
    let events = 0;
    let gap = false;
    let isCorrupt = false;
    for (;;) {
      const end = bytes.indexOf('\n\n', at, 'latin1');
      if (end === -1) break;
      const id = eventId(bytes, at, end);
      isCorrupt = id === undefined;
      if (id === undefined) break;
      gap = id > this.last + 1;
      if (gap) break;
      if (id <= this.last && events === 0) keepFrom = end + 2;
      else {
        if (!Number.isNaN(id)) this.last = id;
        events += 1;
      }
      at = end + 2;
    }
    this.incompleteEvent = at < bytes.length ? bytes.subarray(at) : undefined;
    const forwarded = at > keepFrom ? bytes.subarray(keepFrom, at) : undefined;
    return { bytes: forwarded, events, gap, isCorrupt };
  }
}
